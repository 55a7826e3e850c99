"""Steps for zone-aware routing and for traffic splits."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.ids import NodeId
from marjoramstep_core.ids import ServerId
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.ids import ZoneName
from marjoramstep_core.states import ServerState
from marjoramstep_core.table import Row
from marjoramstep_policy.routing import ROUTERS
from marjoramstep_policy.routing import CallResult
from marjoramstep_policy.routing import ReportedLoad
from marjoramstep_policy.routing import RouteMember
from marjoramstep_policy.routing import TargetChooser


SERVICE = ServiceName("archive")
NO_EXCLUSIONS = frozenset[ServerId]()
IDLE_LOAD = ReportedLoad(0, 10, 0)
# Answers after which the moving average of a server is near its latency.
WARM_UP_ANSWERS = 8


def _member(zone: str, slots: int, name: str = "") -> RouteMember:
    name = name or zone
    return RouteMember(
        ServerId(f"s-{name}"),
        NodeId(f"n-{name}"),
        "127.0.0.1:1",
        ZoneName(zone),
        slots,
        100,
        ServerState.READY,
        1,
    )


def _pick(context: Any) -> RouteMember:
    member = context.router.pick(
        SERVICE, NO_EXCLUSIONS, may_sample_remote=context.may_sample_remote
    )
    assert member is not None
    context.router.record_call_start(member.server_id)
    context.zones[member.zone] += 1
    return member


@given(
    "a zone-first router with a server of {slots:d} slots in each of the zones a, b "
    "and c"
)
def step_router(context: Any, slots: int) -> None:
    _make_router(context, [_member(zone, slots) for zone in "abc"])


def _make_router(context: Any, members: list[RouteMember]) -> None:
    context.clock = ManualClock(100_000.0)
    context.zones = Counter()
    context.may_sample_remote = True
    context.router = ROUTERS.get("zone-first")(
        context.clock, random.Random(3), ZoneName("a")
    )
    context.router.update_members(SERVICE, members)


@given(
    "a zone-first router with {count:d} servers of {slots:d} slots in each of the "
    "zones a, b and c"
)
def step_router_with_more(context: Any, count: int, slots: int) -> None:
    members = [
        _member(zone, slots, f"{zone}{number}")
        for zone in "abc"
        for number in range(count)
    ]
    _make_router(context, members)


@given(
    "the server of zone a has just reported {running:d} running and {queued:d} "
    "queued calls"
)
def step_full(context: Any, running: int, queued: int) -> None:
    context.router.record_call_start(ServerId("s-a"))
    context.clock.advance_ms(1.0)
    load = ReportedLoad(running, running, queued)
    context.router.record_call_end(ServerId("s-a"), 1.0, CallResult.ANSWERED, load)


@given(
    "all servers have just reported {running:d} running and {queued:d} queued calls "
    "after {low_ms:d} to {high_ms:d} ms"
)
def step_all_full(
    context: Any, running: int, queued: int, low_ms: int, high_ms: int
) -> None:
    # The local zone is slightly slower than the others.
    latencies = {"a": high_ms, "b": low_ms, "c": low_ms}
    load = ReportedLoad(running, running, queued)
    for zone in list(latencies) * WARM_UP_ANSWERS:
        latency_ms = float(latencies[zone])
        context.router.record_call_start(ServerId(f"s-{zone}"))
        context.clock.advance_ms(latency_ms)
        context.router.record_call_end(
            ServerId(f"s-{zone}"), latency_ms, CallResult.ANSWERED, load
        )


@given("the server of zone a has just refused a call")
def step_refused(context: Any) -> None:
    context.router.record_call_start(ServerId("s-a"))
    context.clock.advance_ms(1.0)
    context.router.record_call_end(
        ServerId("s-a"), 1.0, CallResult.REFUSED_OVERLOAD, IDLE_LOAD
    )


@when("{count:d} calls of {duration_ms:d} ms arrive {interval_ms:d} ms apart")
def step_calls(context: Any, count: int, duration_ms: int, interval_ms: int) -> None:
    running: list[tuple[float, RouteMember]] = []
    for _ in range(count):
        now_ms = context.clock.now_ms()
        for started_ms, member in [c for c in running if now_ms - c[0] >= duration_ms]:
            running.remove((started_ms, member))
            context.router.record_call_end(
                member.server_id, now_ms - started_ms, CallResult.ANSWERED, IDLE_LOAD
            )
        running.append((now_ms, _pick(context)))
        context.clock.advance_ms(float(interval_ms))


@when("{count:d} calls arrive at once")
def step_at_once(context: Any, count: int) -> None:
    for _ in range(count):
        _pick(context)


@when('{count:d} requests are distributed over the targets "{targets}"')
def step_distribute(context: Any, count: int, targets: str) -> None:
    row = Row.from_cells({"name": "split", "host": "h", "targets": targets})
    chooser = TargetChooser()
    context.chosen = Counter(chooser.choose(row) for _ in range(count))


@then("all calls go to zone a")
def step_all(context: Any) -> None:
    assert set(context.zones) == {"a"}, context.zones


@then("no call goes to zone a")
def step_no_call(context: Any) -> None:
    assert context.zones["a"] == 0, context.zones


@then("{local:d} calls go to zone a and {remote:d} to the other zones")
def step_split(context: Any, local: int, remote: int) -> None:
    total = sum(context.zones.values())
    assert context.zones["a"] == local, context.zones
    assert total - local == remote, context.zones


@then('between {low:d} and {high:d} of them go to "{service}"')
def step_between(context: Any, low: int, high: int, service: str) -> None:
    assert low <= context.chosen[service] <= high, context.chosen


@then("between {low:d} and {high:d} calls go to the other zones")
def step_samples(context: Any, low: int, high: int) -> None:
    remote = sum(context.zones.values()) - context.zones["a"]
    assert low <= remote <= high, context.zones


@when("the calls may not be used as latency samples")
def step_no_samples(context: Any) -> None:
    context.may_sample_remote = False
