"""Command ``table show``."""

from __future__ import annotations

from typing import Any

from ..client import ControlClient
from ..errors import ExitStatus
from ..output import write_json
from ..output import write_line
from ..output import write_table
from ..registry import command
from ..session import DEFAULT_TIMEOUT_MS
from ..session import run_session


NAME = "table show"
DESCRIPTION = "Show the table."


@command(NAME, DESCRIPTION)
def handler(
    *,
    version: int | None = None,
    control: str | None = None,
    token_file: str | None = None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    json: bool = False,
) -> int:
    """Read and write the answer.

    :param version: Version to show, by default the one in force.
    """

    async def read(client: ControlClient) -> dict[str, Any]:
        return await client.get(
            "/v1/table", {} if version is None else {"version": version}
        )

    document = run_session(
        read, control=control, token_file=token_file, timeout_ms=timeout_ms
    )
    if json:
        write_json(document)
        return ExitStatus.OK
    write_line(f"version {document['version']}")
    write_table(document["rows"])
    return ExitStatus.OK
