"""The table, its recent versions and the verdicts of edits."""

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
# Bounds the stored verdict of an edit with many faults.
FAULT_LIMIT = 1000
# Accepted replacements that a resend is recognised by.
REVISION_MEMORY = 10_000


@dataclass(frozen=True)
class _Decided:
    """A stored verdict; ``content_sha256`` tells a resend from a reused key."""

    time_ms: int
    content_sha256: str
    result: EditResult


class EditBook:
    """Decides edits by compare-and-set on the table's version.

    :param limits: bounds of the state
    """

    def __init__(self, limits: StateLimits) -> None:
        self._limits = limits
        self._versions: dict[TableVersion, Table] = {Table().version: Table()}
        self._current = Table()
        self._winners: dict[TableVersion, EditWinner] = {}
        self._decided: dict[EditKey, _Decided] = {}
        self._revision = 0
        self._source = ""
        self._replacements: dict[EditKey, int] = {}

    @property
    def revision(self) -> int:
        """Number of the last accepted replacement, 0 before any."""
        return self._revision

    @property
    def source(self) -> str:
        """Source text of the last accepted replacement, empty before any."""
        return self._source

    @property
    def table(self) -> Table:
        """The table in force."""
        return self._current

    def version(self, version: TableVersion) -> Table | None:
        """Return a recent version of the table.

        :param version: the version
        :return: the table, ``None`` if the version is not kept or does not exist
        """
        return self._versions.get(version)

    def verdict(self, edit_key: EditKey, watermark_ms: int) -> EditResult | None:
        """Return the first verdict of an edit key.

        :param edit_key: the key
        :param watermark_ms: highest log time in Unix milliseconds
        :return: the verdict, ``None`` if the key is unknown or its time is over
        """
        decided = self._decided.get(edit_key)
        if decided is None or self._is_over(decided, watermark_ms):
            return None
        return decided.result

    def apply(self, command: EditTable, watermark_ms: int) -> tuple[EditResult, bool]:
        """Decide an edit, or repeat its first verdict.

        :param command: the edit
        :param watermark_ms: highest log time in Unix milliseconds
        :return: the verdict, and whether it repeats the first one
        """
        content_sha256 = _content_sha256(command)
        decided = self._decided.get(command.edit_key)
        if decided is not None and not self._is_over(decided, watermark_ms):
            if decided.content_sha256 == content_sha256:
                return decided.result, True
            return self._refused("edit_key", command.edit_key, "key used before"), False
        result = self._decide(command, watermark_ms)
        # Removed first, so that the order of the dictionary is the order in time.
        self._decided.pop(command.edit_key, None)
        self._decided[command.edit_key] = _Decided(watermark_ms, content_sha256, result)
        return result, False

    def replace(
        self, command: ReplaceTable, watermark_ms: int
    ) -> tuple[EditResult, bool]:
        """Decide a replacement of the whole table.

        One that was accepted before is accepted again. A refusal is not remembered:
        the base of a replacement may be accepted after it was refused.

        :param command: the replacement
        :param watermark_ms: highest log time in Unix milliseconds
        :return: the verdict, and whether it repeats an acceptance
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
            return self._refused("revision", value, problem), False
        try:
            table = _replaced(self._current, command)
        except InvalidCellsError as error:
            faults = tuple(map(_shorten, error.faults[:FAULT_LIMIT]))
            return EditResult(EditVerdict.REFUSED, version, faults), False
        self._accept(command, table, watermark_ms)
        self._revision = command.revision
        self._source = command.source
        self._replacements[command.edit_key] = command.revision
        while len(self._replacements) > REVISION_MEMORY:
            del self._replacements[next(iter(self._replacements))]
        return EditResult(EditVerdict.ACCEPTED, table.version), False

    def prune(self, watermark_ms: int) -> int:
        """Remove a bounded number of verdicts whose time is over.

        :param watermark_ms: highest log time in Unix milliseconds
        :return: number of removed verdicts
        """
        removed = 0
        while removed < self._limits.prune_records and self._decided:
            oldest = next(iter(self._decided))
            if not self._is_over(self._decided[oldest], watermark_ms):
                break
            del self._decided[oldest]
            removed += 1
        return removed

    def _decide(self, command: EditTable, watermark_ms: int) -> EditResult:
        version = self._current.version
        if command.base_version > version:
            problem = f"no such version; the table is at {version}"
            return self._refused("base_version", str(command.base_version), problem)
        if command.base_version < version:
            rival = TableVersion(command.base_version + 1)
            winner = self._winners.get(rival) or self._winners.get(version)
            return EditResult(EditVerdict.CONFLICT, version, winner=winner)
        try:
            table = apply_operations(self._current, command.operations)
        except InvalidCellsError as error:
            faults = tuple(map(_shorten, error.faults[:FAULT_LIMIT]))
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

    def _refused(self, column: str, value: str, problem: str) -> EditResult:
        fault = CellFault("", column, value, problem)
        return EditResult(EditVerdict.REFUSED, self._current.version, (fault,))

    def _is_over(self, decided: _Decided, watermark_ms: int) -> bool:
        return decided.time_ms < watermark_ms - self._limits.edit_verdict_ms

    def to_json(self) -> dict[str, Any]:
        """Return the edits as JSON values.

        :return: the oldest table, the changes of each later one, winners and verdicts
        """
        tables = list(self._versions.values())
        return {
            "oldest": tables[0].to_json(),
            "changes": [
                _changes(before, after)
                for before, after in zip(tables, tables[1:], strict=False)
            ],
            "winners": [winner.to_json() for winner in self._winners.values()],
            "verdicts": [
                [key, d.time_ms, d.content_sha256, d.result.to_json()]
                for key, d in self._decided.items()
            ],
            "revision": self._revision,
            "source": self._source,
            "replacements": list(self._replacements.items()),
        }

    @classmethod
    def from_json(cls, document: Any, limits: StateLimits) -> EditBook:
        """Build the edits from JSON values.

        :param document: as returned by :meth:`to_json`
        :param limits: bounds of the state
        :return: the edits
        :raises InvalidInputError: if a field is not valid
        """
        fields = Fields(document)
        book = cls(limits)
        table = Table.from_json(document["oldest"])
        book._versions = {table.version: table}
        for changes in fields.items("changes"):
            table = _changed(table, changes)
            book._versions[table.version] = table
        book._current = table
        for winner in map(EditWinner.from_json, fields.items("winners")):
            book._winners[winner.version] = winner
        for key, time_ms, content_sha256, result in fields.items("verdicts"):
            decided = _Decided(time_ms, content_sha256, EditResult.from_json(result))
            book._decided[EditKey(key)] = decided
        if "revision" in document:
            # Snapshots of earlier releases have no revision.
            book._revision = fields.integer("revision")
            book._source = fields.text("source", limit=COMMAND_LIMIT_BYTES)
            for key, revision in fields.items("replacements"):
                book._replacements[EditKey(key)] = int(revision)
        return book


def _replaced(table: Table, command: ReplaceTable) -> Table:
    rows: dict[RowName, Row] = {}
    for row in map(Row.from_cells, command.rows):
        if row.name in rows:
            fault = CellFault(row.name, "name", row.name, "expected a unique name")
            raise InvalidCellsError([fault])
        # An unchanged row stays the same object, which keeps deltas small.
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


def _shorten(fault: CellFault) -> CellFault:
    def cut(text: str) -> str:
        return text[:FAULT_VALUE_LIMIT_CHARACTERS]

    return CellFault(
        cut(fault.row), cut(fault.column), cut(fault.value), cut(fault.problem)
    )


def _changes(before: Table, after: Table) -> dict[str, Any]:
    return {
        "rows": [
            row.to_cells()
            for name, row in sorted(after.rows.items())
            if before.rows.get(name) is not row and before.rows.get(name) != row
        ],
        "dropped": sorted(before.rows.keys() - after.rows.keys()),
    }


def _changed(table: Table, changes: dict[str, Any]) -> Table:
    rows = dict(table.rows)
    for name in changes["dropped"]:
        if name not in rows:
            raise InvalidSnapshotError(f"dropped row {name!r} does not exist")
        del rows[name]
    for row in map(Row.from_cells, changes["rows"]):
        rows[row.name] = row
    return Table(TableVersion(table.version + 1), rows)
