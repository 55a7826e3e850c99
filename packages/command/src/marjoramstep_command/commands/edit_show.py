"""Command ``edit show``."""

from __future__ import annotations

from typing import Any

from marjoramstep_state.fields import EDIT_KEY_PATTERN

from ..client import STATUS_NOT_FOUND
from ..client import ControlClient
from ..edits import check_verdict
from ..edits import report_verdict
from ..errors import NotFoundError
from ..errors import UsageError
from ..registry import command
from ..session import DEFAULT_TIMEOUT_MS
from ..session import run_session


NAME = "edit show"
DESCRIPTION = "Show the verdict of an edit by its key."


@command(NAME, DESCRIPTION)
def handler(
    key: str,
    *,
    control: str | None = None,
    token_file: str | None = None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    json: bool = False,
) -> int:
    """Query the verdict.

    :param key: Key of the edit.
    """
    if not EDIT_KEY_PATTERN.fullmatch(key):
        raise UsageError(f"not an edit key: {key!r}", step="read arguments")

    async def read(client: ControlClient) -> dict[str, Any]:
        answer = await client.request("GET", f"/v1/edits/{key}")
        if answer.status == STATUS_NOT_FOUND:
            raise NotFoundError(f"no verdict of edit key {key}", step="query edit")
        return check_verdict(answer.status, answer.document, key)

    document = run_session(
        read, control=control, token_file=token_file, timeout_ms=timeout_ms
    )
    return report_verdict(document, as_json=json)
