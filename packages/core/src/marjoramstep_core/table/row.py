"""One row of the table."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from enum import unique
from functools import cached_property
from typing import TYPE_CHECKING

from ..errors import InvalidInputError
from ..ids import ServiceName
from .columns import COLUMNS
from .columns import NO_TARGETS
from .columns import CellError
from .columns import CellValue


if TYPE_CHECKING:
    from ..ids import RowName

# Looked up here, since a table has thousands of rows.
_PARSERS = {column_name: COLUMNS.get(column_name).parse for column_name in COLUMNS}
DEFAULT_CELLS: dict[str, CellValue] = {
    column_name: COLUMNS.get(column_name).default for column_name in COLUMNS
}


@unique
class SizeClassRule(Enum):
    """How the :class:`SizeClass` (by duration) of a row's requests is determined."""

    SHORT = "short"
    LONG = "long"
    LEARN = "learn"


@dataclass(frozen=True)
class CellFault:
    """One invalid cell.

    :param row: name of the row, as given
    :param column: name of the column
    :param value: the value found, as text
    :param problem: what was expected
    """

    row: str
    column: str
    value: str
    problem: str

    def __str__(self) -> str:
        return f"{self.row}.{self.column}: {self.problem}, found {self.value!r}"


class InvalidCellsError(InvalidInputError):
    """Cells of a row or an edit are not valid.

    :param faults: all invalid cells
    """

    def __init__(self, faults: list[CellFault]) -> None:
        super().__init__("; ".join(map(str, faults)), step="check cells")
        self.faults = faults


@dataclass(frozen=True)
class TargetShare:
    """One weighted target of a row.

    :param service: service to which requests are sent
    :param share: weight relative to the sum of the row's shares; 0 for no requests
    """

    service: ServiceName
    share: int


@dataclass(frozen=True)
class Row:
    """A class of requests with its policy; the columns describe each field."""

    name: RowName
    service: ServiceName
    host: str
    targets: str
    method: str
    path_prefix: str
    weight: int
    repeatable: bool
    claimed: bool
    deadline_ms: int
    objective_ms: int
    concurrency_share_percent: int
    size_class: SizeClassRule
    expected_ms: int
    retries: int
    attempts: int
    queue_length: int
    queue_wait_ms: int
    body_limit_bytes: int
    stored_answer_limit_bytes: int
    header_timeout_ms: int
    body_timeout_ms: int
    idle_timeout_ms: int

    @property
    def needs_claim(self) -> bool:
        """Whether a request of this row runs under a durable claim."""
        return self.claimed and not self.repeatable

    @cached_property
    def target_shares(self) -> tuple[TargetShare, ...]:
        """Services to which requests of this row are sent, with their shares."""
        if self.targets == NO_TARGETS:
            return ()
        pairs = (part.rpartition(":") for part in self.targets.split(","))
        return tuple(
            TargetShare(ServiceName(name), int(share)) for name, _, share in pairs
        )

    @classmethod
    def from_cells(cls, cells: dict[str, object]) -> Row:
        """Build a row from cells; missing columns take their defaults.

        :param cells: value by column name, as text or JSON values
        :return: the validated row
        :raises InvalidCellsError: lists every invalid cell and unknown column
        """
        row_name = str(cells.get("name", ""))
        faults = [
            CellFault(row_name, key, str(cells[key]), "no such column")
            for key in cells
            if key not in _PARSERS
        ]
        values: dict[str, CellValue] = dict(DEFAULT_CELLS)
        for column_name, parse in _PARSERS.items():
            if column_name not in cells and column_name != "name":
                continue
            raw = cells.get(column_name, "")
            try:
                values[column_name] = parse(raw)
            except CellError as error:
                faults.append(CellFault(row_name, column_name, str(raw), str(error)))
        if faults:
            raise InvalidCellsError(faults)
        return cls(
            **{  # type: ignore[arg-type]
                **values,
                "size_class": SizeClassRule(values["size_class"]),
            }
        )

    def to_cells(self) -> dict[str, CellValue]:
        """Return the row as JSON values.

        :return: value by column name, in column order
        """
        cells: dict[str, CellValue] = {
            column_name: getattr(self, column_name) for column_name in DEFAULT_CELLS
        }
        cells["size_class"] = self.size_class.value
        return cells

    def to_stated_cells(self) -> dict[str, CellValue]:
        """Return the cells that differ from the defaults of their columns.

        :return: value by column name, the name always; :meth:`from_cells` gives the
            same row
        """
        return {
            column_name: value
            for column_name, value in self.to_cells().items()
            if column_name == "name" or value != DEFAULT_CELLS[column_name]
        }
