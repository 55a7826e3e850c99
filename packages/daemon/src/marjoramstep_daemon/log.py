"""Structured logging as JSON lines with eliot."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING
from typing import Any

import eliot

from .log_sink import LogSink


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock

# Lines of one kind above this rate are counted instead of written, so that logging does
# not add load during an overload.
LINES_PER_SECOND_LIMIT = 20
# Number of request ids listed in a summary of suppressed lines.
SUMMARY_REQUEST_IDS_LIMIT = 8
SECOND_MS = 1_000.0
LOG_FILE_MODE = 0o644


def open_log(log_file: str) -> LogSink:
    """Send all log messages to a file.

    :param log_file: path of the file, or ``-`` for standard output
    :return: the log sink, to be flushed before the process ends
    :raises OSError: if the file cannot be opened
    """
    if log_file == "-":
        descriptor = sys.stdout.fileno()
    else:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        descriptor = os.open(log_file, flags, LOG_FILE_MODE)
    sink = LogSink(descriptor)
    eliot.add_destinations(sink)
    return sink


class _LineCount:
    """Number of lines of one kind within the current second."""

    def __init__(self, event: str, reason: str) -> None:
        self.event = event
        self.reason = reason
        self.count = 0
        self.request_ids: list[str] = []


class EventLog:
    """Logs events and decisions with a rate limit for each kind.

    :param clock: clock of the rate limit
    :param process_id: id of this process, written with each event
    """

    def __init__(self, clock: Clock, process_id: str) -> None:
        self._clock = clock
        self._process_id = process_id
        self._second = -1
        self._line_counts: dict[tuple[str, str], _LineCount] = {}

    def write(
        self, event: str, *, step: str, peer: str = "local", **fields: Any
    ) -> None:
        """Log an event.

        :param event: kind of event
        :param step: processing step in which it occurred
        :param peer: id, address or kind of the peer, ``local`` if there is none
        :param fields: further fields; must not hold bodies or tokens
        """
        self._write(event, "", step, peer, fields)

    def write_decision(
        self,
        decision: str,
        request_id: str,
        *,
        step: str,
        reason: str = "",
        peer: str = "local",
        **inputs: Any,
    ) -> None:
        """Log a decision about a request.

        :param decision: what was decided
        :param request_id: id of the request
        :param step: processing step in which it was made
        :param reason: reason code; each has its own rate limit
        :param peer: id, address or kind of the peer, ``local`` if there is none
        :param inputs: inputs of the decision, with their age or version
        """
        fields = {"request_id": request_id, "reason": reason, **inputs}
        self._write(decision, reason, step, peer, fields)

    def _write(
        self, event: str, reason: str, step: str, peer: str, fields: dict[str, Any]
    ) -> None:
        second = int(self._clock.now_ms() / SECOND_MS)
        if second != self._second:
            self._summarize()
            self._second = second
        line_count = self._line_counts.get((event, reason))
        if line_count is None:
            line_count = self._line_counts[event, reason] = _LineCount(event, reason)
        line_count.count += 1
        if line_count.count > LINES_PER_SECOND_LIMIT:
            request_id = fields.get("request_id")
            if request_id and len(line_count.request_ids) < SUMMARY_REQUEST_IDS_LIMIT:
                line_count.request_ids.append(request_id)
            return
        eliot.log_message(
            event, step=step, peer=peer, process_id=self._process_id, **fields
        )

    def _summarize(self) -> None:
        for line_count in self._line_counts.values():
            if line_count.count > LINES_PER_SECOND_LIMIT:
                eliot.log_message(
                    "lines suppressed",
                    step="log",
                    peer="local",
                    process_id=self._process_id,
                    suppressed_event=line_count.event,
                    reason=line_count.reason,
                    suppressed_count=line_count.count - LINES_PER_SECOND_LIMIT,
                    some_request_ids=line_count.request_ids,
                )
        self._line_counts.clear()
