"""Late load reports."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock

    from .slots import SlotPool


class LoadReport:
    """Reports the load as it was some time ago, as real load endpoints do.

    :param clock: source of the time
    :param slots: the slots to report on
    :param lag_ms: age of a report
    """

    def __init__(self, clock: Clock, slots: SlotPool, lag_ms: float) -> None:
        self._clock = clock
        self._slots = slots
        self._lag_ms = lag_ms
        self._samples: deque[tuple[float, int, int]] = deque()

    def sample(self) -> None:
        """Record the present load and forget what no report needs any more."""
        now_ms = self._clock.now_ms()
        self._samples.append((now_ms, self._slots.in_use, self._slots.waiting))
        while len(self._samples) > 1 and self._samples[1][0] <= now_ms - self._lag_ms:
            self._samples.popleft()

    def report(self) -> dict[str, float]:
        """Return the late load.

        :return: ``in_flight``, ``waiting`` and ``age_ms``
        """
        if not self._samples:
            return {"in_flight": 0, "waiting": 0, "age_ms": self._lag_ms}
        at_ms, in_flight, waiting = self._samples[0]
        age_ms = self._clock.now_ms() - at_ms
        return {"in_flight": in_flight, "waiting": waiting, "age_ms": round(age_ms)}
