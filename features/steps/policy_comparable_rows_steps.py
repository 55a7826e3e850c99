"""Steps for the selection of rows with comparable latency."""

from __future__ import annotations

import heapq
import random
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.ids import NodeId
from marjoramstep_core.ids import RowName
from marjoramstep_core.ids import ServerId
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.ids import ZoneName
from marjoramstep_core.states import ServerState
from marjoramstep_core.states import SizeClass
from marjoramstep_policy.routing import ROUTERS
from marjoramstep_policy.routing import CallResult
from marjoramstep_policy.routing import ComparableRows
from marjoramstep_policy.routing import RouteMember


SERVICE = ServiceName("progress")
LOCAL_ZONE = "a"
NO_EXCLUSIONS = frozenset[ServerId]()
MS_PER_SECOND = 1_000.0
START_MS = 100_000.0


def _member(zone: str) -> RouteMember:
    return RouteMember(
        ServerId(f"s-{zone}"),
        NodeId(f"n-{zone}"),
        "127.0.0.1:1",
        ZoneName(zone),
        60,
        400,
        ServerState.READY,
        1,
    )


@given(
    "a zone-first router over 4 healthy servers, used by a node that {rule} rows "
    "before it measures latency"
)
def step_router(context: Any, rule: str) -> None:
    context.rule = rule
    context.slow_from_ms = float("inf")
    context.slow_factor = 1.0


def _start_run(context: Any, seed: int) -> None:
    context.clock = ManualClock(START_MS)
    context.rng = random.Random(seed)
    context.calls = []
    context.router = ROUTERS.get("zone-first")(
        context.clock, context.rng, ZoneName(LOCAL_ZONE)
    )
    context.router.update_members(SERVICE, [_member(zone) for zone in "abcd"])
    context.rows = ComparableRows() if context.rule == "compares" else None


@given(
    "the server of the local zone takes {factor:g} times as long from second "
    "{second:d} on"
)
def step_slow(context: Any, factor: float, second: int) -> None:
    context.slow_from_ms = START_MS + second * MS_PER_SECOND
    context.slow_factor = factor


def _size_class_of(context: Any, row: RowName) -> SizeClass:
    if context.rows is None or context.rows.is_comparable(SERVICE, row):
        return SizeClass.SHORT
    return SizeClass.LONG


def _start(context: Any, row: RowName, mean_ms: float, running: list[Any]) -> None:
    now_ms = context.clock.now_ms()
    size_class = _size_class_of(context, row)
    may_sample_remote = size_class is SizeClass.SHORT
    member = context.router.pick(
        SERVICE, NO_EXCLUSIONS, may_sample_remote=may_sample_remote
    )
    context.router.record_call_start(member.server_id, size_class)
    duration_ms = mean_ms * context.rng.uniform(0.6, 1.4)
    if member.zone == LOCAL_ZONE and now_ms >= context.slow_from_ms:
        duration_ms *= context.slow_factor
    entry = (now_ms + duration_ms, len(context.calls), member, row, size_class, now_ms)
    heapq.heappush(running, entry)
    context.calls.append((now_ms - START_MS, row, member.zone))


def _finish_due(context: Any, running: list[Any], until_ms: float) -> None:
    while running and running[0][0] <= until_ms:
        end_ms, _, member, row, size_class, start_ms = heapq.heappop(running)
        context.clock.advance_ms(end_ms - context.clock.now_ms())
        latency_ms = end_ms - start_ms
        context.router.record_call_end(
            member.server_id, latency_ms, CallResult.ANSWERED, None, size_class
        )
        if context.rows is not None:
            context.rows.observe(SERVICE, row, latency_ms)
    context.clock.advance_ms(max(until_ms - context.clock.now_ms(), 0.0))


def _run_plan(context: Any, plan: list[tuple[float, str, int]]) -> None:
    running: list[Any] = []
    for at_ms, row, mean_ms in plan:
        _finish_due(context, running, START_MS + at_ms)
        _start(context, RowName(row), float(mean_ms), running)


@when(
    "for {seconds:d} s {many:d} lookups of {short:d} ms and {few:d} reports of "
    "{long:d} ms a second are called in {runs:d} runs"
)
def step_calls(
    context: Any, seconds: int, many: int, short: int, few: int, long: int, runs: int
) -> None:
    plan = [(n * MS_PER_SECOND / many, "lookup", short) for n in range(seconds * many)]
    plan += [(n * MS_PER_SECOND / few, "report", long) for n in range(seconds * few)]
    context.lookups = []
    for seed in range(runs):
        _start_run(context, seed)
        _run_plan(context, sorted(plan))
        context.lookups.append(
            [(at_ms, zone) for at_ms, row, zone in context.calls if row == "lookup"]
        )


def _stayed_percent(lookups: list[tuple[float, str]]) -> float:
    return 100.0 * sum(zone == LOCAL_ZONE for _, zone in lookups) / len(lookups)


def _highest_left_percent(context: Any) -> float:
    return max(100.0 - _stayed_percent(lookups) for lookups in context.lookups)


@then("at most {percent:d}% of the lookups left their zone in the worst run")
def step_at_most(context: Any, percent: int) -> None:
    actual = _highest_left_percent(context)
    assert actual <= percent, actual


@then("more than {percent:d}% of the lookups left their zone in the worst run")
def step_more(context: Any, percent: int) -> None:
    actual = _highest_left_percent(context)
    assert actual > percent, actual


@then(
    "less than {percent:d}% of the lookups after second {second:d} stayed in their "
    "zone in the worst run"
)
def step_moved(context: Any, percent: int, second: int) -> None:
    from_ms = second * MS_PER_SECOND
    late = [
        [lookup for lookup in run if lookup[0] >= from_ms] for run in context.lookups
    ]
    actual = max(_stayed_percent(lookups) for lookups in late)
    assert actual < percent, actual


@given(
    'rows "{first}" with {many:d} answers of {one:d} ms and "{second}" with '
    "{few:d} answers of {other:d} ms"
)
def step_rows(
    context: Any, first: str, many: int, one: int, second: str, few: int, other: int
) -> None:
    context.rows = ComparableRows()
    for _ in range(few):
        context.rows.observe(SERVICE, RowName(second), float(other))
    for _ in range(many):
        context.rows.observe(SERVICE, RowName(first), float(one))
    context.names = (first, second)


@then('only "{name}" is comparable')
def step_only(context: Any, name: str) -> None:
    comparable = [
        row
        for row in context.names
        if context.rows.is_comparable(SERVICE, RowName(row))
    ]
    assert comparable == [name], comparable
