"""Structured logs as JSON lines by eliot."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING
from typing import Any

import eliot

from .log_sink import LogSink


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock

# Lines of one kind above this rate are counted instead of written, so that logging
# adds nothing to an overload.
LINES_PER_SECOND_LIMIT = 20
# Ids of requests that a summary names.
SUMMARY_IDS = 8
SECOND_MS = 1_000.0
APPEND_MODE = 0o644


def open_log(log_file: str) -> LogSink:
    """Send all log messages to a file.

    :param log_file: path of the file, or ``-`` for standard output
    :return: the destination, to be flushed before the process ends
    :raises OSError: if the file cannot be opened
    """
    if log_file == "-":
        descriptor = sys.stdout.fileno()
    else:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        descriptor = os.open(log_file, flags, APPEND_MODE)
    sink = LogSink(descriptor)
    eliot.add_destinations(sink)
    return sink


class _Counted:
    """Lines of one kind within one second."""

    def __init__(self, event: str, reason: str) -> None:
        self.event = event
        self.reason = reason
        self.count = 0
        self.request_ids: list[str] = []


class EventLog:
    """Writes events and decisions with a limit on the rate of each kind.

    :param clock: clock for the limit
    :param process_id: id of this process, written with each event
    """

    def __init__(self, clock: Clock, process_id: str) -> None:
        self._clock = clock
        self._process_id = process_id
        self._second = -1
        self._counted: dict[tuple[str, str], _Counted] = {}

    def write(
        self, event: str, *, step: str, peer: str = "local", **fields: Any
    ) -> None:
        """Write one event.

        :param event: kind of event
        :param step: step at which it arose
        :param peer: peer involved
        :param fields: further fields; never bodies or tokens
        """
        self._write(event, "", step, peer, fields)

    def decide(
        self,
        decision: str,
        request_id: str,
        *,
        step: str,
        reason: str = "",
        peer: str = "local",
        **inputs: Any,
    ) -> None:
        """Write one decision about a request.

        :param decision: what was decided
        :param request_id: id of the request
        :param step: step at which it was decided
        :param reason: why; each reason has a limit of its own
        :param peer: peer involved
        :param inputs: what decided it, with its age or version
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
        counted = self._counted.get((event, reason))
        if counted is None:
            counted = self._counted[event, reason] = _Counted(event, reason)
        counted.count += 1
        if counted.count > LINES_PER_SECOND_LIMIT:
            request_id = fields.get("request_id")
            if request_id and len(counted.request_ids) < SUMMARY_IDS:
                counted.request_ids.append(request_id)
            return
        eliot.log_message(
            event, step=step, peer=peer, process_id=self._process_id, **fields
        )

    def _summarize(self) -> None:
        for counted in self._counted.values():
            if counted.count > LINES_PER_SECOND_LIMIT:
                eliot.log_message(
                    "lines suppressed",
                    step="log",
                    peer="local",
                    process_id=self._process_id,
                    suppressed_event=counted.event,
                    reason=counted.reason,
                    suppressed_count=counted.count - LINES_PER_SECOND_LIMIT,
                    some_request_ids=counted.request_ids,
                )
        self._counted.clear()
