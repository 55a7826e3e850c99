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


@when("the saturated server runs 2 s, slows down 5-fold by {kind} for 4 s and recovers")
def step_slowdown(context: Any, kind: str) -> None:
    server = context.server
    row = make_row("steady", queue_length=1000, queue_wait_ms=100_000)
    limits: list[int] = []

    def send_calls() -> None:
        while server.admission.load().queue_length < 100:
            server.arrive(row, work_ms=server.rng.uniform(10, 30))
        limits.append(server.admission.load().limit)

    server.run(2000, send_calls)
    context.normal_finished = len(server.finished)
    if kind == "latency":
        server.slowdown = 5.0
    else:
        server.capacity /= 5
    server.run(4000, send_calls)
    context.slowed_finished = len(server.finished) - context.normal_finished
    context.last_slow_limits = limits[-1000:]
    context.limits = limits[2000:]
    server.slowdown, server.capacity = 1.0, float(server.slots)
    context.recovered = []
    for _ in range(30):
        before = len(server.finished)
        server.run(100, send_calls)
        context.recovered.append(len(server.finished) - before)


@then("throughput while slowed is at least {share:d} percent of what is possible")
def step_slow_throughput(context: Any, share: int) -> None:
    possible = context.normal_finished * 2 / 5
    assert context.normal_finished > 3500, context.normal_finished
    assert context.slowed_finished <= possible * 1.1, "the server was not slowed down"
    assert context.slowed_finished >= possible * share / 100, (
        context.slowed_finished,
        possible,
    )


@then("full throughput is reached within {limit:d} ms after the slowdown")
def step_recovery(context: Any, limit: int) -> None:
    full = context.normal_finished / 20 * 0.9
    reached = next(i for i, n in enumerate(context.recovered, 1) if n >= full)
    assert reached * 100 <= limit, context.recovered


@then(
    "the mean limit in the last second of the slowdown is between {low:d} and {high:d}"
)
def step_limit(context: Any, low: int, high: int) -> None:
    mean = sum(context.last_slow_limits) / len(context.last_slow_limits)
    assert low <= mean <= high, mean


@then("the limit fell to at most {limit:d} within {within:d} ms of the slowdown")
def step_limit_fell(context: Any, limit: int, within: int) -> None:
    assert min(context.limits[:within]) <= limit, context.limits[:within:50]


@when(
    "calls of exactly 20 ms saturate the server, capacity falls 5-fold for 4 s and "
    "returns"
)
def step_exact(context: Any) -> None:
    server = context.server
    row = make_row("steady", queue_length=1000, queue_wait_ms=100_000)

    def send_calls() -> None:
        while server.admission.load().queue_length < 100:
            server.arrive(row)

    server.run(2000, send_calls)
    server.capacity /= 5
    server.run(4000, send_calls)
    assert server.admission.load().limit <= 14, "the limit did not fall"
    server.capacity = float(server.slots)
    context.limits = []
    server.run(
        2000,
        lambda: (send_calls(), context.limits.append(server.admission.load().limit)),
    )


@then("the limit equals the slots again within {within:d} ms")
def step_limit_back(context: Any, within: int) -> None:
    assert max(context.limits[:within]) == context.server.slots, context.limits[::100]


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


@when("2 calls at a time run for 6 s, then 7 at a time with 250 ms of slowdown")
def step_short_slowdown(context: Any) -> None:
    server = context.server
    row = make_row("steady")

    def keep(count: int) -> None:
        load = server.admission.load()
        for _ in range(count - load.in_flight - load.queue_length):
            server.arrive(row)
        context.limits.append(server.admission.load().limit)

    context.limits = []
    server.run(6000, lambda: keep(2))
    context.limits = []
    server.slowdown = 4.0
    server.run(250, lambda: keep(7))
    server.slowdown = 1.0
    server.run(2000, lambda: keep(7))


@then("the limit stayed at {limit:d} from the slowdown until 2 s after it")
def step_limit_kept(context: Any, limit: int) -> None:
    assert len(context.limits) == 2250
    assert set(context.limits) == {limit}, context.limits[::100]
