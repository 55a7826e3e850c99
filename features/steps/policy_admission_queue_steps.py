"""Steps for the order, the waits and the drops in the queue of admission control."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when
from marjoramstep_core.states import Reason
from marjoramstep_policy.admission import Refuse
from marjoramstep_policy.admission import Start
from policy_admission_support import make_row


CALL_MS = 20.0
OVERLOAD_WEIGHTS = (10, 100, 900)


@when("a root of weight 500 and then a sub-call at depth 5 of weight 500 are queued")
def step_root_and_sub_call(context: Any) -> None:
    server = context.server
    # The row of the sub-call has a low weight; the weight of its root must count.
    root = server.arrive(make_row("root", weight=500), deadline_in_ms=1000)
    low_row = make_row("leaf", weight=1)
    sub_call = server.arrive(low_row, weight=500, depth=5, deadline_in_ms=2000)
    context.waiting = [sub_call, root]


@when("a root of weight 400 with an earlier deadline is queued")
def step_lighter(context: Any) -> None:
    row = make_row("lighter", weight=400)
    context.waiting.append(context.server.arrive(row, deadline_in_ms=500))


@then("the queued calls start in the order sub-call, root, root of lower weight")
def step_order(context: Any) -> None:
    context.server.drain()
    starts = [call.decided_ms for call in context.waiting]
    assert all(isinstance(call.decision, Start) for call in context.waiting)
    assert starts == sorted(starts), starts


@when("two calls of weight 10 and one of weight 20 come to a row with queue length 2")
def step_evict(context: Any) -> None:
    context.row = make_row("full", queue_length=2)
    context.waiting = [
        context.server.arrive(context.row, weight=weight) for weight in (10, 10, 20)
    ]


@then('the older call of weight 10 is refused as "{reason}"')
def step_evicted(context: Any, reason: str) -> None:
    decisions = [call.decision for call in context.waiting]
    assert isinstance(decisions[0], Refuse), decisions
    assert decisions[0].reason is Reason(reason)
    assert decisions[1:] == [None, None], decisions


@then('a further call of weight 10 in that row is refused as "{reason}"')
def step_queue_full(context: Any, reason: str) -> None:
    decision = context.server.arrive(context.row, weight=10).decision
    assert isinstance(decision, Refuse)
    assert decision.reason is Reason(reason)


@when("a call of a row with a queue wait of {wait:d} ms is queued")
def step_waits(context: Any, wait: int) -> None:
    context.call = context.server.arrive(make_row("patient", queue_wait_ms=wait))
    context.server.run(400)


@then('it is refused as "{reason}" after {wait:d} ms')
def step_wait_over(context: Any, reason: str, wait: int) -> None:
    call = context.call
    assert isinstance(call.decision, Refuse), call
    assert call.decision.reason is Reason(reason)
    assert call.decided_ms - call.arrived_ms == wait, call


@when("3 calls of weight 10 and 2 of weight 20 are queued for 130 ms")
def step_standing(context: Any) -> None:
    row = make_row("mixed", queue_wait_ms=1000)
    context.waiting = []
    for weight in (10, 20, 10, 20, 10):
        context.waiting.append(context.server.arrive(row, weight=weight))
    context.server.run(130)


@then("only the oldest call of weight 10 is dropped")
def step_dropped(context: Any) -> None:
    decisions = [call.decision for call in context.waiting]
    assert isinstance(decisions[0], Refuse), decisions
    assert decisions[0].reason is Reason.OVERLOAD
    assert decisions[1:] == [None] * 4, decisions


@then("the newest call of weight 20 starts first")
def step_newest(context: Any) -> None:
    context.server.run(15)
    started = [isinstance(c.decision, Start) for c in context.waiting]
    assert started == [False, False, False, True, False], started


@when("3 calls that take 200 ms are queued")
def step_long_work(context: Any) -> None:
    row = make_row("slow", expected_ms=200, queue_wait_ms=1000)
    context.waiting = [context.server.arrive(row, work_ms=200) for _ in range(3)]


@then("none of them is dropped within {kept:d} ms and one within {dropped:d} ms")
def step_dropped_late(context: Any, kept: int, dropped: int) -> None:
    context.server.run(kept)
    assert [call.decision for call in context.waiting] == [None] * 3, context.waiting
    context.server.run(dropped - kept)
    refused = [call for call in context.waiting if isinstance(call.decision, Refuse)]
    assert len(refused) == 1, context.waiting
    assert refused[0].decision.reason is Reason.OVERLOAD


@when(
    "5 calls of a row with a queue wait of 4000 ms are queued among calls with a "
    "shorter one"
)
def step_long_queue_wait(context: Any) -> None:
    rows = {wait: make_row(f"w{wait}", queue_wait_ms=wait) for wait in (500, 4000)}
    context.waiting = {500: [], 4000: []}
    for _ in range(5):
        for wait, row in rows.items():
            context.waiting[wait].append(context.server.arrive(row))
        context.server.step()
    context.server.drain()


@then("only calls with the shorter queue wait are refused")
def step_only_short(context: Any) -> None:
    decisions = [call.decision for call in context.waiting[500]]
    assert any(isinstance(decision, Refuse) for decision in decisions), decisions
    long_wait_decisions = [call.decision for call in context.waiting[4000]]
    assert all(isinstance(decision, Start) for decision in long_wait_decisions), (
        long_wait_decisions
    )


@then("the calls with the long queue wait start in the order of their arrival")
def step_arrival_order(context: Any) -> None:
    starts = [call.decided_ms for call in context.waiting[4000]]
    assert starts == sorted(starts), starts
    assert len(set(starts)) == len(starts), starts


@when("a sub-call and a root of a row with a queue wait of 70 ms are queued")
def step_sub_call_wait(context: Any) -> None:
    row = make_row("leaf", queue_wait_ms=70)
    context.root = context.server.arrive(row)
    context.sub_call = context.server.arrive(row, depth=1)
    context.server.drain()


@then("the root is refused after 70 ms and the sub-call starts after 600 ms")
def step_sub_call_started(context: Any) -> None:
    assert isinstance(context.root.decision, Refuse), context.root
    assert context.root.decided_ms == 70, context.root
    assert isinstance(context.sub_call.decision, Start), context.sub_call
    assert context.sub_call.decided_ms == 600, context.sub_call


@when("a sub-call with a deadline in 300 ms is queued")
def step_sub_call_deadline(context: Any) -> None:
    row = make_row("leaf", queue_wait_ms=70)
    context.sub_call = context.server.arrive(row, depth=1, deadline_in_ms=300)
    context.server.drain()


@then('the sub-call is refused as "{reason}" and never starts')
def step_sub_call_refused(context: Any, reason: str) -> None:
    decision = context.sub_call.decision
    assert isinstance(decision, Refuse), context.sub_call
    assert decision.reason is Reason(reason), context.sub_call
    assert context.sub_call.decided_ms <= 300, context.sub_call
