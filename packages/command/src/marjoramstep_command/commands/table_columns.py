"""Command ``table columns``."""

from __future__ import annotations

from marjoramstep_core.table.columns import COLUMNS

from ..errors import ExitStatus
from ..output import write_json
from ..output import write_table
from ..registry import command


NAME = "table columns"
DESCRIPTION = "Show the columns of the table."


@command(NAME, DESCRIPTION)
def handler(*, json: bool = False) -> int:
    """Write name, default and description of each column."""
    rows = [
        {
            "name": name,
            "default": COLUMNS.get(name).default,
            "description": COLUMNS.get(name).description,
        }
        for name in COLUMNS
    ]
    if json:
        write_json(rows)
    else:
        write_table(rows)
    return ExitStatus.OK
