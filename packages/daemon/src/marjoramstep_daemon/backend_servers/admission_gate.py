"""Holds calls back until the admission controller has decided on them."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from marjoramstep_policy.admission import AdmissionRequest
from marjoramstep_policy.admission import Refuse


if TYPE_CHECKING:
    from collections.abc import Iterable

    from marjoramstep_core.clock import Clock
    from marjoramstep_policy.admission import AdmissionControl
    from marjoramstep_policy.admission import AdmissionLoad
    from marjoramstep_policy.admission import Decision

    from ..calls import Call

SECOND_MS = 1_000.0


class AdmissionGate:
    """Makes calls wait until they are admitted or refused.

    :param clock: clock of the node
    :param controller: admission policy, which decides on each call
    """

    def __init__(self, clock: Clock, controller: AdmissionControl) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = clock
        self._controller = controller
        self._ids = count(1)
        self._waiting: dict[int, asyncio.Future[Decision]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def load(self) -> AdmissionLoad:
        """Return the load that the admission controller has recorded.

        :return: number of calls in flight, concurrency limit and state of the queue
        """
        return self._controller.load()

    def set_slots(self, slots: int) -> None:
        """Change the number of slots.

        :param slots: number of requests that the backend server runs concurrently
        """
        self._resolve(self._controller.set_slots(slots))

    async def acquire(self, call: Call) -> tuple[int, Refuse | None]:
        """Wait until a call may start or is refused.

        :param call: the call
        :return: id for :meth:`release` and None if the call is admitted, otherwise an
            id that must not be released and the refusal
        """
        call_id = next(self._ids)
        request = AdmissionRequest(
            call_id=call_id,
            row=call.row,
            weight=call.weight,
            depth=call.depth,
            deadline_ms=call.deadline_ms,
            size_class=call.size_class,
            may_move_on=call.may_move_on,
        )
        future = self._loop.create_future()
        self._waiting[call_id] = future
        self._resolve(self._controller.arrive(request))
        try:
            decision = future.result() if future.done() else await future
        except asyncio.CancelledError:
            self._waiting.pop(call_id, None)
            self._resolve(self._controller.cancel(call_id))
            if _is_admitted(future):
                # The call was admitted, then cancelled before this task resumed. Its
                # slot is taken, and no other code releases it.
                self.release(call_id, succeeded=False)
            raise
        return call_id, decision if isinstance(decision, Refuse) else None

    def release(self, call_id: int, *, succeeded: bool) -> None:
        """Release the slot of an admitted call.

        :param call_id: id from :meth:`acquire`
        :param succeeded: whether the call was answered
        """
        self._resolve(self._controller.finish(call_id, succeeded=succeeded))

    def _resolve(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            future = self._waiting.pop(decision.call_id, None)
            if future is not None and not future.done():
                future.set_result(decision)
        if self._waiting and self._timer is None:
            self._schedule()

    def _schedule(self) -> None:
        wakeup_ms = self._controller.next_wakeup_ms()
        if wakeup_ms is None:
            return
        delay_ms = max(wakeup_ms - self._clock.now_ms(), 1.0)
        self._timer = self._loop.call_later(delay_ms / SECOND_MS, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._resolve(self._controller.tick())


def _is_admitted(future: asyncio.Future[Decision]) -> bool:
    if not future.done() or future.cancelled():
        return False
    return not isinstance(future.result(), Refuse)
