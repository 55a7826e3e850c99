"""Command ``table get``."""

from __future__ import annotations

from typing import Any

from ..client import ControlClient
from ..errors import ExitStatus
from ..errors import NotFoundError
from ..output import cell_text
from ..output import write_fields
from ..output import write_json
from ..output import write_line
from ..registry import command
from ..session import DEFAULT_TIMEOUT_MS
from ..session import run_session


NAME = "table get"
DESCRIPTION = "Show one row, or one cell of it."


@command(NAME, DESCRIPTION)
def handler(
    row: str,
    column: str | None = None,
    *,
    control: str | None = None,
    token_file: str | None = None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    json: bool = False,
) -> int:
    """Read the table and pick the row.

    :param row: Name of the row.
    :param column: Name of the column, by default all.
    """

    async def read(client: ControlClient) -> dict[str, Any]:
        return await client.get("/v1/table")

    document = run_session(
        read, control=control, token_file=token_file, timeout_ms=timeout_ms
    )
    rows = {cells["name"]: cells for cells in document["rows"]}
    if row not in rows:
        raise NotFoundError(f"no row {row!r}", step="read table")
    cells = rows[row]
    if column is not None and column not in cells:
        raise NotFoundError(f"no column {column!r}", step="read table")
    value = cells if column is None else cells[column]
    if json:
        write_json(value)
    elif column is None:
        write_fields(cells)
    else:
        write_line(cell_text(value))
    return ExitStatus.OK
