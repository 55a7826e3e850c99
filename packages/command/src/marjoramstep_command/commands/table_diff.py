"""Command ``table diff``."""

from __future__ import annotations

from marjoramstep_core.table import Table
from marjoramstep_core.table.diff import CellChange
from marjoramstep_core.table.diff import diff_tables

from ..client import ControlClient
from ..errors import ExitStatus
from ..output import write_json
from ..output import write_table
from ..registry import command
from ..session import DEFAULT_TIMEOUT_MS
from ..session import run_session


NAME = "table diff"
DESCRIPTION = "Show the cells that differ between two versions."


@command(NAME, DESCRIPTION)
def handler(
    before: int,
    after: int | None = None,
    *,
    control: str | None = None,
    token_file: str | None = None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    json: bool = False,
) -> int:
    """Read both versions and compare them.

    :param before: First version.
    :param after: Second version, by default the one in force.
    """

    async def read(client: ControlClient) -> list[CellChange]:
        old = await client.get("/v1/table", {"version": before})
        new = await client.get("/v1/table", {} if after is None else {"version": after})
        return diff_tables(Table.from_json(old), Table.from_json(new))

    changes = run_session(
        read, control=control, token_file=token_file, timeout_ms=timeout_ms
    )
    rows = [dict(vars(change)) for change in changes]
    if json:
        write_json(rows)
    else:
        write_table(rows, ("row", "column", "before", "after"))
    return ExitStatus.OK
