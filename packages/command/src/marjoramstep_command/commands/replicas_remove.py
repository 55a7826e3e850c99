"""Command ``replicas remove``."""

from __future__ import annotations

from typing import Any

from ..client import ControlClient
from ..registry import command
from ..replicas import change_replicas
from ..replicas import report_change
from ..session import DEFAULT_TIMEOUT_MS
from ..session import run_session


NAME = "replicas remove"
DESCRIPTION = "Remove a replica."


@command(NAME, DESCRIPTION)
def handler(
    replica_id: str,
    *,
    control: str | None = None,
    token_file: str | None = None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    json: bool = False,
) -> int:
    """Send the change.

    :param replica_id: Id of the replica, as it reports it in its log.
    """

    async def send(client: ControlClient) -> dict[str, Any]:
        return await change_replicas(client, replica_id, "remove")

    document = run_session(
        send, control=control, token_file=token_file, timeout_ms=timeout_ms
    )
    return report_change(document, replica_id, "remove", as_json=json)
