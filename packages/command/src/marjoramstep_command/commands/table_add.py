"""Command ``table add``."""

from __future__ import annotations

from typing import Any

from marjoramstep_core.ids import RowName
from marjoramstep_core.table import EditOperation
from marjoramstep_core.table.edit import OperationKind

from ..client import ControlClient
from ..edits import read_assignments
from ..edits import report_verdict
from ..edits import submit_edit
from ..registry import command
from ..session import DEFAULT_TIMEOUT_MS
from ..session import run_session


NAME = "table add"
DESCRIPTION = "Add a row; columns left out take their defaults."


@command(NAME, DESCRIPTION)
def handler(
    row: str,
    *assignments: str,
    edit_key: str | None = None,
    base_version: int | None = None,
    control: str | None = None,
    token_file: str | None = None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    json: bool = False,
) -> int:
    """Send the edit.

    :param row: Name of the new row.
    :param assignments: Cells as column=value.
    """
    operation = EditOperation(
        OperationKind.ADD_ROW, RowName(row), read_assignments(assignments)
    )

    async def send(client: ControlClient) -> dict[str, Any]:
        return await submit_edit(
            client, [operation], edit_key=edit_key, base_version=base_version
        )

    document = run_session(
        send, control=control, token_file=token_file, timeout_ms=timeout_ms
    )
    return report_verdict(document, as_json=json)
