"""Steps for admission control."""

from __future__ import annotations

import math
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.states import Reason
from marjoramstep_policy.admission import SIZE_CLASSIFIERS
from marjoramstep_policy.admission import Refuse
from marjoramstep_policy.admission import Start
from policy_admission_support import SimulatedServer
from policy_admission_support import make_row


CALL_MS = 20.0
OVERLOAD_WEIGHTS = (10, 100, 900)


@given('admission control "{variant}" with {slots:d} slots and seed {seed:d}')
def step_server(context: Any, variant: str, slots: int, seed: int) -> None:
    context.server = SimulatedServer(variant, slots, float(slots), seed)


@given("one running call that takes {duration:d} ms")
def step_running(context: Any, duration: int) -> None:
    context.running_call = context.server.arrive(make_row("blocker"), work_ms=duration)
    assert isinstance(context.running_call.decision, Start)


@when("weights 10, 100 and 900 arrive for 3 s at 3 times the capacity")
def step_overload(context: Any) -> None:
    server = context.server
    rows = [make_row(f"w{w}", weight=w, queue_length=20) for w in OVERLOAD_WEIGHTS]
    rate_per_ms = 3 * server.slots / CALL_MS
    context.peak_admitted = 0

    def send_calls() -> None:
        due = rate_per_ms
        while server.rng.random() < due:
            # One call in five has the highest weight: 60% of the capacity.
            row = server.rng.choices(rows, (2, 2, 1))[0]
            server.arrive(row, work_ms=CALL_MS, depth=server.rng.randrange(3))
            due -= 1.0
        admitted = server.admission.load().admitted_weight
        context.peak_admitted = max(context.peak_admitted, admitted)

    server.run(3000, send_calls)
    server.drain()


def _first_priority_inversion(server: SimulatedServer) -> str | None:
    calls = list(server.calls.values())
    starts = [c for c in calls if isinstance(c.decision, Start)]
    for high in calls:
        refused_at_once = (
            isinstance(high.decision, Refuse) and high.decided_ms == high.arrived_ms
        )
        for low in starts:
            if low.request.weight >= high.request.weight:
                continue
            waited = high.arrived_ms < low.decided_ms < high.decided_ms
            refused_before_start = (
                refused_at_once
                and low.request.call_id < high.request.call_id
                and high.decided_ms < low.decided_ms
            )
            if waited or refused_before_start:
                return f"{low} started before {high}"
    return None


@then("no lower weight started while a higher weight was queued or refused")
def step_no_inversion(context: Any) -> None:
    refused = [
        c for c in context.server.calls.values() if isinstance(c.decision, Refuse)
    ]
    assert len(refused) > 100, "the server was not overloaded"
    found = _first_priority_inversion(context.server)
    assert found is None, found


@then("some lower weight started while a higher weight was queued")
def step_inversion(context: Any) -> None:
    assert _first_priority_inversion(context.server)


@then("weight 900 completes at least {share:d} percent of its calls")
def step_highest(context: Any, share: int) -> None:
    calls = [c for c in context.server.calls.values() if c.request.weight == 900]
    done = sum(c.finished_ms > 0 for c in calls)
    assert done * 100 >= share * len(calls), f"{done} of {len(calls)}"


@then("the load reported an admitted weight above 10 during the overload")
def step_admitted(context: Any) -> None:
    assert context.peak_admitted > 10, context.peak_admitted


@then("the load reports admitted weight 0 3 s after the overload")
def step_admitted_zero(context: Any) -> None:
    context.server.run(3000)
    assert context.server.admission.load().admitted_weight == 0


@when("more long uploads than slots arrive and then short requests for 1 s")
def step_uploads(context: Any) -> None:
    server = context.server
    long_row = make_row(
        "scan", size_class="long", expected_ms=5000, queue_wait_ms=60_000, weight=900
    )
    short_row = make_row("lookup", queue_wait_ms=60_000)
    for _ in range(server.slots * 2):
        server.arrive(long_row, work_ms=5000.0, deadline_in_ms=600_000)
    context.short_calls = []
    for _ in range(20):
        context.short_calls.append(server.arrive(short_row))
        server.run(50)
    server.drain()


@then("the longest wait of a short request is {comparison} {limit:d} ms")
def step_short_wait(context: Any, comparison: str, limit: int) -> None:
    longest = max(
        c.decided_ms - c.arrived_ms if isinstance(c.decision, Start) else math.inf
        for c in context.short_calls
    )
    assert (longest < limit) == (comparison == "below"), longest


@when("a long upload arrives at the idle server")
def step_one_upload(context: Any) -> None:
    row = make_row("scan", size_class="long", expected_ms=5000)
    context.call = context.server.arrive(row)


@then("the long upload starts at once")
@then("that call starts at once")
def step_starts(context: Any) -> None:
    assert isinstance(context.call.decision, Start), context.call


@when("{number:d} calls of 20 ms with a deadline of {deadline:d} ms arrive at once")
def step_deadlines(context: Any, number: int, deadline: int) -> None:
    row = make_row("urgent", queue_wait_ms=60_000)
    context.calls = [
        context.server.arrive(row, deadline_in_ms=deadline) for _ in range(number)
    ]
    context.server.drain()


@then("{number} calls start after their deadline")
def step_late(context: Any, number: str) -> None:
    late = [
        c
        for c in context.calls
        if isinstance(c.decision, Start) and c.decided_ms >= c.request.deadline_ms
    ]
    assert bool(late) == (number == "some"), len(late)


@then('at least {number:d} of them are refused as "{reason}" on arrival')
def step_refused_early(context: Any, number: int, reason: str) -> None:
    early = [
        c
        for c in context.calls
        if isinstance(c.decision, Refuse)
        and c.decision.reason is Reason(reason)
        and c.decided_ms == c.arrived_ms
    ]
    assert len(early) >= number, len(early)


@then("all calls that started finish within their deadline")
def step_in_time(context: Any) -> None:
    finished = [c for c in context.calls if c.finished_ms > 0]
    assert finished
    assert all(c.finished_ms <= c.request.deadline_ms for c in finished)


@when(
    "calls of a row took {took:d} ms and one with a deadline of {deadline:d} ms comes "
    "when it is idle"
)
def step_idle_row(context: Any, took: int, deadline: int) -> None:
    row = make_row("slowed")
    for _ in range(20):
        context.server.arrive(row, work_ms=took)
        context.server.drain()
    context.call = context.server.arrive(row, deadline_in_ms=deadline)


@when("10 calls of a row with a share of 30 percent arrive and one of another row")
def step_share(context: Any) -> None:
    row = make_row("limited", concurrency_share_percent=30)
    context.calls = [context.server.arrive(row) for _ in range(10)]
    context.call = context.server.arrive(make_row("other", weight=1))


@then("3 calls of the limited row run and the other row's call runs")
def step_share_kept(context: Any) -> None:
    started = [isinstance(c.decision, Start) for c in context.calls]
    assert started.count(True) == 3, started
    assert isinstance(context.call.decision, Start)
    context.server.drain()
    assert all(isinstance(c.decision, Start) for c in context.calls)


@when("{number:d} random arrivals, ends, cancellations and changes of slots happen")
def step_random(context: Any, number: int) -> None:
    server, rng = context.server, context.server.rng
    rows = [
        make_row(
            f"r{i}",
            size_class=rng.choice(("short", "long")),
            queue_length=rng.randrange(6),
            queue_wait_ms=rng.choice((0, 10, 200, 5000)),
            concurrency_share_percent=rng.choice((1, 30, 100)),
            expected_ms=rng.choice((1, 20, 400)),
        )
        for i in range(12)
    ]
    server.capacity = 1000.0
    context.slots_exceeded = []
    for _ in range(number):
        action = rng.random()
        if action < 0.6:
            server.arrive(
                rng.choice(rows),
                work_ms=rng.expovariate(1 / 40),
                weight=rng.randint(1, 1000),
                depth=rng.randrange(3),
                deadline_in_ms=rng.choice((0, 5, 100, 3000)),
            )
        elif action < 0.65:
            server.record(server.admission.cancel(rng.randrange(len(server.calls) + 1)))
        elif action < 0.67:
            server.slots = max(1, server.slots + rng.choice((-1, 1)))
            server.record(server.admission.set_slots(server.slots))
        else:
            # Time steps of different length also cover late wake-ups.
            server.clock.advance_ms(rng.choice((0.0, 0.3, 30.0)))
            server.step()
        context.slots_exceeded.append(server.slots_exceeded)
    server.drain()


@then("each call had exactly one decision and nothing started after its deadline")
def step_invariants(context: Any) -> None:
    calls = context.server.calls.values()
    kinds = {type(call.decision) for call in calls}
    assert kinds == {Start, Refuse}, kinds
    for call in calls:
        if isinstance(call.decision, Start):
            assert call.decided_ms < call.request.deadline_ms, call


@then("the calls in flight never exceeded the slots at the time of a start")
def step_slots_kept(context: Any) -> None:
    assert not any(context.slots_exceeded)


@then("a repeated call id, the end of an unknown call and 0 slots each raise an error")
def step_errors(context: Any) -> None:
    admission = context.server.admission
    for invalid_use in (
        lambda: admission.arrive(context.running_call.request),
        lambda: admission.finish(10_000, succeeded=True),
        lambda: admission.set_slots(0),
    ):
        try:
            invalid_use()
        except InvalidInputError:
            continue
        raise AssertionError("no error was raised")
    assert admission.load().in_flight == 1


@given(
    'a size classifier "{variant}" that observed {number:d} calls of {duration:d} ms'
)
def step_classifier(context: Any, variant: str, number: int, duration: int) -> None:
    context.classifier = SIZE_CLASSIFIERS.get(variant)()
    context.learned_row = make_row("learned", size_class="learn")
    for _ in range(number):
        context.classifier.observe(make_row("lookup"), duration)


@when("a row without a size class runs {number:d} calls of {duration:d} ms")
def step_learn(context: Any, number: int, duration: int) -> None:
    for _ in range(number):
        context.classifier.observe(context.learned_row, duration)
        # Short calls continue meanwhile and keep the typical duration unchanged.
        for _ in range(4):
            context.classifier.observe(make_row("lookup"), 20.0)


@then('the row is classified as "{size}"')
def step_learned(context: Any, size: str) -> None:
    assert context.classifier.classify(context.learned_row).value == size
