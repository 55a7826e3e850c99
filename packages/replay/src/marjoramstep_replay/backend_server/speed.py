"""Multiplier of service times: cold start, scheduled and injected slowdowns."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock

    from .profile import Profile


class Speed:
    """Computes the multiplier at the present time.

    :param clock: source of the time
    :param profile: behaviour of the server, whose start is now
    """

    def __init__(self, clock: Clock, profile: Profile) -> None:
        self._clock = clock
        self._profile = profile
        self._start_ms = clock.now_ms()
        self._injected_factor = 1.0
        self._injected_until_ms = 0.0

    def is_starting(self) -> bool:
        """Return whether the server does not accept requests yet.

        :return: True during ``startup_ms``
        """
        return self._clock.now_ms() - self._start_ms < self._profile.startup_ms

    def slow_down(self, factor: float, duration_ms: float) -> None:
        """Multiply service times from now on.

        :param factor: multiplier
        :param duration_ms: length in milliseconds
        """
        self._injected_factor = factor
        self._injected_until_ms = self._clock.now_ms() + duration_ms

    def factor(self) -> float:
        """Return the multiplier of service times now.

        :return: product of all slowdowns in force
        """
        now_ms = self._clock.now_ms()
        age_ms = now_ms - self._start_ms
        factor = self._cold_factor(age_ms - self._profile.startup_ms)
        for slowdown in self._profile.slowdowns:
            if 0 <= age_ms - slowdown.at_ms < slowdown.duration_ms:
                factor *= slowdown.factor
        if now_ms < self._injected_until_ms:
            factor *= self._injected_factor
        return factor

    def _cold_factor(self, warm_ms: float) -> float:
        cold_ms = self._profile.cold_ms
        if warm_ms >= cold_ms:
            return 1.0
        remaining = 1.0 - max(0.0, warm_ms) / cold_ms
        return 1.0 + (self._profile.cold_factor - 1.0) * remaining
