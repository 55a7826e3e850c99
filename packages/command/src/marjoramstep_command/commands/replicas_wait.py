"""Command ``replicas wait``."""

from __future__ import annotations

from typing import Any

from ..client import ControlClient
from ..errors import ExitStatus
from ..output import write_json
from ..output import write_line
from ..registry import command
from ..replicas import wait_for_replicas
from ..session import DEFAULT_TIMEOUT_MS
from ..session import run_session


NAME = "replicas wait"
DESCRIPTION = "Wait until all replicas are synced and losses are survived."


@command(NAME, DESCRIPTION)
def handler(
    *,
    survives: int = 1,
    wait_ms: int = 60_000,
    control: str | None = None,
    token_file: str | None = None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    json: bool = False,
) -> int:
    """Poll the replicas.

    :param survives: Number of lost replicas that must be survived.
    :param wait_ms: Longest wait, in milliseconds.
    """

    async def wait(client: ControlClient) -> dict[str, Any]:
        return await wait_for_replicas(client, survives, wait_ms)

    document = run_session(
        wait, control=control, token_file=token_file, timeout_ms=timeout_ms
    )
    if json:
        write_json(document)
    else:
        write_line(f"all replicas are synced; survives losses: {survives}")
    return ExitStatus.OK
