"""Command ``members``."""

from __future__ import annotations

from typing import Any

from ..client import ControlClient
from ..errors import ExitStatus
from ..output import write_json
from ..output import write_table
from ..registry import command
from ..session import DEFAULT_TIMEOUT_MS
from ..session import run_session


NAME = "members"
DESCRIPTION = "Show the backend servers that have announced themselves."
COLUMNS = ("service_name", "server_id", "state", "address", "zone", "slots", "node_id")


@command(NAME, DESCRIPTION)
def handler(
    *,
    service: str | None = None,
    control: str | None = None,
    token_file: str | None = None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    json: bool = False,
) -> int:
    """Read and write the answer.

    :param service: Show this service only.
    """

    async def read(client: ControlClient) -> dict[str, Any]:
        # Each service is registered at two replicas only.
        documents = await client.get_from_each("/v1/members")
        found = {
            member["server_id"]: member
            for document in documents
            for member in document.get("members", [])
        }
        return {"members": [found[server_id] for server_id in sorted(found)]}

    document = run_session(
        read, control=control, token_file=token_file, timeout_ms=timeout_ms
    )
    if json:
        write_json(document)
        return ExitStatus.OK
    members = document.get("members", [])
    write_table(
        [m for m in members if service in (None, m.get("service_name"))], COLUMNS
    )
    return ExitStatus.OK
