"""State of load shedding: standing delay, dropping and the admitted weight."""

from __future__ import annotations

import math


# A wait that never fell below the target for an interval is a standing queue. A burst
# that the slots work off within the interval is not. For calls longer than these times,
# one service time takes their place: a few slots that are all busy for one turn make
# the next call wait about as long without any overload.
DELAY_TARGET_MS = 20.0
DELAY_INTERVAL_MS = 100.0
# A weight counts as shed for this long after its last refusal.
SHED_MEMORY_MS = 1000.0


def delay_target_ms(work_ms: float) -> float:
    """Return the wait above which a queue may be a standing one.

    :param work_ms: expected service time of the call that waits, in milliseconds
    :return: milliseconds
    """
    return max(DELAY_TARGET_MS, work_ms)


class DelayMonitor:
    """Tells when the least important call has waited too long for a whole interval.

    The drop rate rises with the square root of the number of drops, until the delay
    falls below the target.
    """

    def __init__(self) -> None:
        self._above_since_ms: float | None = None
        self._next_drop_ms: float | None = None
        self._interval_ms = DELAY_INTERVAL_MS
        self._drops = 0

    @property
    def standing(self) -> bool:
        """Whether the queue is a standing one."""
        return self._next_drop_ms is not None

    @property
    def next_ms(self) -> float | None:
        """Time of the next change if the delay stays above the target."""
        if self._next_drop_ms is not None:
            return self._next_drop_ms
        if self._above_since_ms is not None:
            return self._above_since_ms + self._interval_ms
        return None

    def observe(self, now_ms: float, delay_ms: float, work_ms: float) -> int:
        """Note the present delay.

        :param now_ms: present time in milliseconds
        :param delay_ms: wait so far of the least important call, 0 without one
        :param work_ms: expected service time of that call in milliseconds
        :return: number of calls to drop now
        """
        self._interval_ms = max(DELAY_INTERVAL_MS, work_ms)
        if delay_ms < delay_target_ms(work_ms):
            self._above_since_ms = None
            self._next_drop_ms = None
            self._drops = 0
            return 0
        if self._above_since_ms is None:
            self._above_since_ms = now_ms
        due_ms = self.next_ms
        if due_ms is None or now_ms < due_ms:
            return 0
        self._drops += 1
        self._next_drop_ms = now_ms + self._interval_ms / math.sqrt(self._drops)
        return 1


class AdmittedWeight:
    """Lowest weight that is admitted while load is shed."""

    def __init__(self) -> None:
        self._shed_weight = 0
        self._shed_ms = -math.inf
        self._started_ms = -math.inf

    def note_shed(self, now_ms: float, weight: int) -> None:
        """Note a call refused because of overload.

        :param now_ms: present time in milliseconds
        :param weight: weight of the call
        """
        if weight >= self._shed_weight or now_ms - self._shed_ms > SHED_MEMORY_MS:
            if weight != self._shed_weight:
                self._started_ms = -math.inf
            self._shed_weight = weight
            self._shed_ms = now_ms

    def note_start(self, now_ms: float, weight: int) -> None:
        """Note a call that started.

        :param now_ms: present time in milliseconds
        :param weight: weight of the call
        """
        if weight <= self._shed_weight:
            self._started_ms = now_ms

    def value(self, now_ms: float) -> int:
        """Return the lowest weight that is admitted.

        :param now_ms: present time in milliseconds
        :return: the highest weight shed lately if some of it still starts, else one
            more than it; 0 if nothing was shed lately
        """
        if now_ms - self._shed_ms > SHED_MEMORY_MS:
            return 0
        if now_ms - self._started_ms <= SHED_MEMORY_MS:
            return self._shed_weight
        return self._shed_weight + 1
