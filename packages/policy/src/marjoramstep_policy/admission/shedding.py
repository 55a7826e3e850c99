"""State of load shedding: the standing queue and the admitted weight."""

from __future__ import annotations

import math


# A queue delay that stays above the target for a whole interval shows a standing queue;
# a burst that is processed within the interval does not. For calls with a longer
# service time, that time replaces the value: when a few slots are all busy, the next
# call waits for about one service time without any overload.
DELAY_TARGET_MS = 20.0
DELAY_INTERVAL_MS = 100.0
# A weight counts as being shed for this long after its last refusal.
SHED_LIFETIME_MS = 1000.0


def delay_target_ms(work_ms: float) -> float:
    """Return the queue delay above which the queue may be a standing one.

    :param work_ms: expected service time of the queued call, in milliseconds
    :return: milliseconds
    """
    return max(DELAY_TARGET_MS, work_ms)


class DelayMonitor:
    """Detects a standing queue by the least important call; paces drops (CoDel).

    While the delay stays above the target, the drop rate grows with the square root of
    the number of drops.
    """

    def __init__(self) -> None:
        self._above_since_ms: float | None = None
        self._next_drop_ms: float | None = None
        self._interval_ms = DELAY_INTERVAL_MS
        self._drop_count = 0

    @property
    def is_standing(self) -> bool:
        """Whether there is a standing queue."""
        return self._next_drop_ms is not None

    @property
    def drop_due_ms(self) -> float | None:
        """Time of the next drop if the delay stays above the target."""
        if self._next_drop_ms is not None:
            return self._next_drop_ms
        if self._above_since_ms is not None:
            return self._above_since_ms + self._interval_ms
        return None

    def observe(self, now_ms: float, delay_ms: float, work_ms: float) -> int:
        """Record the current delay.

        :param now_ms: current time in milliseconds
        :param delay_ms: queue delay so far of the least important call, 0 without one
        :param work_ms: expected service time of that call in milliseconds
        :return: number of calls to drop now, 0 or 1
        """
        self._interval_ms = max(DELAY_INTERVAL_MS, work_ms)
        if delay_ms < delay_target_ms(work_ms):
            self._above_since_ms = None
            self._next_drop_ms = None
            self._drop_count = 0
            return 0
        if self._above_since_ms is None:
            self._above_since_ms = now_ms
        due_ms = self.drop_due_ms
        if due_ms is None or now_ms < due_ms:
            return 0
        self._drop_count += 1
        self._next_drop_ms = now_ms + self._interval_ms / math.sqrt(self._drop_count)
        return 1


class AdmittedWeight:
    """Tracks the lowest weight that is admitted while load is shed."""

    def __init__(self) -> None:
        self._highest_shed_weight = 0
        self._shed_ms = -math.inf
        # Last start of a call of at most the highest shed weight.
        self._last_start_ms = -math.inf

    def record_shed(self, now_ms: float, weight: int) -> None:
        """Record a call that was refused, or could not start in time, because of load.

        :param now_ms: current time in milliseconds
        :param weight: weight of the call
        """
        if (
            weight >= self._highest_shed_weight
            or now_ms - self._shed_ms > SHED_LIFETIME_MS
        ):
            if weight != self._highest_shed_weight:
                self._last_start_ms = -math.inf
            self._highest_shed_weight = weight
            self._shed_ms = now_ms

    def record_start(self, now_ms: float, weight: int) -> None:
        """Record a call that started.

        :param now_ms: current time in milliseconds
        :param weight: weight of the call
        """
        if weight <= self._highest_shed_weight:
            self._last_start_ms = now_ms

    def value(self, now_ms: float) -> int:
        """Return the lowest weight that is admitted.

        :param now_ms: current time in milliseconds
        :return: the highest weight shed recently if calls of at most this weight still
            start, else that weight plus 1; 0 if nothing was shed recently
        """
        if now_ms - self._shed_ms > SHED_LIFETIME_MS:
            return 0
        if now_ms - self._last_start_ms <= SHED_LIFETIME_MS:
            return self._highest_shed_weight
        return self._highest_shed_weight + 1
