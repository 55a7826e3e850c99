"""Structured logs as JSON lines by eliot."""

from __future__ import annotations

import sys
from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

import eliot


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock

# Repeated events above this rate are counted instead of written, so that logging adds
# nothing to an overload.
EVENTS_PER_SECOND_LIMIT = 20
SECOND_MS = 1_000.0


def open_log(log_file: str) -> None:
    """Send all log messages to a file.

    :param log_file: path of the file, or ``-`` for standard error
    :raises OSError: if the file cannot be opened
    """
    if log_file == "-":
        stream = sys.stderr
    else:
        stream = open(log_file, "a", encoding="utf-8", buffering=1)  # noqa: SIM115
    eliot.to_file(stream)


class EventLog:
    """Writes events with a limit on the rate of each kind.

    :param clock: clock for the limit
    :param process_id: id of this process, written with each event
    """

    def __init__(self, clock: Clock, process_id: str) -> None:
        self._clock = clock
        self._process_id = process_id
        self._second = -1
        self._counts: Counter[str] = Counter()

    def write(
        self, event: str, *, step: str, peer: str = "local", **fields: Any
    ) -> None:
        """Write one event.

        :param event: kind of event
        :param step: step at which it arose
        :param peer: peer involved
        :param fields: further fields; never bodies or tokens
        """
        second = int(self._clock.now_ms() / SECOND_MS)
        if second != self._second:
            self._report_suppressed()
            self._second = second
        self._counts[event] += 1
        if self._counts[event] > EVENTS_PER_SECOND_LIMIT:
            return
        eliot.log_message(
            event, step=step, peer=peer, process_id=self._process_id, **fields
        )

    def _report_suppressed(self) -> None:
        for event, count in self._counts.items():
            if count > EVENTS_PER_SECOND_LIMIT:
                eliot.log_message(
                    "events suppressed",
                    step="log",
                    peer="local",
                    process_id=self._process_id,
                    suppressed_event=event,
                    suppressed_count=count - EVENTS_PER_SECOND_LIMIT,
                )
        self._counts.clear()
