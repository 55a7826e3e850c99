"""The policy table at one version."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any

from ..errors import InvalidInputError
from ..ids import RowName
from ..ids import TableVersion
from .row import Row


DEFAULT_ROW_NAME = RowName("default")
ROW_LIMIT = 16_384


def _default_rows() -> dict[RowName, Row]:
    return {DEFAULT_ROW_NAME: Row.from_cells({"name": DEFAULT_ROW_NAME, "weight": 10})}


@dataclass(frozen=True)
class Table:
    """All rows at one version, immutable; an edit creates a new table.

    :param version: increases by one with each accepted edit
    :param rows: rows by name; always includes ``default``
    """

    version: TableVersion = TableVersion(1)
    rows: dict[RowName, Row] = field(default_factory=_default_rows)

    @property
    def default_row(self) -> Row:
        """The row of requests that no other row matches."""
        return self.rows[DEFAULT_ROW_NAME]

    def to_json(self) -> dict[str, Any]:
        """Return the table as JSON values.

        :return: ``version`` and ``rows``, a list in name order
        """
        return {
            "version": self.version,
            "rows": [self.rows[name].to_cells() for name in sorted(self.rows)],
        }

    def to_stated_json(self) -> dict[str, Any]:
        """Return the table as JSON values, without cells that have their defaults.

        :return: as :meth:`to_json`
        """
        rows = [self.rows[name].to_stated_cells() for name in sorted(self.rows)]
        return {"version": self.version, "rows": rows}

    @classmethod
    def from_json(cls, document: dict[str, Any]) -> Table:
        """Build a table from JSON values.

        :param document: as returned by :meth:`to_json`
        :return: the validated table
        :raises InvalidInputError: if the document or a cell is not valid
        """
        version = document.get("version")
        cells_list = document.get("rows")
        if not isinstance(version, int) or not isinstance(cells_list, list):
            raise InvalidInputError(
                "a table needs a whole number 'version' and a list 'rows'",
                step="read table",
            )
        rows = {row.name: row for row in map(Row.from_cells, cells_list)}
        if DEFAULT_ROW_NAME not in rows or len(rows) != len(cells_list):
            raise InvalidInputError(
                "row names must be unique and include 'default'", step="read table"
            )
        return cls(TableVersion(version), rows)
