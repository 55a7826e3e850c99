"""Measures how late the event loop runs what is due."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .log import EventLog

INTERVAL_SECONDS = 0.25
# A delay above this is felt by short calls and gets a line in the log.
LOGGED_DELAY_MS = 50.0
SECOND_MS = 1_000.0
# Each measurement moves the mean by this part.
SMOOTHING = 0.1


class LoopWatch:
    """Sleeps again and again and compares the time that passed with the time asked for.

    A late wake-up means that this process was busy, stood still or got no processor
    time; its other timers and answers were late by as much.

    :param log: told each long delay
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self.mean_delay_ms = 0.0
        self.longest_delay_ms = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + INTERVAL_SECONDS
            await asyncio.sleep(INTERVAL_SECONDS)
            self._note((loop.time() - due) * SECOND_MS)

    def gauges(self) -> dict[str, float]:
        """Return the delays for a scrape; the longest one starts anew.

        :return: milliseconds by name
        """
        longest, self.longest_delay_ms = self.longest_delay_ms, 0.0
        return {
            "loop_delay_mean_ms": self.mean_delay_ms,
            "loop_delay_longest_ms": longest,
        }

    def _note(self, delay_ms: float) -> None:
        delay_ms = max(delay_ms, 0.0)
        self.mean_delay_ms += SMOOTHING * (delay_ms - self.mean_delay_ms)
        self.longest_delay_ms = max(self.longest_delay_ms, delay_ms)
        if delay_ms > LOGGED_DELAY_MS:
            self._log.write(
                "event loop was late", step="run", delay_ms=round(delay_ms, 1)
            )
