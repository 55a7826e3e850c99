"""Steps for calls that leave a full server."""

from __future__ import annotations

import heapq
import random
from typing import Any
from typing import NamedTuple

from behave import given
from behave import then
from behave import when
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.states import Reason
from marjoramstep_core.states import SizeClass
from marjoramstep_policy.admission import ADMISSION_VARIANTS
from marjoramstep_policy.admission import AdmissionRequest
from marjoramstep_policy.admission import Refuse
from marjoramstep_policy.admission import Start
from policy_admission_support import make_row


SEED = 20261205
SHORT_DEADLINE_MS = 700.0
LONG_DEADLINE_MS = 15_000.0
MS_PER_SECOND = 1_000.0
SHORT_ROW = make_row("short", queue_wait_ms=10_000)
LONG_ROW = make_row("long", queue_wait_ms=10_000)


class Work(NamedTuple):
    """A call of the simulation."""

    call_id: int
    is_long: bool
    work_ms: float
    deadline_ms: float


def _request(
    call_id: int, deadline_ms: float, *, is_long: bool = False, may_move_on: bool
) -> AdmissionRequest:
    return AdmissionRequest(
        call_id=call_id,
        row=LONG_ROW if is_long else SHORT_ROW,
        weight=1,
        depth=0 if is_long else 1,
        deadline_ms=deadline_ms,
        size_class=SizeClass.SHORT,
        may_move_on=may_move_on,
    )


def _make_server(clock: ManualClock, slots: int) -> Any:
    return ADMISSION_VARIANTS.get("adaptive")(clock, slots)


class Service:
    """Servers that calls reach at random, simulated event by event.

    :param count: number of servers
    :param slots: slots of each
    :param may_move_on: whether a call may leave a full server once
    """

    def __init__(self, count: int, slots: int, *, may_move_on: bool) -> None:
        self.clock = ManualClock()
        self.servers = [_make_server(self.clock, slots) for _ in range(count)]
        self.may_move_on = may_move_on
        self.rng = random.Random(SEED)
        self.works: dict[int, Work] = {}
        self.ends: list[tuple[float, int, int]] = []
        self.failed_short = 0

    def arrive(self, work: Work) -> None:
        """Send a call to a random server, and to another one if it moves on."""
        self.works[work.call_id] = work
        index = self.rng.randrange(len(self.servers))
        if self._send(index, work, may_move_on=self.may_move_on):
            return
        others = [i for i in range(len(self.servers)) if i != index]
        self._send(self.rng.choice(others), work, may_move_on=False)

    def _send(self, index: int, work: Work, *, may_move_on: bool) -> bool:
        request = _request(
            work.call_id,
            work.deadline_ms,
            is_long=work.is_long,
            may_move_on=may_move_on,
        )
        decisions = self.servers[index].arrive(request)
        for decision in decisions:
            is_own = decision.call_id == work.call_id
            if is_own and may_move_on and _moves_on(decision):
                self._apply(index, [d for d in decisions if d is not decision])
                return False
        self._apply(index, decisions)
        return True

    def _apply(self, index: int, decisions: list[Any]) -> None:
        now_ms = self.clock.now_ms()
        for decision in decisions:
            work = self.works[decision.call_id]
            if isinstance(decision, Start):
                end = (now_ms + work.work_ms, index, work.call_id)
                heapq.heappush(self.ends, end)
            else:
                self.failed_short += not work.is_long

    def run_until(self, time_ms: float) -> None:
        """Finish the calls that end before a time, and apply deadlines."""
        while self.ends and self.ends[0][0] <= time_ms:
            end_ms, index, call_id = heapq.heappop(self.ends)
            self.clock.advance_ms(max(end_ms - self.clock.now_ms(), 0.0))
            self._apply(index, self.servers[index].finish(call_id, succeeded=True))
        self.clock.advance_ms(max(time_ms - self.clock.now_ms(), 0.0))
        for index, server in enumerate(self.servers):
            wakeup_ms = server.next_wakeup_ms()
            if wakeup_ms is not None and wakeup_ms <= time_ms:
                self._apply(index, server.tick())


def _moves_on(decision: Any) -> bool:
    return isinstance(decision, Refuse) and decision.reason is Reason.OVERLOAD


@given("a full server with {slots:d} slots and calls of {work_ms:d} ms")
def step_full(context: Any, slots: int, work_ms: int) -> None:
    context.clock = ManualClock()
    context.server = _make_server(context.clock, slots)
    for call_id in range(slots):
        context.server.arrive(_request(call_id, 60_000.0, may_move_on=False))
    context.clock.advance_ms(work_ms)
    for call_id in range(slots):
        context.server.finish(call_id, succeeded=True)
    for call_id in range(100, 100 + 2 * slots):
        context.server.arrive(_request(call_id, 60_000.0, may_move_on=False))
    context.shed_before = context.server.load().admitted_weight


@given("a server with {slots:d} slots and a free one")
def step_free(context: Any, slots: int) -> None:
    context.clock = ManualClock()
    context.server = _make_server(context.clock, slots)
    for call_id in range(slots - 1):
        context.server.arrive(_request(call_id, 60_000.0, may_move_on=False))


@when("a call that may move on and one that may not arrive there")
def step_both(context: Any) -> None:
    context.first = context.server.arrive(_request(500, 60_000.0, may_move_on=True))
    context.second = context.server.arrive(_request(501, 60_000.0, may_move_on=False))


@when("a call that may move on arrives there")
def step_one(context: Any) -> None:
    context.first = context.server.arrive(_request(500, 60_000.0, may_move_on=True))


@then("the first is refused for overload at once and the second is queued")
def step_refused(context: Any) -> None:
    (decision,) = context.first
    assert _moves_on(decision), decision
    assert context.second == [], context.second


@then("the first does not count as shed")
def step_not_shed(context: Any) -> None:
    assert context.server.load().admitted_weight == context.shed_before


@then("it starts")
def step_starts(context: Any) -> None:
    assert context.first == [Start(500)], context.first


@given("{count:d} servers with {slots:d} slots")
def step_servers(context: Any, count: int, slots: int) -> None:
    context.make_service = lambda may_move_on: Service(
        count, slots, may_move_on=may_move_on
    )


@when(
    "for {seconds:d} s {longs:d} calls of {long_ms:d} ms and {shorts:d} calls of"
    " {short_ms:d} ms a second pick a server at random"
)
def step_load(
    context: Any, seconds: int, longs: int, long_ms: int, shorts: int, short_ms: int
) -> None:
    kinds = [(True, long_ms)] * longs + [(False, short_ms)] * shorts
    context.failed_counts = {}
    for may_move_on in (False, True):
        service = context.make_service(may_move_on)
        rng = random.Random(SEED)
        call_id = 0
        for second in range(seconds):
            rng.shuffle(kinds)
            for position, (is_long, work_ms) in enumerate(kinds):
                now_ms = MS_PER_SECOND * (second + position / len(kinds))
                service.run_until(now_ms)
                allowed_ms = LONG_DEADLINE_MS if is_long else SHORT_DEADLINE_MS
                call_id += 1
                service.arrive(
                    Work(call_id, is_long, float(work_ms), now_ms + allowed_ms)
                )
        context.failed_counts[may_move_on] = service.failed_short


@then(
    "fewer short calls fail for their deadline of {deadline_ms:d} ms if calls may move"
    " on once"
)
def step_fewer(context: Any, deadline_ms: int) -> None:
    assert deadline_ms == SHORT_DEADLINE_MS
    assert context.failed_counts[False] > 0, context.failed_counts
    assert context.failed_counts[True] < context.failed_counts[False] / 2, (
        context.failed_counts
    )
