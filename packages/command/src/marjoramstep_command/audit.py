"""Reads the audit trail from the replicas."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.errors import UnavailableError
from marjoramstep_state.audit import AuditEntry
from marjoramstep_state.audit import verify_entries
from marjoramstep_state.errors import InvalidCommandError

from .output import time_text
from .output import write_error


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from marjoramstep_state.audit import AuditInconsistency

    from .client import ControlClient

PAGE_ENTRIES = 500
ENTRY_COLUMNS = (
    "sequence",
    "time",
    "operator",
    "origin",
    "kind",
    "verdict",
    "before",
    "after",
)


def entry_row(entry: AuditEntry) -> dict[str, Any]:
    """Return the cells of an entry in a table.

    :param entry: the entry
    :return: value by column name
    """
    return {**entry.to_json(), "time": time_text(entry.time_ms)}


async def read_trail(client: ControlClient, after: int) -> AsyncIterator[AuditEntry]:
    """Read entries page by page up to the end.

    :param client: client of the replicas
    :param after: only entries with a higher sequence number
    :return: the entries in order
    :raises ProtocolError: if an entry cannot be read or the numbers do not rise
    :raises MarjoramstepError: if no replica answers
    """
    while True:
        document = await client.get(
            "/v1/audit", {"after": after, "limit": PAGE_ENTRIES}
        )
        entries = _read_page(document, after)
        if not entries:
            return
        for entry in entries:
            yield entry
        after = entries[-1].sequence


def _read_page(document: dict[str, Any], after: int) -> list[AuditEntry]:
    documents = document.get("entries")
    if not isinstance(documents, list):
        raise ProtocolError("no list of entries", step="read audit trail")
    try:
        entries = list(map(AuditEntry.from_json, documents))
    except InvalidCommandError as error:
        raise ProtocolError(error.message, step="read audit trail") from error
    if any(entry.sequence <= after for entry in entries):
        raise ProtocolError(f"an entry is not after {after}", step="read audit trail")
    return entries


async def follow_trail(
    client: ControlClient,
    after: int | None,
    count: int | None,
    interval_ms: int,
    write: Callable[[AuditEntry], None],
) -> AuditInconsistency | None:
    """Write new entries and check each against the one before.

    While no replica answers, it reports this once and keeps trying.

    :param client: client of the replicas
    :param after: start after this sequence number, ``None`` to start at the end
    :param count: stop after this number of entries, ``None`` for never
    :param interval_ms: time between two polls in milliseconds
    :param write: called with each entry
    :return: the first fault, ``None`` after ``count`` entries
    :raises MarjoramstepError: if the token is not accepted or an answer is not valid
    """
    last: AuditEntry | None = None
    if after is None:
        async for entry in read_trail(client, 0):
            last = entry
    position = after if after is not None else (last.sequence if last else 0)
    written, reported = 0, False
    while count is None or written < count:
        try:
            async for entry in read_trail(client, position):
                fault = verify_entries([entry] if last is None else [last, entry])
                if fault is not None:
                    return fault
                write(entry)
                last, position, written, reported = (
                    entry,
                    entry.sequence,
                    written + 1,
                    False,
                )
                if written == count:
                    return None
        except UnavailableError as error:
            if not reported:
                write_error(f"{error}; trying again")
            reported = True
        await asyncio.sleep(interval_ms / 1000)
    return None
