"""Command ``audit list``."""

from __future__ import annotations

from marjoramstep_state.audit import AuditEntry
from marjoramstep_state.audit import AuditFilter

from ..audit import ENTRY_COLUMNS
from ..audit import entry_row
from ..audit import read_trail
from ..client import ControlClient
from ..errors import ExitStatus
from ..output import write_json
from ..output import write_table
from ..registry import command
from ..session import DEFAULT_TIMEOUT_MS
from ..session import run_session


NAME = "audit list"
DESCRIPTION = "List entries of the audit trail."


@command(NAME, DESCRIPTION)
def handler(
    *,
    after: int = 0,
    limit: int = 100,
    operator: str | None = None,
    kind: str | None = None,
    verdict: str | None = None,
    since_ms: int | None = None,
    until_ms: int | None = None,
    control: str | None = None,
    token_file: str | None = None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    json: bool = False,
) -> int:
    """Read the trail page by page.

    :param after: Only entries with a higher sequence number.
    :param limit: Largest number of entries.
    :param operator: Only entries of this operator.
    :param kind: Only entries of this kind, edit or replica.
    :param verdict: Only entries with this verdict.
    :param since_ms: Earliest time in Unix milliseconds.
    :param until_ms: Latest time in Unix milliseconds.
    """
    selection = AuditFilter(operator, kind, verdict, since_ms, until_ms)

    async def read(client: ControlClient) -> list[AuditEntry]:
        found: list[AuditEntry] = []
        async for entry in read_trail(client, after):
            if len(found) >= limit:
                break
            if selection.matches(entry):
                found.append(entry)
        return found

    entries = run_session(
        read, control=control, token_file=token_file, timeout_ms=timeout_ms
    )
    if json:
        write_json([entry.to_json() for entry in entries])
    else:
        write_table([entry_row(entry) for entry in entries], ENTRY_COLUMNS)
    return ExitStatus.OK
