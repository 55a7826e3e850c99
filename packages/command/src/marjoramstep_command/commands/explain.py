"""Command ``explain``."""

from __future__ import annotations

from pathlib import Path

from ..errors import ExitStatus
from ..errors import UsageError
from ..output import cell_text
from ..output import time_text
from ..output import write_json
from ..output import write_line
from ..registry import command
from ..trail import Trail
from ..trail import TrailLine


NAME = "explain"
DESCRIPTION = "Show the way of one request through logs, and why it ended as it did."
MS_PER_SECOND = 1_000


@command(NAME, DESCRIPTION)
def handler(request_id: str, *files: Path, json: bool = False) -> int:
    """Read log files of any processes, also rotated or cut ones.

    :param request_id: Id of the request.
    :param files: Log files.
    """
    if not files:
        raise UsageError("expected at least one log file", step="read arguments")
    trail = Trail(request_id)
    for path in files:
        try:
            with path.open("rb") as lines:
                trail.read(lines)
        except OSError as error:
            raise UsageError(f"{path}: {error.strerror}", step="read log") from error
    if json:
        write_json(_document(trail))
    else:
        _write(trail)
    return ExitStatus.OK if trail.lines else ExitStatus.FAILED


def _document(trail: Trail) -> dict[str, object]:
    return {
        "request_id": trail.request_id,
        "lines": [
            {
                "time_s": line.time_s,
                "process_id": line.process_id,
                "event": line.event,
                **line.fields,
            }
            for line in trail.lines
        ],
        "unreadable_lines": trail.unreadable,
        "cause": trail.cause(),
    }


def _write(trail: Trail) -> None:
    for line in trail.lines:
        write_line(_text(line))
    if trail.unreadable:
        write_line(f"{trail.unreadable} lines with this id cannot be read")
    write_line(trail.cause())


def _text(line: TrailLine) -> str:
    fields = "  ".join(
        f"{name}={cell_text(value)}"
        for name, value in line.fields.items()
        if name != "request_id" and value not in (None, "")
    )
    moment = time_text(int(line.time_s * MS_PER_SECOND))
    return f"{moment}  {line.process_id}  {line.event}  {fields}"
