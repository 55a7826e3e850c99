"""Timestamps that the leader gives to commands."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock

# The log time never goes down, so a leader whose wall clock is far ahead would
# permanently expire the request keys of all callers. A limit of half the lifetime of a
# key (``StateLimits.key_lifetime_ms``) keeps fresh keys valid.
JUMP_LIMIT_MS = 12 * 3_600_000


class LogTimeSource:
    """Follows the wall clock, with a bound on how far it may jump ahead in one term.

    Source of the log time at the leader.

    :param clock: clock of the process
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._term = -1
        self._base_ms = 0
        self._base_monotonic_ms = 0.0

    def next_timestamp_ms(self, watermark_ms: int, term: int) -> int:
        """Return the timestamp of a new command.

        :param watermark_ms: highest log time applied, 0 in a new deployment
        :param term: term in which this replica leads
        :return: Unix milliseconds, never below the watermark
        """
        if term != self._term:
            self._term = term
            self._base_ms = watermark_ms
            self._base_monotonic_ms = self._clock.now_ms()
        wall_ms = self._clock.wall_ms()
        if self._base_ms == 0:
            # A new deployment has no log time from which to measure a jump.
            return max(watermark_ms, wall_ms)
        elapsed_ms = int(self._clock.now_ms() - self._base_monotonic_ms)
        ceiling_ms = self._base_ms + elapsed_ms + JUMP_LIMIT_MS
        return max(watermark_ms, min(wall_ms, ceiling_ms))
