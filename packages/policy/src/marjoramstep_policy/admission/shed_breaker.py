"""Stops sending to a backend server that turns its requests away."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.registry import Registry


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from marjoramstep_core.clock import Clock

# Weight of the last outcome in the share of requests that were turned away.
SMOOTHING = 0.1
# Share above which the breaker opens: 22 in a row after a calm time do it. A backend
# server that takes a part of its requests stays in use.
OPEN_SHARE = 0.9
# Share with which it closes, so that few further refusals open it again.
CLOSED_SHARE = 0.8
FIRST_PAUSE_MS = 50.0
MAX_PAUSE_MS = 500.0
# Pauses are spread by this share in both directions.
PAUSE_JITTER = 0.25


class ShedBreaker:
    """Circuit breaker in front of one backend server.

    The pattern is a backend server that refuses at once what it is sent, whatever its
    load: each refusal costs a second send from the budget of all nodes, while a refusal
    by the node beside it costs nothing. While the breaker is open, single requests test
    the backend server, with pauses that double up to a limit.

    :param clock: source of monotonic milliseconds
    :param rng: random generator
    """

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._share = 0.0
        self._pause_ms = FIRST_PAUSE_MS
        self._is_open = False
        self._next_test_ms = 0.0

    @property
    def is_open(self) -> bool:
        """Whether requests are held back."""
        return self._is_open

    def admits(self) -> bool:
        """Decide whether a request may be sent; a test counts as sent.

        :return: whether it may
        """
        if not self._is_open:
            return True
        now_ms = self._clock.now_ms()
        if now_ms < self._next_test_ms:
            return False
        self._schedule_test(now_ms)
        return True

    def retry_after_ms(self) -> float:
        """Return when the next test is due.

        :return: milliseconds from now
        """
        return max(self._next_test_ms - self._clock.now_ms(), 0.0)

    def accepted(self) -> None:
        """Note that the backend server took a request."""
        self._share -= SMOOTHING * self._share
        if self._is_open:
            self._is_open = False
            self._share = CLOSED_SHARE
            self._pause_ms = FIRST_PAUSE_MS

    def refused(self) -> None:
        """Note that the backend server turned a request away."""
        self._share += SMOOTHING * (1.0 - self._share)
        now_ms = self._clock.now_ms()
        if self._is_open:
            self._pause_ms = min(self._pause_ms * 2.0, MAX_PAUSE_MS)
            self._schedule_test(now_ms)
        elif self._share > OPEN_SHARE:
            self._is_open = True
            self._schedule_test(now_ms)

    def reset(self) -> None:
        """Forget the backend server, because another one has taken its place."""
        self._share = 0.0
        self._pause_ms = FIRST_PAUSE_MS
        self._is_open = False

    def _schedule_test(self, now_ms: float) -> None:
        jitter = 1.0 + PAUSE_JITTER * (2.0 * self._rng.random() - 1.0)
        self._next_test_ms = now_ms + self._pause_ms * jitter


class ClosedBreaker(ShedBreaker):
    """Baseline: every request is sent."""

    def admits(self) -> bool:
        """Admit the request.

        :return: true
        """
        return True


SHED_BREAKERS: Registry[Callable[[Clock, Random], ShedBreaker]] = Registry(
    "shed breaker"
)
SHED_BREAKERS.register("breaker")(ShedBreaker)
SHED_BREAKERS.register("closed")(ClosedBreaker)
