"""Clock in milliseconds."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall-clock time, both in milliseconds."""

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds; never goes backward."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may step."""


class SystemClock:
    """Clock of the operating system."""

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds.

        :return: milliseconds since an arbitrary start
        """
        return time.monotonic() * 1000.0

    def wall_ms(self) -> int:
        """Return wall-clock time.

        :return: milliseconds since the Unix epoch
        """
        return time.time_ns() // 1_000_000


class ManualClock:
    """Clock that moves only when it is told to.

    :param start_ms: first value of the monotonic time in milliseconds
    :param wall_start_ms: first value of the wall clock in milliseconds since the epoch
    """

    def __init__(
        self, start_ms: float = 0.0, wall_start_ms: int = 1_700_000_000_000
    ) -> None:
        self._now_ms = start_ms
        self._wall_ms = wall_start_ms

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds.

        :return: milliseconds since the start value
        """
        return self._now_ms

    def wall_ms(self) -> int:
        """Return wall-clock time.

        :return: milliseconds since the Unix epoch
        """
        return self._wall_ms

    def advance_ms(self, step_ms: float) -> None:
        """Move both times forward.

        :param step_ms: distance in milliseconds
        :raises ValueError: if the distance is negative
        """
        if step_ms < 0:
            raise ValueError(f"step_ms must not be negative, got {step_ms}")
        self._now_ms += step_ms
        self._wall_ms += int(step_ms)

    def step_wall_ms(self, step_ms: int) -> None:
        """Step the wall clock alone, as a time correction does.

        :param step_ms: distance in milliseconds, may be negative
        """
        self._wall_ms += step_ms
