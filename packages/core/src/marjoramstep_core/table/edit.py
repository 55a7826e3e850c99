"""Edit operations and their atomic application to a table."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import TYPE_CHECKING
from typing import Any

from ..errors import InvalidInputError
from ..ids import RowName
from ..ids import TableVersion
from .row import CellFault
from .row import InvalidCellsError
from .row import Row
from .table import DEFAULT_ROW_NAME
from .table import ROW_LIMIT
from .table import Table


if TYPE_CHECKING:
    from collections.abc import Sequence


@unique
class OperationKind(Enum):
    """What an operation does to the table."""

    SET_CELL = "set"
    ADD_ROW = "add"
    DROP_ROW = "drop"


@dataclass(frozen=True)
class EditOperation:
    """One operation of an edit.

    :param kind: kind of the operation
    :param row: name of the row
    :param cells: the cells to set, or the cells of the new row
    """

    kind: OperationKind
    row: RowName
    cells: dict[str, object]

    def to_json(self) -> dict[str, Any]:
        """Return the operation as JSON values.

        :return: ``kind``, ``row`` and ``cells``
        """
        return {"kind": self.kind.value, "row": self.row, "cells": self.cells}

    @classmethod
    def from_json(cls, document: Any) -> EditOperation:
        """Build an operation from JSON values.

        :param document: as returned by :meth:`to_json`
        :return: the operation; its cells are validated when it is applied
        :raises InvalidInputError: if the structure is not valid
        """
        if not isinstance(document, dict):
            raise InvalidInputError("an operation must be an object", step="read edit")
        kinds = [kind.value for kind in OperationKind]
        kind = document.get("kind")
        row = document.get("row")
        cells = document.get("cells", {})
        if kind not in kinds or not isinstance(row, str) or not isinstance(cells, dict):
            raise InvalidInputError(
                f"an operation needs 'kind' ({', '.join(kinds)}), a text 'row' and an "
                "object 'cells'",
                step="read edit",
            )
        return cls(OperationKind(kind), RowName(row), cells)


def apply_operations(table: Table, operations: Sequence[EditOperation]) -> Table:
    """Apply all operations, or none of them.

    :param table: the table to edit; it is not modified
    :param operations: applied in order
    :return: a new table with the next version
    :raises InvalidCellsError: lists the invalid cells of all operations
    """
    rows = dict(table.rows)
    faults: list[CellFault] = []
    if not operations:
        faults.append(CellFault("", "", "", "an edit needs at least one operation"))
    for operation in operations:
        try:
            _apply(rows, operation)
        except InvalidCellsError as error:
            faults.extend(error.faults)
    if len(rows) > ROW_LIMIT:
        problem = f"a table holds at most {ROW_LIMIT} rows"
        faults.append(CellFault("", "name", str(len(rows)), problem))
    if faults:
        raise InvalidCellsError(faults)
    return Table(TableVersion(table.version + 1), rows)


def _apply(rows: dict[RowName, Row], operation: EditOperation) -> None:
    if operation.kind is OperationKind.ADD_ROW:
        if operation.row in rows:
            raise _invalid_row(operation, "a row of this name exists")
        rows[operation.row] = Row.from_cells({**operation.cells, "name": operation.row})
        return
    if operation.row not in rows:
        raise _invalid_row(operation, "no such row")
    if operation.kind is OperationKind.DROP_ROW:
        if operation.row == DEFAULT_ROW_NAME:
            raise _invalid_row(operation, "the default row cannot be dropped")
        del rows[operation.row]
        return
    _set_cells(rows, operation)


def _set_cells(rows: dict[RowName, Row], operation: EditOperation) -> None:
    if operation.cells.get("name", operation.row) != operation.row:
        raise _invalid_row(
            operation, "a row cannot be renamed; add one, drop the other"
        )
    matching = ("service", "host", "method", "path_prefix")
    if operation.row == DEFAULT_ROW_NAME and any(
        c in operation.cells for c in matching
    ):
        raise _invalid_row(operation, "the default row matches everything")
    if not operation.cells:
        raise _invalid_row(operation, "expected at least one cell to set")
    merged = {**rows[operation.row].to_cells(), **operation.cells}
    rows[operation.row] = Row.from_cells(merged)


def _invalid_row(operation: EditOperation, problem: str) -> InvalidCellsError:
    return InvalidCellsError([CellFault(operation.row, "name", operation.row, problem)])
