"""Pool of connections to the local backend server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_core.errors import ConnectionFailedError

from .server_connection import ServerConnection


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.addresses import Address
    from marjoramstep_core.ids import RequestKey

CONNECT_TIMEOUT_SECONDS = 1.0


class NotConnectedError(ConnectionFailedError):
    """The request was not sent: connecting failed or the limit is reached."""


class ConnectionPool:
    """Reuses the most recently freed connection, so that surplus ones time out.

    :param address: address of the backend server
    :param limit: maximum number of connections
    :param on_open: called for each new connection
    :param on_skipped: called with the key of the request that waits and the status of
        each answer that is not its own
    """

    def __init__(
        self,
        address: Address,
        limit: int,
        on_open: Callable[[], None],
        on_skipped: Callable[[RequestKey, int], None],
    ) -> None:
        self._address = address
        self._peer = f"{address[0]}:{address[1]}"
        self._limit = limit
        self._on_open = on_open
        self._on_skipped = on_skipped
        self._idle: list[ServerConnection] = []
        self._open: set[ServerConnection] = set()
        self._is_closed = False

    async def acquire(self, request_key: RequestKey) -> ServerConnection:
        """Take an idle connection out of the pool, or open a new one.

        The connection returns to the pool by itself after its exchange.

        :param request_key: key of the request to send; connections on which it was
            refused are not taken
        :return: the connection, for one request
        :raises NotConnectedError: if none can be opened
        """
        connection = self._take_idle(request_key)
        if connection is not None:
            return connection
        if len(self._open) >= self._limit and not self._close_one_idle():
            raise self._error("connection limit reached")
        return await self._connect()

    async def open_idle(self) -> ServerConnection:
        """Open a connection and add it to the pool as idle.

        :return: the connection
        :raises NotConnectedError: if it cannot be opened
        """
        connection = await self._connect()
        self._on_free(connection)
        return connection

    def holds(self, connection: ServerConnection) -> bool:
        """Return whether a connection of the pool is still open.

        :param connection: a connection of this pool
        :return: whether it is open
        """
        return connection in self._open

    def close(self) -> None:
        """Close all connections."""
        self._is_closed = True
        for connection in list(self._open):
            connection.abort()

    def _take_idle(self, request_key: RequestKey) -> ServerConnection | None:
        for position in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[position]
            if connection.has_refused(request_key):
                continue
            del self._idle[position]
            if connection.is_usable:
                return connection
            connection.abort()
        return None

    def _close_one_idle(self) -> bool:
        """Close the connection that has been idle for longest, if there is one."""
        if not self._idle:
            return False
        connection = self._idle.pop(0)
        self._open.discard(connection)
        connection.abort()
        return True

    async def _connect(self) -> ServerConnection:
        loop = asyncio.get_running_loop()
        host, port = self._address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(
                        self._peer, self._on_free, self._on_closed, self._on_skipped
                    ),
                    host,
                    port,
                )
        except (OSError, TimeoutError) as error:
            raise self._error(f"cannot connect: {error or 'timed out'}") from error
        self._open.add(connection)
        self._on_open()
        return connection

    def _on_free(self, connection: ServerConnection) -> None:
        if self._is_closed:
            connection.abort()
        else:
            self._idle.append(connection)

    def _on_closed(self, connection: ServerConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def _error(self, text: str) -> NotConnectedError:
        return NotConnectedError(
            text, step="connect to backend server", peer=self._peer
        )
