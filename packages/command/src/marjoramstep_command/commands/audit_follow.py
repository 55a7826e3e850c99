"""Command ``audit follow``."""

from __future__ import annotations

from marjoramstep_state.audit import AuditEntry
from marjoramstep_state.audit import AuditInconsistency

from ..audit import ENTRY_COLUMNS
from ..audit import entry_row
from ..audit import follow_trail
from ..client import ControlClient
from ..errors import ExitStatus
from ..errors import UsageError
from ..output import cell_text
from ..output import write_error
from ..output import write_json
from ..output import write_line
from ..registry import command
from ..session import DEFAULT_TIMEOUT_MS
from ..session import run_session


NAME = "audit follow"
DESCRIPTION = (
    "Write new entries of the audit trail as they arrive, and check their links."
)


@command(NAME, DESCRIPTION)
def handler(
    *,
    after: int | None = None,
    count: int | None = None,
    interval_ms: int = 1_000,
    control: str | None = None,
    token_file: str | None = None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    json: bool = False,
) -> int:
    """Poll the trail until interrupted.

    :param after: Start after this sequence number, by default at the end.
    :param count: Stop after this number of entries.
    :param interval_ms: Time between two polls, in milliseconds.
    """
    if interval_ms <= 0:
        raise UsageError("--interval-ms must be above 0", step="read arguments")

    def write(entry: AuditEntry) -> None:
        if json:
            write_json(entry.to_json())
        else:
            cells = entry_row(entry)
            write_line("  ".join(cell_text(cells[c]) for c in ENTRY_COLUMNS))

    async def follow(client: ControlClient) -> AuditInconsistency | None:
        return await follow_trail(client, after, count, interval_ms, write)

    fault = run_session(
        follow, control=control, token_file=token_file, timeout_ms=timeout_ms
    )
    if fault is None:
        return ExitStatus.OK
    write_error(f"audit entry {fault.sequence}: {fault.problem}")
    return ExitStatus.NOT_VERIFIED
