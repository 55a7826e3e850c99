"""Reads and writes traces as JSON lines."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError

from ..documents import Fields
from .lines import TraceFault
from .lines import TraceRequest


if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

FAULTS_SHOWN_LIMIT = 20


@dataclass(frozen=True)
class Trace:
    """A whole trace.

    :param requests: requests in order of time
    :param faults: faults in order of time
    """

    requests: tuple[TraceRequest, ...]
    faults: tuple[TraceFault, ...]

    @property
    def duration_ms(self) -> float:
        """Time of the last line in milliseconds."""
        times = [line.at_ms for line in self.requests]
        times += [fault.end_ms for fault in self.faults]
        return max(times, default=0.0)

    @property
    def cause_end_ms(self) -> float:
        """Time at which the last fault is over; 0 without faults."""
        return max((fault.end_ms for fault in self.faults), default=0.0)


class InvalidTraceError(InvalidInputError):
    """Lines of a trace are not valid.

    :param problems: one text for each bad line, with its number
    :param path: the trace file
    """

    def __init__(self, problems: list[str], path: str) -> None:
        shown = problems[:FAULTS_SHOWN_LIMIT]
        if len(problems) > len(shown):
            shown.append(f"and {len(problems) - len(shown)} more")
        super().__init__("; ".join(shown), step="read trace", peer=path)
        self.problems = problems


def read_trace(path: Path) -> Trace:
    """Read a trace and check all of its lines.

    :param path: file with one JSON object a line; empty lines are skipped
    :return: the trace
    :raises InvalidInputError: if the file cannot be read
    :raises InvalidTraceError: names the number of each bad line
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise InvalidInputError(
            f"cannot read: {error}", step="read trace", peer=str(path)
        ) from error
    requests: list[TraceRequest] = []
    faults: list[TraceFault] = []
    problems: list[str] = []
    for number, line in enumerate(text.split("\n"), start=1):
        if not line.strip():
            continue
        try:
            parsed = parse_line(line, f"line {number}")
        except InvalidInputError as error:
            problems.append(error.message)
            continue
        if isinstance(parsed, TraceFault):
            faults.append(parsed)
        else:
            requests.append(parsed)
    if not problems and not requests:
        problems.append("the trace holds no request")
    if problems:
        raise InvalidTraceError(problems, str(path))
    requests.sort(key=lambda request: request.at_ms)
    faults.sort(key=lambda fault: fault.at_ms)
    return Trace(tuple(requests), tuple(faults))


def parse_line(line: str, where: str) -> TraceRequest | TraceFault:
    """Read one line.

    :param line: a JSON object
    :param where: place of the line, for error messages
    :return: a request, or a fault when the line has a field ``fault``
    :raises InvalidInputError: if the line is not valid
    """
    try:
        document = json.loads(line)
    except ValueError as error:
        raise InvalidInputError(
            f"{where}: not valid JSON: {error}", step="read trace"
        ) from error
    fields = Fields(document, where)
    parsed: TraceRequest | TraceFault
    if "fault" in fields:
        parsed = TraceFault.from_fields(fields)
    else:
        parsed = TraceRequest.from_fields(fields)
    fields.finish()
    return parsed


def write_trace(path: Path, lines: Iterable[TraceRequest | TraceFault]) -> None:
    """Write a trace in order of time.

    :param path: file to write
    :param lines: requests and faults
    :raises OSError: if the file cannot be written
    """
    ordered = sorted(lines, key=lambda line: line.at_ms)
    with path.open("w", encoding="utf-8") as file:
        for line in ordered:
            file.write(json.dumps(line.to_json()) + "\n")
