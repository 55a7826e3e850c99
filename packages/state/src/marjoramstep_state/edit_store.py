"""The table, its recent versions and the results of edits."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import orjson
from marjoramstep_core.ids import EditKey
from marjoramstep_core.ids import TableVersion
from marjoramstep_core.table import DEFAULT_ROW_NAME
from marjoramstep_core.table import Row
from marjoramstep_core.table import Table
from marjoramstep_core.table import apply_operations
from marjoramstep_core.table.row import CellFault
from marjoramstep_core.table.row import InvalidCellsError
from marjoramstep_core.table.table import ROW_LIMIT

from .errors import InvalidSnapshotError
from .fields import Fields
from .limits import COMMAND_LIMIT_BYTES
from .results import EditResult
from .results import EditVerdict
from .results import EditWinner


if TYPE_CHECKING:
    from marjoramstep_core.ids import RowName

    from .edit_commands import EditTable
    from .edit_commands import ReplaceTable
    from .limits import StateLimits

FAULT_VALUE_LIMIT_CHARACTERS = 200
# Limits the size of the stored result of an edit with many faulty cells.
FAULT_LIMIT = 1000
# Accepted replacements that are remembered to recognise a resend.
REPLACEMENT_LIMIT = 10_000


@dataclass(frozen=True)
class _StoredResult:
    """Stored result of an edit; ``content_sha256`` tells a resend from a reused key."""

    time_ms: int
    content_sha256: str
    result: EditResult


class EditStore:
    """Applies edits with compare-and-set on the table's version.

    :param limits: limits of the state
    """

    def __init__(self, limits: StateLimits) -> None:
        self._limits = limits
        self._versions: dict[TableVersion, Table] = {Table().version: Table()}
        self._current = Table()
        self._winners: dict[TableVersion, EditWinner] = {}
        self._results: dict[EditKey, _StoredResult] = {}
        self._revision = 0
        self._source = ""
        self._replacements: dict[EditKey, int] = {}

    @property
    def revision(self) -> int:
        """Revision of the last accepted replacement; 0 if there is none."""
        return self._revision

    @property
    def source(self) -> str:
        """Source of the last accepted replacement; empty if there is none."""
        return self._source

    @property
    def table(self) -> Table:
        """The current table."""
        return self._current

    def table_at(self, version: TableVersion) -> Table | None:
        """Return a recent version of the table.

        :param version: the version
        :return: the table, ``None`` if the version is not retained or does not exist
        """
        return self._versions.get(version)

    def find_result(self, edit_key: EditKey, watermark_ms: int) -> EditResult | None:
        """Return the first result of an edit key.

        :param edit_key: the key
        :param watermark_ms: highest applied log time in Unix milliseconds
        :return: the result, ``None`` if the key is unknown or expired
        """
        stored = self._results.get(edit_key)
        if stored is None or self._is_expired(stored, watermark_ms):
            return None
        return stored.result

    def apply(self, command: EditTable, watermark_ms: int) -> tuple[EditResult, bool]:
        """Apply an edit, or return the stored result of a resend.

        :param command: the edit
        :param watermark_ms: highest applied log time in Unix milliseconds
        :return: the result, and whether it is the stored one
        """
        content_sha256 = _content_sha256(command)
        stored = self._results.get(command.edit_key)
        if stored is not None and not self._is_expired(stored, watermark_ms):
            if stored.content_sha256 == content_sha256:
                return stored.result, True
            return self._refuse("edit_key", command.edit_key, "key used before"), False
        result = self._apply_new(command, watermark_ms)
        # Removed first, so that the dictionary stays in order of time.
        self._results.pop(command.edit_key, None)
        self._results[command.edit_key] = _StoredResult(
            watermark_ms, content_sha256, result
        )
        return result, False

    def replace(
        self, command: ReplaceTable, watermark_ms: int
    ) -> tuple[EditResult, bool]:
        """Apply a replacement of the whole table.

        A resend of an accepted replacement is accepted again. A refusal is not stored,
        because the base revision may be accepted after the refusal.

        :param command: the replacement
        :param watermark_ms: highest applied log time in Unix milliseconds
        :return: the result, and whether the replacement was accepted before
        """
        version = self._current.version
        if command.edit_key in self._replacements:
            return EditResult(EditVerdict.ACCEPTED, version), True
        if command.base_revision != self._revision:
            winner = self._winners.get(version)
            return EditResult(EditVerdict.CONFLICT, version, winner=winner), False
        if command.revision <= self._revision:
            problem = f"expected a revision above {self._revision}"
            value = str(command.revision)
            return self._refuse("revision", value, problem), False
        try:
            table = _replacement_table(self._current, command)
        except InvalidCellsError as error:
            faults = tuple(map(_truncate, error.faults[:FAULT_LIMIT]))
            return EditResult(EditVerdict.REFUSED, version, faults), False
        self._accept(command, table, watermark_ms)
        self._revision = command.revision
        self._source = command.source
        self._replacements[command.edit_key] = command.revision
        while len(self._replacements) > REPLACEMENT_LIMIT:
            del self._replacements[next(iter(self._replacements))]
        return EditResult(EditVerdict.ACCEPTED, table.version), False

    def prune(self, watermark_ms: int) -> int:
        """Remove a limited number of expired results.

        :param watermark_ms: highest applied log time in Unix milliseconds
        :return: number of results removed
        """
        removed = 0
        while removed < self._limits.prune_batch_size and self._results:
            oldest = next(iter(self._results))
            if not self._is_expired(self._results[oldest], watermark_ms):
                break
            del self._results[oldest]
            removed += 1
        return removed

    def _apply_new(self, command: EditTable, watermark_ms: int) -> EditResult:
        version = self._current.version
        if command.base_version > version:
            problem = f"no such version; the table is at {version}"
            return self._refuse("base_version", str(command.base_version), problem)
        if command.base_version < version:
            # If the edit that directly followed is no longer retained, name the latest.
            next_version = TableVersion(command.base_version + 1)
            winner = self._winners.get(next_version) or self._winners.get(version)
            return EditResult(EditVerdict.CONFLICT, version, winner=winner)
        try:
            table = apply_operations(self._current, command.operations)
        except InvalidCellsError as error:
            faults = tuple(map(_truncate, error.faults[:FAULT_LIMIT]))
            return EditResult(EditVerdict.REFUSED, version, faults)
        self._accept(command, table, watermark_ms)
        return EditResult(EditVerdict.ACCEPTED, table.version)

    def _accept(
        self, command: EditTable | ReplaceTable, table: Table, watermark_ms: int
    ) -> None:
        self._current = table
        self._versions[table.version] = table
        self._winners[table.version] = EditWinner(
            command.edit_key, command.operator, table.version, watermark_ms
        )
        while len(self._versions) > self._limits.table_versions:
            oldest = next(iter(self._versions))
            del self._versions[oldest]
            self._winners.pop(oldest, None)

    def _refuse(self, column: str, value: str, problem: str) -> EditResult:
        fault = CellFault("", column, value, problem)
        return EditResult(EditVerdict.REFUSED, self._current.version, (fault,))

    def _is_expired(self, stored: _StoredResult, watermark_ms: int) -> bool:
        return stored.time_ms < watermark_ms - self._limits.edit_verdict_retention_ms

    def to_json(self) -> dict[str, Any]:
        """Encode the edits as JSON values.

        :return: the oldest retained table, the changes of each later version, the
            winning edits and the stored results
        """
        tables = list(self._versions.values())
        return {
            "oldest": tables[0].to_json(),
            "changes": [
                _diff(before, after)
                for before, after in zip(tables, tables[1:], strict=False)
            ],
            "winners": [winner.to_json() for winner in self._winners.values()],
            "verdicts": [
                [key, d.time_ms, d.content_sha256, d.result.to_json()]
                for key, d in self._results.items()
            ],
            "revision": self._revision,
            "source": self._source,
            "replacements": list(self._replacements.items()),
        }

    @classmethod
    def from_json(cls, document: Any, limits: StateLimits) -> EditStore:
        """Decode the edits from JSON values.

        :param document: as returned by :meth:`to_json`
        :param limits: limits of the state
        :return: the edits
        :raises InvalidInputError: if a field is not valid
        """
        fields = Fields(document)
        store = cls(limits)
        table = Table.from_json(document["oldest"])
        store._versions = {table.version: table}
        for changes in fields.list_field("changes"):
            table = _apply_diff(table, changes)
            store._versions[table.version] = table
        store._current = table
        for winner in map(EditWinner.from_json, fields.list_field("winners")):
            store._winners[winner.version] = winner
        for key, time_ms, content_sha256, result in fields.list_field("verdicts"):
            stored = _StoredResult(
                time_ms, content_sha256, EditResult.from_json(result)
            )
            store._results[EditKey(key)] = stored
        if "revision" in document:
            # Snapshots of earlier releases have no revision.
            store._revision = fields.integer("revision")
            store._source = fields.text("source", limit=COMMAND_LIMIT_BYTES)
            for key, revision in fields.list_field("replacements"):
                store._replacements[EditKey(key)] = int(revision)
        return store


def _replacement_table(table: Table, command: ReplaceTable) -> Table:
    rows: dict[RowName, Row] = {}
    for row in map(Row.from_cells, command.rows):
        if row.name in rows:
            fault = CellFault(row.name, "name", row.name, "expected a unique name")
            raise InvalidCellsError([fault])
        # Reuse the object of an unchanged row, which keeps deltas small.
        previous = table.rows.get(row.name)
        rows[row.name] = previous if previous == row else row
    rows.setdefault(DEFAULT_ROW_NAME, Table().rows[DEFAULT_ROW_NAME])
    if len(rows) > ROW_LIMIT:
        problem = f"a table holds at most {ROW_LIMIT} rows"
        raise InvalidCellsError([CellFault("", "name", str(len(rows)), problem)])
    return Table(TableVersion(table.version + 1), rows)


def _content_sha256(command: EditTable) -> str:
    operations = [operation.to_json() for operation in command.operations]
    content = [command.base_version, operations]
    data = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(data).hexdigest()


def _truncate(fault: CellFault) -> CellFault:
    def truncate(text: str) -> str:
        return text[:FAULT_VALUE_LIMIT_CHARACTERS]

    return CellFault(
        truncate(fault.row),
        truncate(fault.column),
        truncate(fault.value),
        truncate(fault.problem),
    )


def _diff(before: Table, after: Table) -> dict[str, Any]:
    return {
        "rows": [
            row.to_cells()
            for name, row in sorted(after.rows.items())
            if before.rows.get(name) is not row and before.rows.get(name) != row
        ],
        "dropped": sorted(before.rows.keys() - after.rows.keys()),
    }


def _apply_diff(table: Table, changes: dict[str, Any]) -> Table:
    rows = dict(table.rows)
    for name in changes["dropped"]:
        if name not in rows:
            raise InvalidSnapshotError(f"dropped row {name!r} does not exist")
        del rows[name]
    for row in map(Row.from_cells, changes["rows"]):
        rows[row.name] = row
    return Table(TableVersion(table.version + 1), rows)
