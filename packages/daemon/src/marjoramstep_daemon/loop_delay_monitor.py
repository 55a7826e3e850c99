"""Measures the scheduling delay of the event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .log import EventLog

MEASUREMENT_INTERVAL_SECONDS = 0.25
# Longer delays noticeably slow down short calls and are logged.
LOG_THRESHOLD_MS = 50.0
SECOND_MS = 1_000.0
# Weight of a new measurement in the moving average.
SMOOTHING_FACTOR = 0.1


class LoopDelayMonitor:
    """Sleeps periodically and measures how late it wakes up.

    A late wake-up means that the process was busy, was stopped or got no processor
    time; its other timers and answers were delayed by the same time.

    :param log: receives each long delay
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self.mean_delay_ms = 0.0
        self.longest_delay_ms = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + MEASUREMENT_INTERVAL_SECONDS
            await asyncio.sleep(MEASUREMENT_INTERVAL_SECONDS)
            self._record((loop.time() - due) * SECOND_MS)

    def gauges(self) -> dict[str, float]:
        """Return the delays for a metrics scrape and reset the longest one.

        :return: delays in milliseconds by metric name
        """
        longest, self.longest_delay_ms = self.longest_delay_ms, 0.0
        return {
            "loop_delay_mean_ms": self.mean_delay_ms,
            "loop_delay_longest_ms": longest,
        }

    def _record(self, delay_ms: float) -> None:
        delay_ms = max(delay_ms, 0.0)
        self.mean_delay_ms += SMOOTHING_FACTOR * (delay_ms - self.mean_delay_ms)
        self.longest_delay_ms = max(self.longest_delay_ms, delay_ms)
        if delay_ms > LOG_THRESHOLD_MS:
            self._log.write(
                "event loop was late", step="run", delay_ms=round(delay_ms, 1)
            )
