"""The table in force at this node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import orjson
from marjoramstep_core.packing import unpack
from marjoramstep_core.table import RowMatcher
from marjoramstep_core.table import Table
from marjoramstep_core.table.delta import TableDelta
from marjoramstep_core.table.matcher import WILDCARD


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import RowName
    from marjoramstep_core.ids import ServiceName
    from marjoramstep_core.table import Row
    from marjoramstep_wire.messages import TableReply

    from ..log import EventLog

SECOND_MS = 1_000.0
# Bound on the wait for a newer table that a peer has reported.
MAX_TABLE_WAIT_MS = 1_000.0
# Removed rows that are kept for calls in flight.
REMOVED_ROWS_LIMIT = 1_000


class TableStore:
    """Holds the newest received table; its version never goes down.

    :param clock: clock of the node
    :param log: event log
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._table: Table | None = None
        self._matcher: RowMatcher | None = None
        self._removed_rows: dict[RowName, Row] = {}
        self._confirmed_at_ms = float("-inf")
        self._newest_reported_version = 0
        self._changed = asyncio.Event()
        self.on_newer_version: Callable[[], None] = lambda: None
        # Called with each table that is put in force.
        self.table_observers: list[Callable[[Table], None]] = []

    @property
    def has_table(self) -> bool:
        """Whether a table has arrived since the start."""
        return self._table is not None

    @property
    def version(self) -> int:
        """Version in force, 0 without a table."""
        return 0 if self._table is None else self._table.version

    @property
    def newest_reported_version(self) -> int:
        """Highest version that any peer has reported."""
        return max(self._newest_reported_version, self.version)

    @property
    def table(self) -> Table | None:
        """The table in force."""
        return self._table

    @property
    def has_hosts(self) -> bool:
        """Whether any row in force has a host."""
        return self._matcher is not None and self._matcher.has_hosts

    def age_ms(self) -> float:
        """Time since a quorum last confirmed that this table is the newest.

        :return: milliseconds, infinite if never
        """
        return self._clock.now_ms() - self._confirmed_at_ms

    def match(self, service: ServiceName, method: str, path: str) -> Row:
        """Return the row of a request; only valid once there is a table.

        :param service: service that is called
        :param method: HTTP method
        :param path: path of the request
        :return: the most specific row
        """
        assert self._matcher is not None
        return self._matcher.match(service, method, path)

    def match_host(self, host: str, path: str) -> Row | None:
        """Return the row of a request that names a host.

        :param host: host name without a port
        :param path: path of the request
        :return: the row, or None if no row has the host and path
        """
        assert self._matcher is not None
        return self._matcher.match_host(host, path)

    def find_row(
        self, name: RowName, service: ServiceName, method: str, path: str
    ) -> Row:
        """Return the row that another node has chosen.

        A row with a host cannot be matched here, since the host is not passed. It is
        found by its name, also if it was removed while the call was in flight.

        :param name: name of the row
        :param service: service that is called
        :param method: HTTP method
        :param path: path of the request
        :return: the row of that name if it has a host, else the most specific match
        """
        assert self._table is not None
        row = self._table.rows.get(name) or self._removed_rows.get(name)
        if row is not None and row.host != WILDCARD:
            return row
        return self.match(service, method, path)

    def _keep_removed_rows(self, table: Table) -> None:
        before = {} if self._table is None else self._table.rows
        for name in before.keys() - table.rows.keys():
            self._removed_rows[name] = before[name]
            if len(self._removed_rows) > REMOVED_ROWS_LIMIT:
                del self._removed_rows[next(iter(self._removed_rows))]

    def record_version(self, version: int) -> None:
        """Record a version that a peer reported, and request the table if it is newer.

        :param version: version in force at the peer
        """
        if version > self.newest_reported_version:
            self._newest_reported_version = version
            self.on_newer_version()

    def receive(self, reply: TableReply) -> None:
        """Process a table reply of a replica or a peer.

        :param reply: the reply; without a table if the version here is not older
        :raises InvalidInputError: if the table is not valid
        """
        if reply.table_json:
            self._apply_document(_decode(reply.table_json))
        if reply.confirmed_ms >= 0 and reply.version == self.version:
            # The field of the reply is an age, not a time.
            confirmed_at_ms = self._clock.now_ms() - reply.confirmed_ms
            self._confirmed_at_ms = max(self._confirmed_at_ms, confirmed_at_ms)
        self._changed.set()
        self._changed = asyncio.Event()

    def _apply_document(self, document: dict[str, Any]) -> None:
        if "base_version" in document:
            delta = TableDelta.from_json(document)
            if self._table is None or self._table.version != delta.base_version:
                # A reply of another replica was applied first, so the base no longer
                # matches.
                self.on_newer_version()
                return
            table = delta.apply(self._table)
        else:
            table = Table.from_json(document)
        self.put_in_force(table)

    def put_in_force(self, table: Table) -> None:
        """Put a table in force if it is newer.

        :param table: the table
        """
        if table.version > self.version:
            self._matcher = RowMatcher(table)
            self._keep_removed_rows(table)
            self._table = table
            for observer in self.table_observers:
                observer(table)
            self._log.write(
                "table in force", step="receive table", version=table.version
            )

    async def wait_for_version(self, version: int, deadline_ms: float) -> None:
        """Wait until a version is in force, at most for a bounded time.

        :param version: version that a peer reported
        :param deadline_ms: absolute deadline of the request
        """
        self.record_version(version)
        until_ms = min(deadline_ms, self._clock.now_ms() + MAX_TABLE_WAIT_MS)
        while self.version < version:
            wait_ms = until_ms - self._clock.now_ms()
            if wait_ms <= 0:
                return
            try:
                async with asyncio.timeout(wait_ms / SECOND_MS):
                    await self._changed.wait()
            except TimeoutError:
                return


def _decode(data: bytes) -> Any:
    """Decode a table or a delta, which is packed if it is long."""
    return orjson.loads(data) if data.startswith(b"{") else unpack(data)
