"""Circuit breaker that stops sending to a backend server which refuses requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.registry import Registry


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from marjoramstep_core.clock import Clock

# Weight of the last outcome in the smoothed share of refused requests.
SMOOTHING = 0.1
# Refused share above which the breaker opens: 22 consecutive refusals reach it from 0.
# A backend server that accepts a part of its requests stays in use.
OPEN_THRESHOLD = 0.9
# Refused share assumed when the breaker closes, so that few further refusals reopen it.
REFUSED_SHARE_AFTER_CLOSING = 0.8
MIN_PROBE_DELAY_MS = 50.0
MAX_PROBE_DELAY_MS = 500.0
# Delays of probes vary at random by this share in both directions.
PROBE_JITTER = 0.25


class CircuitBreaker:
    """Circuit breaker in front of one backend server.

    It opens for a backend server that refuses nearly every request, whatever its load.
    A retry after such a refusal counts against the calling node's retry budget for the
    service. After a refusal by the node in front of the backend server, another one is
    tried without that cost. While the breaker is open, single requests probe the
    backend server, with delays that double up to a maximum.

    :param clock: source of monotonic milliseconds
    :param rng: random generator
    """

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._refused_share = 0.0
        self._probe_delay_ms = MIN_PROBE_DELAY_MS
        self._is_open = False
        self._next_probe_ms = 0.0

    @property
    def is_open(self) -> bool:
        """Whether requests other than probes are refused."""
        return self._is_open

    def admits(self) -> bool:
        """Return whether a request may be sent.

        While the breaker is open, a true result schedules the next probe.

        :return: whether it may be sent
        """
        if not self._is_open:
            return True
        now_ms = self._clock.now_ms()
        if now_ms < self._next_probe_ms:
            return False
        self._schedule_probe(now_ms)
        return True

    def retry_after_ms(self) -> float:
        """Return the time until the next probe.

        :return: milliseconds from now
        """
        return max(self._next_probe_ms - self._clock.now_ms(), 0.0)

    def record_acceptance(self) -> None:
        """Record that the backend server accepted a request."""
        self._refused_share -= SMOOTHING * self._refused_share
        if self._is_open:
            self._is_open = False
            self._refused_share = REFUSED_SHARE_AFTER_CLOSING
            self._probe_delay_ms = MIN_PROBE_DELAY_MS

    def record_refusal(self) -> None:
        """Record that the backend server refused a request."""
        self._refused_share += SMOOTHING * (1.0 - self._refused_share)
        now_ms = self._clock.now_ms()
        if self._is_open:
            self._probe_delay_ms = min(self._probe_delay_ms * 2.0, MAX_PROBE_DELAY_MS)
            self._schedule_probe(now_ms)
        elif self._refused_share > OPEN_THRESHOLD:
            self._is_open = True
            self._schedule_probe(now_ms)

    def reset(self) -> None:
        """Discard the state, because the backend server was replaced."""
        self._refused_share = 0.0
        self._probe_delay_ms = MIN_PROBE_DELAY_MS
        self._is_open = False

    def _schedule_probe(self, now_ms: float) -> None:
        jitter = 1.0 + PROBE_JITTER * (2.0 * self._rng.random() - 1.0)
        self._next_probe_ms = now_ms + self._probe_delay_ms * jitter


class DisabledCircuitBreaker(CircuitBreaker):
    """Baseline that admits every request; ``is_open`` still follows the refusals."""

    def admits(self) -> bool:
        """Admit the request.

        :return: true
        """
        return True


CIRCUIT_BREAKERS: Registry[Callable[[Clock, Random], CircuitBreaker]] = Registry(
    "circuit breaker"
)
CIRCUIT_BREAKERS.register("breaker")(CircuitBreaker)
CIRCUIT_BREAKERS.register("closed")(DisabledCircuitBreaker)
