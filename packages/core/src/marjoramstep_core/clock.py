"""Clocks that return monotonic and wall-clock time in milliseconds."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall-clock time, both in milliseconds."""

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds; never goes backward."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may go backward."""


class SystemClock:
    """Clock of the operating system."""

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds.

        :return: milliseconds since an arbitrary origin
        """
        return time.monotonic() * 1000.0

    def wall_ms(self) -> int:
        """Return wall-clock time.

        :return: milliseconds since the Unix epoch
        """
        return time.time_ns() // 1_000_000


class ManualClock:
    """Clock for tests and simulations; advances only on request.

    :param start_ms: initial monotonic time in milliseconds
    :param wall_start_ms: initial wall-clock time in milliseconds since the epoch
    """

    def __init__(
        self, start_ms: float = 0.0, wall_start_ms: int = 1_700_000_000_000
    ) -> None:
        self._now_ms = start_ms
        self._wall_ms = wall_start_ms

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds.

        :return: the initial monotonic time plus all advances
        """
        return self._now_ms

    def wall_ms(self) -> int:
        """Return wall-clock time.

        :return: milliseconds since the Unix epoch
        """
        return self._wall_ms

    def advance_ms(self, step_ms: float) -> None:
        """Advance both times, the wall clock by the whole milliseconds of the step.

        :param step_ms: milliseconds to add
        :raises ValueError: if the argument is negative
        """
        if step_ms < 0:
            raise ValueError(f"step_ms must not be negative, got {step_ms}")
        self._now_ms += step_ms
        self._wall_ms += int(step_ms)

    def step_wall_ms(self, step_ms: int) -> None:
        """Step only the wall clock, as a clock correction does.

        :param step_ms: milliseconds to add, may be negative
        """
        self._wall_ms += step_ms
