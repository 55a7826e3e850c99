"""Keeps a connection to a replica open."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.errors import UnavailableError
from marjoramstep_core.states import ConnectionClass
from marjoramstep_core.states import Role
from marjoramstep_wire.connection import PeerConnection
from marjoramstep_wire.connection import connect
from marjoramstep_wire.messages import Ping

from .reconnect_backoff import ReconnectBackoff


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.addresses import Address
    from marjoramstep_core.ids import ReplicaId
    from marjoramstep_wire.messages import Hello
    from marjoramstep_wire.messages import Message

    from ..log import EventLog

PING_INTERVAL_SECONDS = 1.0
# A partition that drops packets closes no connection, so a replica that sends nothing
# for this long is taken as lost.
SILENCE_LIMIT_SECONDS = 2.5


class ControlLink:
    """Owns the connection to one replica and reopens it when it is lost.

    :param address: the replica's peer address
    :param key: the deployment's key
    :param make_hello: builds a hello for a connection class
    :param on_open: called with this link when the connection is open
    :param on_message: called with this link and each message
    :param log: event log
    """

    def __init__(
        self,
        address: Address,
        key: bytes,
        make_hello: Callable[[ConnectionClass], Hello],
        on_open: Callable[[ControlLink], None],
        on_message: Callable[[ControlLink, Message], None],
        log: EventLog,
    ) -> None:
        self.address = address
        self._key = key
        self._make_hello = make_hello
        self._on_open = on_open
        self._on_message = on_message
        self._log = log
        self._connection: PeerConnection | None = None
        self._backoff = ReconnectBackoff()
        self._closed = asyncio.Event()
        self._close_error: MarjoramstepError | None = None

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._connection is not None and self._connection.is_open

    @property
    def peer_id(self) -> str:
        """Authenticated process id of the peer, empty without a connection."""
        if self._connection is None or not self._connection.is_open:
            return ""
        return self._connection.peer_hello.process_id

    @property
    def peer_table_version(self) -> int:
        """Table version in the peer's hello, 0 without a connection."""
        if self._connection is None or not self._connection.is_open:
            return 0
        return self._connection.peer_hello.table_version

    def may_reach(self, replica_id: ReplicaId) -> bool:
        """Return whether the peer may be the replica of this id.

        A process that is both a node and a replica sends its node id in the handshake,
        so its replica id cannot be checked here.

        :param replica_id: the replica
        :return: false without a connection or if the peer is a replica of another id
        """
        if self._connection is None or not self._connection.is_open:
            return False
        is_node = self._connection.peer_hello.role != Role.CONTROL.value
        return is_node or self.peer_id == replica_id

    def send(self, message: Message) -> None:
        """Send a message.

        :param message: the message
        :raises UnavailableError: if the connection is not open
        """
        if self._connection is None or not self._connection.is_open:
            host, port = self.address
            raise UnavailableError(
                "no connection to the replica", step="send", peer=f"{host}:{port}"
            )
        self._connection.send(message)

    async def run(self) -> None:
        """Keep the connection open until cancelled."""
        try:
            while True:
                try:
                    await self._run_once()
                except MarjoramstepError as error:
                    self._log.write(
                        "replica not reached",
                        step=error.step,
                        peer=error.peer,
                        error=error.message,
                    )
                await asyncio.sleep(self._backoff.next_delay_seconds())
        finally:
            if self._connection is not None:
                self._connection.close()

    async def _run_once(self) -> None:
        self._closed.clear()
        self._connection = await connect(
            self.address, self._make_connection, self._backoff.timeout_seconds
        )
        self._backoff.reset()
        self._on_open(self)
        while not self._closed.is_set():
            try:
                async with asyncio.timeout(PING_INTERVAL_SECONDS):
                    await self._closed.wait()
            except TimeoutError:
                self._check_silence(self._connection)
        error = self._close_error
        self._log.write(
            "replica lost",
            step="connection",
            peer=self._connection.peer,
            error="" if error is None else error.message,
        )

    def _check_silence(self, connection: PeerConnection) -> None:
        silence = (
            asyncio.get_running_loop().time() - connection.last_received_at_seconds
        )
        if silence > SILENCE_LIMIT_SECONDS:
            # Closing with a ProtocolError aborts the connection and drops what is
            # buffered. Any other close waits until the peer has read it, which would
            # block the reconnection during a partition.
            connection.close(
                ProtocolError(
                    f"received nothing for {silence:.1f} s",
                    step="receive",
                    peer=connection.peer,
                )
            )
        elif silence >= PING_INTERVAL_SECONDS and connection.is_open:
            connection.send(Ping(sequence=0))

    def _make_connection(self) -> PeerConnection:
        return PeerConnection(
            self._key,
            self._make_hello(ConnectionClass.CONTROL),
            True,
            lambda _, message: self._on_message(self, message),
            lambda _, error: self._on_closed(error),
        )

    def _on_closed(self, error: MarjoramstepError) -> None:
        self._close_error = error
        self._closed.set()
