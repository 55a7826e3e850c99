"""Limits the retries to a service to a share of its first attempts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.registry import Registry


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import ServiceName

WINDOW_MS = 10_000.0
BUCKETS = 20
BUCKET_MS = WINDOW_MS / BUCKETS
RETRY_SHARE = 0.1
# Higher than RETRY_SHARE: a call that a backend server refused made no sub-calls, so
# retrying it does not multiply the load downstream.
REFUSED_CALL_SHARE = 0.17
# Limit of retries together with the calls that retried runs make. They add up along a
# chain of services, and each service has to stay within it.
CHAIN_SHARE = 0.17
# Minimum of retries in a window, for services with little traffic.
RETRY_FLOOR = 3
MAX_SERVICES = 1024


@dataclass(frozen=True)
class RefusedCall:
    """A call that a backend server has refused, to be sent again.

    :param weight: weight of its root request
    :param siblings_succeeded: whether earlier calls of the same parent have succeeded;
        their work is lost if this call fails
    """

    weight: int
    siblings_succeeded: bool


# Fraction of the budget that a refused call may use. The key is whether the call has
# the highest weight among the calls to the service, and whether earlier calls of its
# parent have succeeded. The rest is reserved for more important calls; without the
# reserve, less important ones would use up the budget early in a long overload.
REFUSED_CALL_PARTS = {
    (True, True): 1.0,
    (True, False): 0.7,
    (False, True): 0.5,
    (False, False): 0.25,
}

SERVICE_RETRY_BUDGETS: Registry[type[ServiceRetryBudget]] = Registry(
    "service retry budget"
)


class _Window:
    """First attempts, repeats and the highest weight in a ring of time buckets.

    Repeats are retries and the calls of retried runs; ``retries`` are those of the
    callers of this node only.

    The ring has one bucket more than the window. Repeats are counted over the whole
    ring, first attempts without its oldest bucket, so that the limit holds for any
    window position and not only on average.
    """

    __slots__ = ("first_attempts", "last_tick", "max_weights", "repeats", "retries")

    def __init__(self, tick: int) -> None:
        self.first_attempts = [0] * (BUCKETS + 1)
        self.retries = [0] * (BUCKETS + 1)
        self.repeats = [0] * (BUCKETS + 1)
        self.max_weights = [0] * (BUCKETS + 1)
        self.last_tick = tick

    def advance(self, tick: int) -> int:
        """Clear the buckets that have expired and return the current index."""
        for expired_tick in range(
            max(self.last_tick, tick - BUCKETS - 1) + 1,
            tick + 1,
        ):
            self.first_attempts[expired_tick % (BUCKETS + 1)] = 0
            self.retries[expired_tick % (BUCKETS + 1)] = 0
            self.repeats[expired_tick % (BUCKETS + 1)] = 0
            self.max_weights[expired_tick % (BUCKETS + 1)] = 0
        self.last_tick = tick
        return tick % (BUCKETS + 1)

    def try_spend(self, tick: int, share: float) -> bool:
        """Count a retry if it stays within ``RETRY_FLOOR`` or both shares."""
        index = self.advance(tick)
        oldest = (index + 1) % (BUCKETS + 1)
        first_attempts = sum(self.first_attempts) - self.first_attempts[oldest]
        if sum(self.retries) + 1 > max(RETRY_FLOOR, share * first_attempts):
            return False
        if sum(self.repeats) + 1 > max(RETRY_FLOOR, CHAIN_SHARE * first_attempts):
            return False
        self.retries[index] += 1
        self.repeats[index] += 1
        return True


@SERVICE_RETRY_BUDGETS.register("share")
class ServiceRetryBudget:
    """Limits retries to a service to a share of its first attempts in 10 s.

    The share is 10% for calls that may have run and, depending on
    ``REFUSED_CALL_PARTS``, up to 17% for calls that a backend server refused. Both
    kinds of retries count together. With the calls that retried runs make they stay
    within ``CHAIN_SHARE``. Up to ``RETRY_FLOOR`` repeats are always allowed.

    When ``MAX_SERVICES`` services are tracked and a further one is called, services
    that were idle for a whole window are discarded. If there is none, the further
    service gets no retries; first attempts are never limited.

    :param clock: source of monotonic milliseconds
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._windows: dict[ServiceName, _Window] = {}

    def record_first_attempt(self, service: ServiceName, weight: int = 0) -> None:
        """Count a first attempt.

        :param service: the service called
        :param weight: weight of the root request
        """
        tick = self._tick()
        window = self._window(service, tick)
        if window is not None:
            index = window.advance(tick)
            window.first_attempts[index] += 1
            window.max_weights[index] = max(window.max_weights[index], weight)

    def record_repeat(self, service: ServiceName) -> None:
        """Count a call of a run that is itself a retry; it is never refused.

        Without this, the shares of the services of a chain would multiply.

        :param service: the service called
        """
        tick = self._tick()
        window = self._window(service, tick)
        if window is not None:
            window.repeats[window.advance(tick)] += 1

    def try_spend_after_failure(self, service: ServiceName) -> bool:
        """Count a retry of a call that may have run, if the budget allows it.

        :param service: the service called
        :return: whether the retry may be made
        """
        tick = self._tick()
        window = self._window(service, tick)
        return window is not None and window.try_spend(tick, RETRY_SHARE)

    def try_spend_after_refusal(
        self, service: ServiceName, refused_call: RefusedCall
    ) -> bool:
        """Count a retry of a refused call, if the budget allows it.

        :param service: the service called
        :param refused_call: refused call, which determines the part of the budget
        :return: whether the retry may be made
        """
        tick = self._tick()
        window = self._window(service, tick)
        if window is None:
            return False
        window.advance(tick)
        has_highest_weight = refused_call.weight >= max(window.max_weights)
        part = REFUSED_CALL_PARTS[has_highest_weight, refused_call.siblings_succeeded]
        return window.try_spend(tick, REFUSED_CALL_SHARE * part)

    def tracked_services(self) -> int:
        """Return how many services have a window.

        :return: number of services, at most ``MAX_SERVICES``
        """
        return len(self._windows)

    def _tick(self) -> int:
        return int(self._clock.now_ms() // BUCKET_MS)

    def _window(self, service: ServiceName, tick: int) -> _Window | None:
        window = self._windows.get(service)
        if window is None:
            if len(self._windows) >= MAX_SERVICES:
                self._discard_idle(tick)
            if len(self._windows) >= MAX_SERVICES:
                return None
            window = self._windows[service] = _Window(tick)
        return window

    def _discard_idle(self, tick: int) -> None:
        idle = [
            service
            for service, window in self._windows.items()
            if tick - window.last_tick > BUCKETS
        ]
        for service in idle:
            del self._windows[service]


@SERVICE_RETRY_BUDGETS.register("unlimited")
class UnlimitedServiceRetryBudget(ServiceRetryBudget):
    """Baseline for comparison: allows every retry."""

    def record_first_attempt(self, service: ServiceName, weight: int = 0) -> None:
        """Count nothing."""

    def record_repeat(self, service: ServiceName) -> None:
        """Count nothing."""

    def try_spend_after_failure(self, service: ServiceName) -> bool:
        """Allow the retry.

        :return: always true
        """
        return True

    def try_spend_after_refusal(
        self, service: ServiceName, refused_call: RefusedCall
    ) -> bool:
        """Allow the retry of a refused call.

        :return: always true
        """
        return True
