"""Command ``audit verify``."""

from __future__ import annotations

from marjoramstep_state.audit import AuditEntry
from marjoramstep_state.audit import verify_entries

from ..audit import read_trail
from ..client import ControlClient
from ..errors import ExitStatus
from ..output import write_error
from ..output import write_fields
from ..output import write_json
from ..registry import command
from ..session import DEFAULT_TIMEOUT_MS
from ..session import run_session


NAME = "audit verify"
DESCRIPTION = "Check the hashes and links of the audit trail."


@command(NAME, DESCRIPTION)
def handler(
    *,
    after: int = 0,
    previous_sha256: str | None = None,
    control: str | None = None,
    token_file: str | None = None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    json: bool = False,
) -> int:
    """Read the trail and check it.

    :param after: Only entries with a higher sequence number.
    :param previous_sha256: Known hash of the entry before the first one.
    """

    async def read(client: ControlClient) -> list[AuditEntry]:
        return [entry async for entry in read_trail(client, after)]

    entries = run_session(
        read, control=control, token_file=token_file, timeout_ms=timeout_ms
    )
    fault = verify_entries(entries, previous_sha256)
    document = {
        "entries": len(entries),
        "first_sequence": entries[0].sequence if entries else None,
        "last_sequence": entries[-1].sequence if entries else None,
        "last_sha256": entries[-1].sha256 if entries else None,
        "fault": None if fault is None else dict(vars(fault)),
    }
    if json:
        write_json(document)
    elif fault is None:
        write_fields(document)
    else:
        write_error(f"audit entry {fault.sequence}: {fault.problem}")
    return ExitStatus.OK if fault is None else ExitStatus.NOT_VERIFIED
