"""Cell-by-cell comparison of two tables."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from ..ids import RowName
    from .columns import CellValue
    from .table import Table


@dataclass(frozen=True)
class CellChange:
    """One cell that differs; ``None`` if the table does not have the row.

    :param row: name of the row
    :param column: name of the column
    :param before: value in the first table
    :param after: value in the second table
    """

    row: RowName
    column: str
    before: CellValue | None
    after: CellValue | None


def diff_tables(before: Table, after: Table) -> list[CellChange]:
    """Compare two tables cell by cell.

    :param before: first table
    :param after: second table
    :return: changes ordered by row and column
    """
    changes: list[CellChange] = []
    for name in sorted(before.rows.keys() | after.rows.keys()):
        if before.rows.get(name) == after.rows.get(name):
            continue
        old = before.rows[name].to_cells() if name in before.rows else {}
        new = after.rows[name].to_cells() if name in after.rows else {}
        changes.extend(
            CellChange(name, column, old.get(column), new.get(column))
            for column in sorted(old.keys() | new.keys())
            if old.get(column) != new.get(column)
        )
    return changes
