"""HTTP listener for callers and for sub-calls of the local backend server."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from marjoramstep_core.clock import SystemClock
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason

from ..calls import Failed
from ..request_progress import ProgressTracker
from ..request_progress import RequestIdentity
from ..request_progress import RequestStep
from .connection_timeouts import ConnectionTimeouts
from .entry_result import EntryResult
from .http_connection import CallerConnection
from .paused_connections import PausedConnections
from .protocol import NativeCallerProtocol


if TYPE_CHECKING:
    from marjoramstep_core.table import Table

    from ..control.table_store import TableStore
    from ..http.message import HttpAnswer
    from ..http.message import HttpRequest
    from ..log import EventLog
    from .entry import EntryService
    from .entry_request import EntryRequest
    from .protocol import CallerProtocol

DEFAULT_HEADER_TIMEOUT_SECONDS = 30.0
DEFAULT_BODY_TIMEOUT_SECONDS = 30.0
DEFAULT_IDLE_TIMEOUT_SECONDS = 75.0
SECOND_MS = 1_000.0
BACKLOG = 1_024
# Time for pending answers to be sent when the listener closes.
SHUTDOWN_TIMEOUT_SECONDS = 0.4
POLL_INTERVAL_SECONDS = 0.02
# One timer for all connections: a timer for each would keep waking an idle process.
TIMEOUT_CHECK_INTERVAL_SECONDS = 0.5


class CallerListener:
    """Owns the listening socket for callers.

    :param entry: executes the requests
    :param tables: the table in force
    :param log: event log
    :param protocol: parses requests and renders results
    :param tracker: tracks the requests until they end
    """

    def __init__(
        self,
        entry: EntryService,
        tables: TableStore,
        log: EventLog,
        protocol: CallerProtocol | None = None,
        tracker: ProgressTracker | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._entry = entry
        self._tables = tables
        self._log = log
        self._protocol = protocol or NativeCallerProtocol()
        self._tracker = tracker or ProgressTracker(SystemClock())
        self._timeouts = ConnectionTimeouts(
            DEFAULT_HEADER_TIMEOUT_SECONDS,
            DEFAULT_BODY_TIMEOUT_SECONDS,
            DEFAULT_IDLE_TIMEOUT_SECONDS,
        )
        self._listener: asyncio.Server | None = None
        self._connections: set[CallerConnection] = set()
        self._paused = PausedConnections()
        self._in_progress: dict[int, str] = {}
        self._request_numbers = count(1)
        self._announces_close = False
        self._ends_unanswered = False
        self._timer: asyncio.TimerHandle | None = None
        tables.table_observers.append(self._apply_table)

    def in_progress(self) -> list[str]:
        """Return the requests for which there is no answer yet.

        Requests whose answer is being sent are not included.

        :return: for each its key or, without one, its method and path
        """
        return list(self._in_progress.values())

    def has_unsent_answers(self) -> bool:
        """Return whether requests have not been answered completely.

        :return: whether there are such requests
        """
        return any(connection.is_busy for connection in self._connections)

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Start listening.

        :param address: IP address and port; port 0 binds a free port
        :return: the bound address
        :raises OSError: if the address cannot be bound
        """
        host, port = address
        self._listener = await self._loop.create_server(
            self._make_connection, host, port, backlog=BACKLOG
        )
        self._check_timeouts()
        bound = self._listener.sockets[0].getsockname()
        return bound[0], bound[1]

    def announce_close(self) -> None:
        """Announce to each caller with its next answer that the connection closes."""
        self._announces_close = True
        for connection in self._connections:
            connection.announce_close()

    def end_unanswered(self) -> None:
        """Answer the requests that still run with an unknown outcome.

        Without this, a request that still runs at the end of a shutdown would hold back
        the answers of the requests behind it on its connection until both are lost.
        """
        self._ends_unanswered = True
        for connection in self._connections:
            connection.cancel_unanswered()

    async def stop_listening(self) -> None:
        """Stop accepting new connections; open ones stay in use."""
        if self._listener is not None:
            self._listener.close()

    async def close(self) -> None:
        """Close all connections, busy ones after their pending answers or a timeout."""
        for connection in list(self._connections):
            connection.close_when_idle()
        until = self._loop.time() + SHUTDOWN_TIMEOUT_SECONDS
        while self.has_unsent_answers() and self._loop.time() < until:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        for connection in list(self._connections):
            connection.abort()
        self._paused.close()
        if self._timer is not None:
            self._timer.cancel()

    def _make_connection(self) -> CallerConnection:
        return CallerConnection(
            self._loop,
            self._handle,
            self._identify,
            self._protocol.refuse,
            self._timeouts,
            self._log,
            self._tracker,
            self._on_open,
            self._on_close,
            self._paused.add,
        )

    def _on_open(self, connection: CallerConnection) -> None:
        self._connections.add(connection)
        if self._announces_close:
            connection.announce_close()

    def _on_close(self, connection: CallerConnection) -> None:
        self._connections.discard(connection)

    def _check_timeouts(self) -> None:
        self._timer = self._loop.call_later(
            TIMEOUT_CHECK_INTERVAL_SECONDS, self._check_timeouts
        )
        now = self._loop.time()
        for connection in list(self._connections):
            connection.check_timeouts(now)

    def _apply_table(self, table: Table) -> None:
        default = table.default_row
        self._timeouts.header_timeout_seconds = default.header_timeout_ms / SECOND_MS
        self._timeouts.body_timeout_seconds = default.body_timeout_ms / SECOND_MS
        self._timeouts.idle_timeout_seconds = default.idle_timeout_ms / SECOND_MS

    def _identify(self, request: HttpRequest) -> RequestIdentity | None:
        """Find a request whose body has not arrived.

        :param request: the request, without its body
        :return: its id and the time of its row, None if there is none
        """
        try:
            entry_request = self._protocol.parse(request)
        except InvalidInputError:
            # Refused with a log line once its body has arrived.
            return None
        row = self._entry.find_row(entry_request)
        if row is None:
            return None
        return RequestIdentity(_id_of(entry_request), row.deadline_ms)

    async def _handle(self, request: HttpRequest) -> HttpAnswer:
        try:
            entry_request = self._protocol.parse(request)
        except InvalidInputError as error:
            self._log.write(
                "request refused", step=error.step, peer="caller", error=error.message
            )
            return self._protocol.refuse(error)
        number = next(self._request_numbers)
        entry_request.progress = request.progress
        entry_request.progress.request_id = _id_of(entry_request)
        entry_request.progress.enter(RequestStep.FIND_SERVER)
        self._in_progress[number] = (
            entry_request.request_key or f"{request.method} {request.target}"
        )
        try:
            result = await self._entry.execute(entry_request)
        except asyncio.CancelledError:
            if not self._ends_unanswered:
                raise
            result = _interrupted(entry_request)
            self._log.write_decision(
                "request interrupted by the shutdown",
                result.request_key,
                step="answer caller",
            )
        finally:
            del self._in_progress[number]
        return self._protocol.render(result, self._tables.age_ms())


def _id_of(request: EntryRequest) -> str:
    key = request.request_key or request.request_id
    return key or f"{request.method} {request.path}"


def _interrupted(request: EntryRequest) -> EntryResult:
    failed = Failed(Reason.SHUTTING_DOWN, "still running at the end of the shutdown")
    key = request.request_key or request.request_id
    return EntryResult(failed, Outcome.UNKNOWN, key, "")
