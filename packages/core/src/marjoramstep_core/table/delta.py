"""Rows to send to a receiver that holds another version of the table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..errors import InvalidInputError
from ..ids import RowName
from ..ids import TableVersion
from .row import Row
from .table import Table


@dataclass(frozen=True)
class TableDelta:
    """Rows that differ between two versions.

    :param base_version: version to which the delta applies
    :param version: version that results
    :param changed: rows that are new or have other cells
    :param dropped: names of rows that were removed
    """

    base_version: TableVersion
    version: TableVersion
    changed: tuple[Row, ...]
    dropped: tuple[RowName, ...]

    @classmethod
    def between(cls, base: Table, table: Table) -> TableDelta:
        """Compute the delta from one table to another.

        :param base: table held by the receiver
        :param table: table that the receiver is to get
        :return: the delta
        """
        changed = tuple(
            row for name, row in table.rows.items() if base.rows.get(name) != row
        )
        dropped = tuple(name for name in base.rows if name not in table.rows)
        return cls(base.version, table.version, changed, dropped)

    def apply(self, base: Table) -> Table:
        """Apply the delta to a table.

        :param base: a table whose version is ``base_version``
        :return: the table of the new version
        :raises InvalidInputError: if the version of the table differs
        """
        if base.version != self.base_version:
            raise InvalidInputError(
                f"a delta from version {self.base_version} does not apply to version "
                f"{base.version}",
                step="apply table delta",
            )
        rows = {k: row for k, row in base.rows.items() if k not in self.dropped}
        rows.update((row.name, row) for row in self.changed)
        return Table(self.version, rows)

    def to_json(self) -> dict[str, Any]:
        """Return the delta as JSON values.

        :return: ``base_version``, ``version``, ``changed`` and ``dropped``
        """
        return {
            "base_version": self.base_version,
            "version": self.version,
            "changed": [row.to_cells() for row in self.changed],
            "dropped": list(self.dropped),
        }

    @classmethod
    def from_json(cls, document: dict[str, Any]) -> TableDelta:
        """Build a delta from JSON values.

        :param document: as returned by :meth:`to_json`
        :return: the delta, with validated rows
        :raises InvalidInputError: if the document or a cell is not valid
        """
        versions = [document.get("base_version"), document.get("version")]
        lists = [document.get("changed"), document.get("dropped")]
        if not all(isinstance(version, int) for version in versions) or not all(
            isinstance(entry, list) for entry in lists
        ):
            raise InvalidInputError(
                "a table delta needs two versions and two lists", step="read delta"
            )
        return cls(
            TableVersion(document["base_version"]),
            TableVersion(document["version"]),
            tuple(map(Row.from_cells, document["changed"])),
            tuple(map(RowName, document["dropped"])),
        )
