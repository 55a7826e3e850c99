"""Command ``replicas list``."""

from __future__ import annotations

from typing import Any

from ..client import ControlClient
from ..errors import ExitStatus
from ..output import write_json
from ..output import write_line
from ..output import write_table
from ..registry import command
from ..replicas import warn_of_losses
from ..session import DEFAULT_TIMEOUT_MS
from ..session import run_session


NAME = "replicas list"
DESCRIPTION = "Show the control replicas."


@command(NAME, DESCRIPTION)
def handler(
    *,
    control: str | None = None,
    token_file: str | None = None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    json: bool = False,
) -> int:
    """Read and write the answer."""

    async def read(client: ControlClient) -> dict[str, Any]:
        return await client.get("/v1/replicas")

    document = run_session(
        read, control=control, token_file=token_file, timeout_ms=timeout_ms
    )
    if json:
        write_json(document)
        return ExitStatus.OK
    write_table(document.get("replicas", []))
    write_line(f"survives losses: {document.get('survives_losses', '-')}")
    warn_of_losses(document)
    return ExitStatus.OK
