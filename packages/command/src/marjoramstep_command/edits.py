"""Sends edits and reports their verdicts."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.ids import EditKey
from marjoramstep_state.fields import EDIT_KEY_PATTERN

from .client import STATUS_BAD_REQUEST
from .client import STATUS_CONFLICT
from .client import STATUS_REFUSED
from .errors import ExitStatus
from .errors import RefusedError
from .errors import UnknownOutcomeError
from .errors import UsageError
from .output import write_error
from .output import write_json
from .output import write_line


if TYPE_CHECKING:
    from collections.abc import Sequence

    from marjoramstep_core.table import EditOperation

    from .client import ControlClient

STATUS_OF_VERDICT = {
    "accepted": ExitStatus.OK,
    "refused": ExitStatus.REFUSED,
    "conflict": ExitStatus.CONFLICT,
}


def new_edit_key() -> EditKey:
    """Return a key that no other edit has.

    :return: the key
    """
    return EditKey(f"edit-{uuid.uuid4().hex}")


def read_assignments(assignments: Sequence[str]) -> dict[str, object]:
    """Read cells from arguments; the replicas check the values.

    :param assignments: texts of the form ``column=value``
    :return: text by column name
    :raises UsageError: if a text has another form or a column occurs twice
    """
    cells: dict[str, object] = {}
    for assignment in assignments:
        column, separator, value = assignment.partition("=")
        if not separator or not column:
            raise UsageError(
                f"expected column=value, found {assignment!r}", step="read arguments"
            )
        if column in cells:
            raise UsageError(f"column {column!r} is given twice", step="read arguments")
        cells[column] = value
    return cells


async def submit_edit(
    client: ControlClient,
    operations: Sequence[EditOperation],
    *,
    edit_key: str | None,
    base_version: int | None,
) -> dict[str, Any]:
    """Send an edit, and again under the same key after a lost answer.

    :param client: client of the replicas
    :param operations: applied all or none
    :param edit_key: key of an edit that is sent again, ``None`` for a new one
    :param base_version: version to edit, ``None`` for the one in force
    :return: verdict, version, faults, winner and ``edit_key``
    :raises UnknownOutcomeError: names the key with which to query the verdict
    :raises MarjoramstepError: if the edit cannot be sent
    """
    if edit_key is not None and base_version is None:
        # A base version read now would differ from the one of the first attempt.
        raise UsageError("--edit-key needs --base-version", step="read arguments")
    if edit_key is not None and not EDIT_KEY_PATTERN.fullmatch(edit_key):
        raise UsageError(f"not an edit key: {edit_key!r}", step="read arguments")
    key = edit_key or new_edit_key()
    if base_version is None:
        base_version = (await client.get("/v1/table"))["version"]
    body = {
        "edit_key": key,
        "base_version": base_version,
        "operations": [operation.to_json() for operation in operations],
    }
    query = f"query it with: marjoramstep edit show {key}"
    try:
        answer = await client.request("POST", "/v1/edits", body=body)
    except UnknownOutcomeError as error:
        raise UnknownOutcomeError(
            f"{error.message}; {query}", step="send edit", peer=error.peer
        ) from error
    except asyncio.CancelledError:
        raise UnknownOutcomeError(
            f"interrupted, the outcome is unknown; {query}", step="send edit"
        ) from None
    return check_verdict(answer.status, answer.document, key)


def check_verdict(status: int, document: dict[str, Any], key: str) -> dict[str, Any]:
    """Check the answer to an edit or to a query of its verdict.

    :param status: HTTP status
    :param document: decoded body
    :param key: key of the edit
    :return: the document with ``edit_key``
    :raises RefusedError: if the request itself was refused
    :raises ProtocolError: if the answer has no known verdict
    """
    has_verdict = document.get("verdict") in STATUS_OF_VERDICT
    if has_verdict and status in (200, STATUS_CONFLICT, STATUS_REFUSED):
        return {**document, "edit_key": key}
    if status >= STATUS_BAD_REQUEST:
        detail = document.get("error") or f"status {status}"
        raise RefusedError(f"refused: {detail}", step="send edit")
    raise ProtocolError(f"status {status} without a verdict", step="send edit")


def report_verdict(document: dict[str, Any], *, as_json: bool) -> ExitStatus:
    """Write the verdict of an edit.

    :param document: as returned by :func:`submit_edit`
    :param as_json: whether to write JSON
    :return: exit status of the verdict
    """
    verdict = document["verdict"]
    if as_json:
        write_json(document)
    elif verdict == "accepted":
        key = document["edit_key"]
        write_line(f"accepted: version {document.get('version')} (edit key {key})")
    else:
        write_error(f"{verdict}: {_detail(document)}")
    return STATUS_OF_VERDICT[verdict]


def _detail(document: dict[str, Any]) -> str:
    if document["verdict"] == "refused":
        faults = document.get("faults") or []
        return "; ".join(
            f"{fault.get('row')}.{fault.get('column')}: {fault.get('problem')}, "
            f"found {fault.get('value')!r}"
            for fault in faults
        )
    version = document.get("version")
    winner = document.get("winner")
    if not winner:
        return f"the table is at version {version}"
    return (
        f"the table is at version {version}; version {winner.get('version')} was made "
        f"by {winner.get('operator')} with edit key {winner.get('edit_key')}"
    )
