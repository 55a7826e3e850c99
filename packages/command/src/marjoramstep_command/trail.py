"""The way of one request through the logs of several processes."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import orjson


if TYPE_CHECKING:
    from collections.abc import Iterable

SUPPRESSED = "lines suppressed"
ENDED = "request ended"
ANSWERED = "request answered"
# What the reason of the last decision means, for the sentence at the end.
CAUSES = {
    "overload": "the backend server's slots and queue were taken, so it was refused",
    "evicted": "more important work took its place in the queue",
    "queue-full": "the queue of its row was full",
    "deadline": "its time ran out",
    "backpressure": "a service that it calls admits only more important work",
    "draining": "the backend server was leaving",
    "shutting-down": "the node was stopping",
    "no-server": "no backend server of the service could be reached",
    "no-table": "the node had no table yet",
    "no-route": "no row of the table in force has its host and path",
    "body-timeout": "its body did not arrive in time",
    "body-too-large": "its body is longer than its row allows",
    "quarantined": "requests like it have crashed backend servers",
    "connection-lost": "the connection broke after it was sent, so it may have run",
    "server-crashed": "the backend server ended while it ran",
    "bad-answer": "the backend server's answer was not one of its service",
    "cancelled": "its caller left before it was answered",
}


@dataclass(frozen=True)
class TrailLine:
    """One line of a log about the request.

    :param time_s: Unix seconds, by the clock of the process
    :param process_id: the process that wrote it
    :param event: what was decided
    :param fields: everything else
    """

    time_s: float
    process_id: str
    event: str
    fields: dict[str, Any]


@dataclass
class Trail:
    """What the logs say of one request.

    :param request_id: id of the request
    :param lines: lines in time order
    :param suppressed: summaries that name the request
    :param unreadable: lines that are no JSON, as at the cut end of a file
    """

    request_id: str
    lines: list[TrailLine] = field(default_factory=list)
    suppressed: list[TrailLine] = field(default_factory=list)
    unreadable: int = 0

    def read(self, data: Iterable[bytes]) -> None:
        """Take the lines of one file.

        :param data: its lines
        """
        for raw in data:
            # Most lines are of other requests and need no decoding.
            if self.request_id.encode() not in raw:
                continue
            start = raw.find(b"{")
            try:
                document = orjson.loads(raw[max(start, 0) :])
            except ValueError:
                self.unreadable += 1
                continue
            self._take(document)
        self.lines.sort(key=lambda line: line.time_s)

    def cause(self) -> str:
        """Say in one sentence why the request ended as it did.

        :return: the sentence
        """
        if not self.lines:
            if self.suppressed:
                return (
                    "The lines of this request were left out; "
                    f"{self.suppressed[0].fields.get('suppressed_event')} was logged "
                    "only as a count in that second."
                )
            return "The logs do not name this request."
        ends = [line for line in self.lines if line.event in (ENDED, ANSWERED)]
        last = ends[-1] if ends else self.lines[-1]
        reason = str(last.fields.get("reason") or "")
        text = CAUSES.get(reason, "")
        if not ends:
            return (
                f"The trail ends at {last.process_id} with {last.event!r}"
                f"{f': {text}' if text else ''}; no line tells the outcome."
            )
        if last.event == ANSWERED:
            return f"The backend server answered {last.fields.get('status')}."
        outcome = last.fields.get("outcome", "unknown")
        detail = last.fields.get("detail")
        return (
            f"The outcome is {outcome}: {text or reason or 'no reason was logged'}"
            f"{f' ({detail})' if detail else ''}."
        )

    def _take(self, document: dict[str, Any]) -> None:
        event = str(document.pop("message_type", ""))
        line = TrailLine(
            float(document.pop("timestamp", 0.0)),
            str(document.pop("process_id", "")),
            event,
            {k: v for k, v in document.items() if not k.startswith("task_")},
        )
        if event == SUPPRESSED:
            if self.request_id in document.get("some_request_ids", ()):
                self.suppressed.append(line)
        elif document.get("request_id") == self.request_id:
            self.lines.append(line)
