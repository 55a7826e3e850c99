"""Accepts connections of nodes and replicas and creates their sessions."""

from __future__ import annotations

import asyncio
from enum import Enum
from enum import unique
from typing import TYPE_CHECKING
from typing import Protocol

from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.states import ConnectionClass
from marjoramstep_core.states import Role
from marjoramstep_wire.connection import PeerConnection


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.errors import MarjoramstepError
    from marjoramstep_wire.messages import Hello
    from marjoramstep_wire.messages import Message

    from .log import EventLog


@unique
class ConnectionPurpose(Enum):
    """What the process that opened a connection uses it for."""

    CALLS = "calls"
    NODE_CONTROL = "node-control"
    REPLICATION = "replication"


class Session(Protocol):
    """Handles the messages of one connection."""

    def on_message(self, message: Message) -> None:
        """Handle a message from the peer."""

    def on_closed(self, error: MarjoramstepError) -> None:
        """Handle the end of the connection."""


class PeerListener:
    """Owns the listening socket and the session of each connection.

    :param key: deployment key
    :param make_hello: builds the ``Hello`` for a connection class
    :param log: event log
    """

    def __init__(
        self,
        key: bytes,
        make_hello: Callable[[ConnectionClass], Hello],
        log: EventLog,
    ) -> None:
        self._key = key
        self._make_hello = make_hello
        self._log = log
        self._session_factories: dict[
            ConnectionPurpose, Callable[[PeerConnection], Session]
        ] = {}
        self._sessions: dict[PeerConnection, Session] = {}
        self._server: asyncio.Server | None = None

    def accept_connections(
        self,
        purpose: ConnectionPurpose,
        make_session: Callable[[PeerConnection], Session],
    ) -> None:
        """Accept connections for a purpose; others are closed after their handshake.

        :param purpose: what the connections are for
        :param make_session: called with each connection after its handshake
        """
        self._session_factories[purpose] = make_session

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Start listening.

        :param address: IP address and port
        :return: the bound address
        :raises OSError: if the address cannot be bound
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_connection, *address)
        bound = self._server.sockets[0].getsockname()
        return bound[0], bound[1]

    def close(self) -> None:
        """Close the socket and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._sessions):
            connection.close()

    def _make_connection(self) -> PeerConnection:
        # The hello of the connecting side tells the class of the connection; the class
        # in this one is not used.
        return PeerConnection(
            self._key,
            self._make_hello(ConnectionClass.INTERACTIVE),
            False,
            self._on_message,
            self._on_closed,
            self._on_open,
        )

    def _on_open(self, connection: PeerConnection) -> None:
        purpose = _purpose_of(connection.peer_hello)
        make_session = self._session_factories.get(purpose)
        if make_session is None:
            raise ProtocolError(
                f"this process accepts no {purpose.value} connections",
                step="open connection",
                peer=connection.peer,
            )
        self._sessions[connection] = make_session(connection)

    def _on_message(self, connection: PeerConnection, message: Message) -> None:
        self._sessions[connection].on_message(message)

    def _on_closed(self, connection: PeerConnection, error: MarjoramstepError) -> None:
        session = self._sessions.pop(connection, None)
        if session is not None:
            session.on_closed(error)
        if session is None or isinstance(error, ProtocolError):
            self._log.write(
                "connection refused",
                step=error.step,
                peer=connection.peer,
                error=error.message,
            )


def _purpose_of(hello: Hello) -> ConnectionPurpose:
    if hello.role == Role.CONTROL.value:
        return ConnectionPurpose.REPLICATION
    if hello.connection_class == ConnectionClass.CONTROL.value:
        return ConnectionPurpose.NODE_CONTROL
    return ConnectionPurpose.CALLS
