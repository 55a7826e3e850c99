"""An authenticated connection between two processes of the deployment."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import cast

from marjoramstep_core.errors import ConnectionFailedError
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.errors import ProtocolError

from .codec import DeflatingEncoder
from .codec import FrameDecoder
from .codec import encode_frame
from .handshake import Handshake
from .messages import Hello
from .messages import Message
from .messages import Ping
from .messages import Pong
from .traffic import PROCESS_TRAFFIC


if TYPE_CHECKING:
    from collections.abc import Callable

HANDSHAKE_TIMEOUT_SECONDS = 1.5
# TCP sends a lost SYN again only after a second or more. Giving up and connecting anew
# reaches a recovered peer sooner.
CONNECT_TIMEOUT_SECONDS = 1.0
# Above this size the connection is closed, since the peer reads too slowly.
WRITE_BUFFER_CLOSE_BYTES = 16 * 1024 * 1024
# Above this size ``drain`` waits.
WRITE_BUFFER_PAUSE_BYTES = 512 * 1024


class PeerConnection(asyncio.Protocol):
    """Owns one socket and passes messages to the handlers after the handshake.

    Handlers run on the event loop and must not block. ``on_closed`` runs once.

    :param key: the deployment's key
    :param hello: hello message of this process
    :param is_client: whether this process opens the connection
    :param on_message: called with this connection and each message
    :param on_closed: called with this connection and the reason it closed
    :param on_open: called with this connection after the handshake
    """

    def __init__(
        self,
        key: bytes,
        hello: Hello,
        is_client: bool,
        on_message: Callable[[PeerConnection, Message], None],
        on_closed: Callable[[PeerConnection, MarjoramstepError], None],
        on_open: Callable[[PeerConnection], None] | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._key = key
        self._hello = hello
        self._is_client = is_client
        self._on_message = on_message
        self._on_closed = on_closed
        self._on_open = on_open
        self._transport: asyncio.Transport | None = None
        self._error: MarjoramstepError | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._encode: Callable[[Message], bytes] = encode_frame
        self._crosses_zones = False
        self._timer: asyncio.TimerHandle | None = None
        self.handshake_completed: asyncio.Future[None] = self._loop.create_future()
        self.peer = "unconnected"
        self.last_received_at_seconds = 0.0

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return (
            self._transport is not None
            and self._error is None
            and not self._transport.is_closing()
            and self._handshake.is_complete
        )

    @property
    def peer_hello(self) -> Hello:
        """Hello message of the peer; only valid after the handshake."""
        return cast("Hello", self._handshake.peer_hello)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake.

        :param transport: the open transport
        """
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_PAUSE_BYTES)
        address = transport.get_extra_info("peername")
        self.peer = f"{address[0]}:{address[1]}" if address else "unknown"
        self._decoder = FrameDecoder(self.peer)
        self._handshake = Handshake(self._key, self._hello, self._is_client, self.peer)
        self._timer = self._loop.call_later(HANDSHAKE_TIMEOUT_SECONDS, self._on_timeout)
        for message in self._handshake.start():
            self._write(message)

    def data_received(self, data: bytes) -> None:
        """Decode and dispatch received bytes; a bad frame closes the connection.

        :param data: received bytes
        """
        self.last_received_at_seconds = self._loop.time()
        try:
            for message in self._decoder.feed(data):
                if self._error is not None:
                    return
                self._dispatch(message)
        except MarjoramstepError as error:
            self.close(error)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the connection has closed.

        :param exc: error of the transport, None for an orderly close
        """
        self._cancel_timer()
        self._can_write.set()
        if self._error is None:
            self._error = ConnectionFailedError(
                str(exc) if exc else "the peer closed the connection",
                step="connection",
                peer=self.peer,
            )
        if not self.handshake_completed.done():
            self.handshake_completed.set_exception(self._error)
            self.handshake_completed.exception()
        self._on_closed(self, self._error)

    def pause_writing(self) -> None:
        """Make :meth:`drain` wait; the write buffer is above its high-water mark."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Release :meth:`drain`; the write buffer has room again."""
        self._can_write.set()

    def send(self, message: Message) -> None:
        """Queue a message.

        :param message: the message
        :raises ConnectionFailedError: if the connection is not open, or the peer reads
            so slowly that the write buffer's limit is reached
        """
        if not self.is_open:
            raise ConnectionFailedError(
                "the connection is not open", step="send message", peer=self.peer
            )
        self._write(message)
        transport = cast("asyncio.Transport", self._transport)
        if transport.get_write_buffer_size() > WRITE_BUFFER_CLOSE_BYTES:
            error = ConnectionFailedError(
                "write buffer limit exceeded; the peer reads too slowly",
                step="send message",
                peer=self.peer,
            )
            self.close(error)
            raise error

    async def drain(self) -> None:
        """Wait until the write buffer has room or the connection has closed."""
        await self._can_write.wait()

    def close(self, error: MarjoramstepError | None = None) -> None:
        """Close the connection.

        :param error: reason passed to ``on_closed``
        """
        if self._error is None:
            self._error = error or ConnectionFailedError(
                "connection closed by this process", step="connection", peer=self.peer
            )
        if self._transport is not None:
            if isinstance(error, ProtocolError):
                self._transport.abort()
            else:
                self._transport.close()

    def _dispatch(self, message: Message) -> None:
        if not self._handshake.is_complete:
            for reply in self._handshake.receive(message):
                self._write(reply)
            if self._handshake.is_complete:
                self._finish_handshake()
        elif isinstance(message, Ping):
            self._write(Pong(sequence=message.sequence))
        elif isinstance(message, Pong):
            # Its arrival has set ``last_received_at_seconds``, which is all it tells.
            return
        elif isinstance(message, Hello):
            raise ProtocolError(
                "received a second hello message", step="handshake", peer=self.peer
            )
        else:
            self._on_message(self, message)

    def _finish_handshake(self) -> None:
        self._cancel_timer()
        self._decoder.accepts_deflated = True
        if self.peer_hello.zone != self._hello.zone:
            # Traffic between availability zones costs more than processor time.
            self._encode = DeflatingEncoder().encode
            self._crosses_zones = True
        if not self.handshake_completed.done():
            self.handshake_completed.set_result(None)
        if self._on_open is not None:
            self._on_open(self)

    def _write(self, message: Message) -> None:
        frame = self._encode(message)
        PROCESS_TRAFFIC.count(message, self._crosses_zones, len(frame))
        cast("asyncio.Transport", self._transport).write(frame)

    def _on_timeout(self) -> None:
        self.close(
            ProtocolError("the handshake timed out", step="handshake", peer=self.peer)
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


async def connect(
    address: tuple[str, int],
    make_connection: Callable[[], PeerConnection],
    timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
) -> PeerConnection:
    """Open a connection and wait for its handshake.

    :param address: IP address and port
    :param make_connection: creates the protocol object
    :param timeout_seconds: time limit for the connection, without the handshake
    :return: the open connection
    :raises ConnectionFailedError: if it cannot be opened in time, or the peer closes it
        before the end of the handshake
    :raises ProtocolError: if this side rejects the handshake or it times out
    """
    host, port = address
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_seconds):
            _, connection = await loop.create_connection(make_connection, host, port)
        await connection.handshake_completed
    except (OSError, TimeoutError) as error:
        raise ConnectionFailedError(
            f"cannot connect: {error or 'timed out'}",
            step="connect",
            peer=f"{host}:{port}",
        ) from error
    return connection
