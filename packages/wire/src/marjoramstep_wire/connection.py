"""A connection between two processes of the system."""

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


if TYPE_CHECKING:
    from collections.abc import Callable

HANDSHAKE_TIMEOUT_SECONDS = 1.5
# A lost opening packet is sent again only after a second or more, so a new attempt
# reaches a peer that is back sooner than an old one.
CONNECT_TIMEOUT_SECONDS = 1.0
WRITE_BUFFER_LIMIT_BYTES = 16 * 1024 * 1024
WRITE_BUFFER_HIGH_BYTES = 512 * 1024


class PeerConnection(asyncio.Protocol):
    """Owns one socket; passes messages to its handlers once the handshake is done.

    Handlers run on the event loop and must not block. ``on_closed`` runs once.

    :param key: the deployment's key
    :param hello: own hello
    :param is_client: whether this side opens the connection
    :param on_message: called with this connection and each message
    :param on_closed: called with this connection and the reason it closed
    :param on_open: called with this connection when the handshake is done
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
        self._timer: asyncio.TimerHandle | None = None
        self.opened: asyncio.Future[None] = self._loop.create_future()
        self.peer = "unconnected"
        self.received_at_seconds = 0.0

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
        """Hello of the other side; only valid once the connection is open."""
        return cast("Hello", self._handshake.peer_hello)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake.

        :param transport: the open transport
        """
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_BYTES)
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
        self.received_at_seconds = self._loop.time()
        try:
            for message in self._decoder.feed(data):
                if self._error is not None:
                    return
                self._dispatch(message)
        except MarjoramstepError as error:
            self.close(error)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection once.

        :param exc: error of the transport, or None
        """
        self._cancel_timer()
        self._can_write.set()
        if self._error is None:
            self._error = ConnectionFailedError(
                str(exc) if exc else "the peer closed the connection",
                step="connection",
                peer=self.peer,
            )
        if not self.opened.done():
            self.opened.set_exception(self._error)
            self.opened.exception()
        self._on_closed(self, self._error)

    def pause_writing(self) -> None:
        """Note that the write buffer is over its limit."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Note that the write buffer has room again."""
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
        if transport.get_write_buffer_size() > WRITE_BUFFER_LIMIT_BYTES:
            error = ConnectionFailedError(
                "the peer does not read its messages",
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

        :param error: reason that ``on_closed`` is given
        """
        if self._error is None:
            self._error = error or ConnectionFailedError(
                "closed by this process", step="connection", peer=self.peer
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
        elif isinstance(message, Hello):
            raise ProtocolError("second hello", step="handshake", peer=self.peer)
        else:
            self._on_message(self, message)

    def _finish_handshake(self) -> None:
        self._cancel_timer()
        self._decoder.accepts_deflated = True
        if self.peer_hello.zone != self._hello.zone:
            # Bytes between availability zones cost more than processor time.
            self._encode = DeflatingEncoder().encode
        if not self.opened.done():
            self.opened.set_result(None)
        if self._on_open is not None:
            self._on_open(self)

    def _write(self, message: Message) -> None:
        cast("asyncio.Transport", self._transport).write(self._encode(message))

    def _on_timeout(self) -> None:
        self.close(
            ProtocolError("the handshake timed out", step="handshake", peer=self.peer)
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


async def connect(
    address: tuple[str, int], make_connection: Callable[[], PeerConnection]
) -> PeerConnection:
    """Open a connection and wait for its handshake.

    :param address: IP address and port
    :param make_connection: builds the protocol object
    :return: the open connection
    :raises ConnectionFailedError: if it cannot be opened in time
    :raises ProtocolError: if the handshake fails
    """
    host, port = address
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, connection = await loop.create_connection(make_connection, host, port)
        await connection.opened
    except (OSError, TimeoutError) as error:
        raise ConnectionFailedError(
            f"cannot connect: {error or 'timed out'}",
            step="connect",
            peer=f"{host}:{port}",
        ) from error
    return connection
