"""Changes of the set of replicas."""

from __future__ import annotations

import asyncio
import re
import time
from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_core.errors import UnavailableError

from .errors import ExitStatus
from .errors import UnknownOutcomeError
from .errors import UsageError
from .errors import WaitTimedOutError
from .output import write_error
from .output import write_json
from .output import write_line


if TYPE_CHECKING:
    from .client import ControlClient

POLL_INTERVAL_MS = 500
# Part of a path; no character of it needs quoting.
REPLICA_ID_PATTERN = re.compile(r"[A-Za-z0-9_.:-]{1,128}")


async def change_replicas(
    client: ControlClient, replica_id: str, action: str
) -> dict[str, Any]:
    """Admit or remove a replica.

    The request is not sent again after a lost answer: a second removal would report
    an error although the first one was made.

    :param client: client of the replicas
    :param replica_id: the replica
    :param action: ``admit`` or ``remove``
    :return: the decoded answer
    :raises UsageError: if the id is malformed
    :raises UnknownOutcomeError: if the answer was lost
    :raises MarjoramstepError: if the change is refused or no replica answers
    """
    if not REPLICA_ID_PATTERN.fullmatch(replica_id):
        raise UsageError(f"not a replica id: {replica_id!r}", step="read arguments")
    try:
        return await client.post(
            f"/v1/replicas/{replica_id}/{action}", {}, resend=False
        )
    except UnknownOutcomeError as error:
        raise UnknownOutcomeError(
            f"{error.message}; see: marjoramstep replicas list",
            step=f"{action} replica",
            peer=error.peer,
        ) from error


def report_change(
    document: dict[str, Any], replica_id: str, action: str, *, as_json: bool
) -> ExitStatus:
    """Write the answer to an accepted change and warn of what it means.

    :param document: the decoded answer
    :param replica_id: the replica
    :param action: ``admit`` or ``remove``
    :param as_json: whether to write the answer as JSON
    :return: exit status
    """
    if as_json:
        write_json(document)
    else:
        write_line(f"{action} {replica_id}: accepted")
    warn_of_losses(document)
    return ExitStatus.OK


async def wait_for_replicas(
    client: ControlClient, survives: int, wait_ms: int
) -> dict[str, Any]:
    """Wait until all replicas are synced and enough losses are survived.

    :param client: client of the replicas
    :param survives: number of lost replicas that must be survived
    :param wait_ms: longest wait in milliseconds
    :return: the last answer about the replicas
    :raises WaitTimedOutError: names what is missing
    :raises MarjoramstepError: if the token is not accepted
    """
    deadline_s = time.monotonic() + wait_ms / 1000
    while True:
        try:
            document = await client.get("/v1/replicas")
            missing = _missing(document, survives)
        except UnavailableError as error:
            missing = str(error)
        if not missing:
            return document
        if time.monotonic() >= deadline_s:
            raise WaitTimedOutError(
                f"not reached in {wait_ms} ms: {missing}", step="wait for replicas"
            )
        await asyncio.sleep(POLL_INTERVAL_MS / 1000)


def _missing(document: dict[str, Any], survives: int) -> str:
    replicas = document.get("replicas") or []
    late = [str(r.get("replica_id")) for r in replicas if r.get("synced") is not True]
    found = document.get("survives_losses")
    if late:
        return f"not synced: {', '.join(late)}"
    if not replicas or not isinstance(found, int) or found < survives:
        return f"survives losses: {found}, expected {survives}"
    return ""


def warn_of_losses(document: dict[str, Any]) -> None:
    """Warn if the loss of one more replica would stop edits and claims.

    :param document: answer with ``survives_losses``
    """
    if document.get("survives_losses") == 0:
        write_error("warning: the loss of one more replica stops edits and claims")
