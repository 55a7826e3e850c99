"""HTTP listener for callers and for sub-calls of the own backend server."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError

from .http_connection import CallerConnection
from .http_connection import ConnectionLimits
from .protocol import NativeCallerProtocol


if TYPE_CHECKING:
    from marjoramstep_core.table import Table

    from ..control.table_keeper import TableKeeper
    from ..http.message import HttpAnswer
    from ..http.message import HttpRequest
    from ..log import EventLog
    from .entry import EntryService
    from .protocol import CallerProtocol

HEADER_SECONDS = 30.0
IDLE_SECONDS = 75.0
SECOND_MS = 1_000.0
BACKLOG = 1_024
# Time for answers to leave when the listener closes.
SHUTDOWN_SECONDS = 1.0
POLL_SECONDS = 0.02
# One timer for all connections: one for each would wake an idle process all the time.
CHECK_TIMES_SECONDS = 0.5


class CallerListener:
    """Owns the listening socket towards callers.

    :param entry: carries the requests out
    :param tables: the table in force
    :param log: event log
    :param protocol: translates requests and results
    """

    def __init__(
        self,
        entry: EntryService,
        tables: TableKeeper,
        log: EventLog,
        protocol: CallerProtocol | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._entry = entry
        self._tables = tables
        self._log = log
        self._protocol = protocol or NativeCallerProtocol()
        self._limits = ConnectionLimits(HEADER_SECONDS, IDLE_SECONDS)
        self._listener: asyncio.Server | None = None
        self._connections: set[CallerConnection] = set()
        self._in_progress: dict[int, str] = {}
        self._numbers = count(1)
        self._is_leaving = False
        self._timer: asyncio.TimerHandle | None = None
        tables.on_put = self._take_limits

    def in_progress(self) -> list[str]:
        """Return the requests whose answers have not been sent to their end.

        :return: a key or, without one, a method and path for each
        """
        return list(self._in_progress.values())

    def has_unsent_answers(self) -> bool:
        """Tell whether a request that was read has not been answered to its end.

        :return: whether one has not
        """
        return any(connection.is_busy for connection in self._connections)

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Start to listen.

        :param address: IP address and port; port 0 takes one from the kernel
        :return: the bound address
        :raises OSError: if the address cannot be bound
        """
        host, port = address
        self._listener = await self._loop.create_server(
            self._make_connection, host, port, backlog=BACKLOG
        )
        self._check_times()
        bound = self._listener.sockets[0].getsockname()
        return bound[0], bound[1]

    def announce_close(self) -> None:
        """Ask callers with each answer to use another connection."""
        self._is_leaving = True
        for connection in self._connections:
            connection.announce_close()

    async def stop_listening(self) -> None:
        """Refuse new connections; open ones go on."""
        if self._listener is not None:
            self._listener.close()

    async def close(self) -> None:
        """Close all connections, those with an answer due after it."""
        for connection in list(self._connections):
            connection.close_when_idle()
        until = self._loop.time() + SHUTDOWN_SECONDS
        while self.has_unsent_answers() and self._loop.time() < until:
            await asyncio.sleep(POLL_SECONDS)
        for connection in list(self._connections):
            connection.abort()
        if self._timer is not None:
            self._timer.cancel()

    def _make_connection(self) -> CallerConnection:
        return CallerConnection(
            self._loop,
            self._handle,
            self._protocol.refuse,
            self._limits,
            self._log,
            self._on_open,
            self._on_close,
        )

    def _on_open(self, connection: CallerConnection) -> None:
        self._connections.add(connection)
        if self._is_leaving:
            connection.announce_close()

    def _on_close(self, connection: CallerConnection) -> None:
        self._connections.discard(connection)

    def _check_times(self) -> None:
        self._timer = self._loop.call_later(CHECK_TIMES_SECONDS, self._check_times)
        now = self._loop.time()
        for connection in list(self._connections):
            connection.check_times(now)

    def _take_limits(self, table: Table) -> None:
        default = table.default_row
        self._limits.header_seconds = default.header_timeout_ms / SECOND_MS
        self._limits.idle_seconds = default.idle_timeout_ms / SECOND_MS

    async def _handle(self, request: HttpRequest) -> HttpAnswer:
        try:
            entry_request = self._protocol.parse(request)
        except InvalidInputError as error:
            self._log.write(
                "request refused", step=error.step, peer="caller", error=error.message
            )
            return self._protocol.refuse(error)
        number = next(self._numbers)
        self._in_progress[number] = (
            entry_request.request_key or f"{request.method} {request.target}"
        )
        try:
            result = await self._entry.execute(entry_request)
            return self._protocol.render(result, self._tables.age_ms())
        finally:
            del self._in_progress[number]
