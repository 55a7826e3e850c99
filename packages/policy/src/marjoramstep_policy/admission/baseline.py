"""Variants of admission control: the default one and simpler baselines."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Protocol

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.registry import Registry
from marjoramstep_core.states import Reason

from .controller import AdmissionController
from .limit import check_slots
from .messages import AdmissionControl
from .messages import AdmissionLoad
from .messages import Decision
from .messages import Refuse
from .messages import Start


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock

    from .messages import AdmissionRequest


class AdmissionFactory(Protocol):
    """Creates the admission control of one backend server."""

    def __call__(self, clock: Clock, slots: int) -> AdmissionControl:
        """Create the admission control for a number of slots."""


ADMISSION_VARIANTS: Registry[AdmissionFactory] = Registry("admission variant")
ADMISSION_VARIANTS.register("adaptive")(AdmissionController)


@ADMISSION_VARIANTS.register("fixed-limit")
def make_fixed_limit(clock: Clock, slots: int) -> AdmissionControl:
    """Create admission control with the limit fixed at the announced slots.

    :param clock: source of monotonic milliseconds
    :param slots: announced slots, at least 1
    :return: the admission control
    """
    return AdmissionController(clock, slots, adapt_limit=False)


@ADMISSION_VARIANTS.register("unlimited-long")
def make_unlimited_long(clock: Clock, slots: int) -> AdmissionControl:
    """Create admission control in which long calls may occupy all slots.

    Otherwise equal to ``fixed-limit``.

    :param clock: source of monotonic milliseconds
    :param slots: announced slots, at least 1
    :return: the admission control
    """
    return AdmissionController(clock, slots, adapt_limit=False, limit_long_calls=False)


@ADMISSION_VARIANTS.register("fixed")
class FifoAdmission:
    """Baseline for comparison: starts calls in order of arrival while slots are free.

    The queue is unbounded, and deadlines are ignored.

    :param clock: source of monotonic milliseconds
    :param slots: announced slots, at least 1
    :raises InvalidInputError: if ``slots`` is below 1
    """

    def __init__(self, clock: Clock, slots: int) -> None:
        check_slots(slots)
        self._clock = clock
        self._slots = slots
        self._waiting: OrderedDict[int, float] = OrderedDict()
        self._running: set[int] = set()
        self._queue_delay_ms = 0.0

    def arrive(self, request: AdmissionRequest) -> list[Decision]:
        """Start or queue a call.

        :param request: the call
        :return: the start, or nothing if the call was queued
        :raises InvalidInputError: if a call with this id is queued or in flight
        """
        if request.call_id in self._running or request.call_id in self._waiting:
            raise InvalidInputError(
                f"call {request.call_id} is queued or in flight already",
                step="admit call",
            )
        self._waiting[request.call_id] = self._clock.now_ms()
        return self.tick()

    def finish(self, call_id: int, *, succeeded: bool) -> list[Decision]:
        """Release the slot of a call in flight.

        :param call_id: id of the call
        :param succeeded: not used
        :return: starts of queued calls
        :raises InvalidInputError: if no call with this id is in flight
        """
        if call_id not in self._running:
            raise InvalidInputError(
                f"call {call_id} is not in flight", step="finish call"
            )
        self._running.discard(call_id)
        return self.tick()

    def cancel(self, call_id: int) -> list[Decision]:
        """Refuse a call if it is still queued.

        :param call_id: id of the call; an unknown id is ignored
        :return: the refusal, if the call was queued
        """
        if self._waiting.pop(call_id, None) is None:
            return []
        return [Refuse(call_id, Reason.CANCELLED, 0)]

    def tick(self) -> list[Decision]:
        """Start queued calls while slots are free.

        :return: their starts
        """
        decisions: list[Decision] = []
        while self._waiting and len(self._running) < self._slots:
            call_id, arrived_ms = self._waiting.popitem(last=False)
            self._queue_delay_ms = self._clock.now_ms() - arrived_ms
            self._running.add(call_id)
            decisions.append(Start(call_id))
        return decisions

    def next_wakeup_ms(self) -> float | None:
        """Return ``None``, because queued calls never expire."""
        return None

    def set_slots(self, slots: int) -> list[Decision]:
        """Change the number of announced slots.

        :param slots: new number, at least 1
        :return: starts of queued calls
        :raises InvalidInputError: if ``slots`` is below 1
        """
        check_slots(slots)
        self._slots = slots
        return self.tick()

    def load(self) -> AdmissionLoad:
        """Return the current load.

        :return: load of this backend server; its admitted weight is always 0
        """
        return AdmissionLoad(
            in_flight=len(self._running),
            limit=self._slots,
            queue_length=len(self._waiting),
            queue_delay_ms=self._queue_delay_ms,
            admitted_weight=0,
        )
