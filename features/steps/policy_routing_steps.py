"""Steps for the choice of the backend server."""

from __future__ import annotations

import heapq
from collections import Counter
from random import Random
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
from marjoramstep_policy.routing import ROUTERS
from marjoramstep_policy.routing import CallResult
from marjoramstep_policy.routing import ReportedLoad
from marjoramstep_policy.routing import RouteMember


SERVICE = ServiceName("tariffs")
LATENCY_MS = 5.0
ARRIVAL_INTERVAL_MS = 2.0
WARM_UP_REQUESTS = 600


def _member(
    name: str,
    zone: str = "a",
    state: ServerState = ServerState.READY,
    incarnation: int = 1,
) -> RouteMember:
    server_id, node_id = ServerId(name), NodeId(f"n-{name}")
    return RouteMember(
        server_id, node_id, "127.0.0.1:1", ZoneName(zone), 40, 350, state, incarnation
    )


class RoutingSimulation:
    """Simulates routers that call the same backend servers, on one manual clock."""

    def __init__(
        self, router: str, routers: int, members: list[RouteMember], seed: int
    ) -> None:
        self.clock = ManualClock(100_000.0)
        self.rng = Random(seed)
        self.latency_ms = {str(m.server_id): LATENCY_MS for m in members}
        self.load: dict[str, ReportedLoad] = {}
        self.failing: set[str] = set()
        self.arrival_interval_ms = ARRIVAL_INTERVAL_MS
        self.routers = [
            ROUTERS.get(router)(self.clock, Random(seed * 100 + n), ZoneName("a"))
            for n in range(routers)
        ]
        self.ends: list[tuple[float, int, Any, str, float]] = []
        self.calls: list[tuple[float, float, str]] = []
        self.update(members)

    def update(self, members: list[RouteMember]) -> None:
        self.members = members
        for router in self.routers:
            router.update_members(SERVICE, members)

    def run(self, requests: int) -> None:
        for _ in range(requests):
            self._advance(self.arrival_interval_ms)
            router = self.rng.choice(self.routers)
            picked = router.pick(SERVICE, frozenset())
            assert picked is not None
            name = str(picked.server_id)
            duration_ms = self.latency_ms[name] * self.rng.uniform(0.7, 1.5)
            start_ms = self.clock.now_ms()
            router.record_call_start(picked.server_id)
            self.calls.append((start_ms, start_ms + duration_ms, name))
            end = (start_ms + duration_ms, len(self.calls), router, name, duration_ms)
            heapq.heappush(self.ends, end)

    def fair_shares(self) -> dict[str, float]:
        """Return the share of the recorded calls by server; 1 is the fair share."""
        counts = Counter(name for _, _, name in self.calls)
        fair = len(self.calls) / len(self.members)
        return {str(m.server_id): counts[m.server_id] / fair for m in self.members}

    def _advance(self, step_ms: float) -> None:
        target_ms = self.clock.now_ms() + step_ms
        while self.ends and self.ends[0][0] <= target_ms:
            end_ms, _, router, name, duration_ms = heapq.heappop(self.ends)
            self.clock.advance_ms(max(0.0, end_ms - self.clock.now_ms()))
            failed = name in self.failing
            result = CallResult.FAILED if failed else CallResult.ANSWERED
            router.record_call_end(
                ServerId(name), duration_ms, result, self.load.get(name)
            )
        self.clock.advance_ms(max(0.0, target_ms - self.clock.now_ms()))


@given('{n:d} "{router}" router with {count:d} warm backend servers and seed {seed:d}')
@given('{n:d} "{router}" routers with {count:d} warm backend servers and seed {seed:d}')
def step_simulation(context: Any, n: int, router: str, count: int, seed: int) -> None:
    members = [_member(f"s{index}") for index in range(count)]
    context.simulation = RoutingSimulation(router, n, members, seed)
    context.simulation.run(WARM_UP_REQUESTS * n)


@when('backend server "{name}" takes {factor:d} times as long as usual')
def step_slow(context: Any, name: str, factor: int) -> None:
    for slow_server in context.simulation.latency_ms if name == "any" else [name]:
        context.simulation.latency_ms[slow_server] = LATENCY_MS * factor


@when('backend server "{name}" fails each call immediately')
def step_fail(context: Any, name: str) -> None:
    for failing in name.split():
        context.simulation.latency_ms[failing] = 0.1
        context.simulation.failing.add(failing)


@when("the load rises {factor:d}-fold")
def step_load_rises(context: Any, factor: int) -> None:
    context.simulation.arrival_interval_ms = ARRIVAL_INTERVAL_MS / factor


@when("{count:d} requests are routed")
def step_route(context: Any, count: int) -> None:
    context.simulation.calls.clear()
    context.simulation.run(count)


@when("requests are routed for {seconds:d} seconds")
def step_route_seconds(context: Any, seconds: int) -> None:
    step_route(context, int(seconds * 1000 / ARRIVAL_INTERVAL_MS))


@then('backend server "{name}" never had two requests at once')
def step_one_at_a_time(context: Any, name: str) -> None:
    context.probes = [call for call in context.simulation.calls if call[2] == name]
    assert len(context.probes) >= 4, context.probes
    for before, after in zip(context.probes, context.probes[1:], strict=False):
        assert after[0] >= before[1], (before, after)


@then("the intervals between its requests grow to over {seconds:d} seconds")
def step_intervals(context: Any, seconds: int) -> None:
    probes = context.probes
    intervals = [b[0] - a[1] for a, b in zip(probes, probes[1:], strict=False)]
    # With jitter, a doubled interval is 1.2 to 3.3 times the one before.
    grows = [
        after > before for before, after in zip(intervals, intervals[1:], strict=False)
    ]
    assert all(grows), intervals
    assert intervals[-1] > seconds * 1000, intervals


@then(
    'backend server "{name}" never got over {percent:d}% of its fair share in {ms:d} ms'
)
def step_share_limit(context: Any, name: str, percent: int, ms: int) -> None:
    totals: Counter[int] = Counter()
    own: Counter[int] = Counter()
    for start_ms, _, called in context.simulation.calls:
        totals[int(start_ms // ms)] += 1
        own[int(start_ms // ms)] += called == name
    fair = 1 / len(context.simulation.members)
    # The first and the last window are incomplete.
    worst = max(own[w] / totals[w] for w in sorted(totals)[1:-1]) / fair
    assert worst <= percent / 100, worst


@then(
    'backend server "{name}" got under {percent:d}% of its fair share in the second '
    "after probe {n:d}"
)
def step_after_probes(context: Any, name: str, percent: int, n: int) -> None:
    simulation = context.simulation
    ends = [end_ms for _, end_ms, called in simulation.calls if called == name]
    since_ms = ends[n - 1]
    after = [
        c for start, _, c in simulation.calls if since_ms < start < since_ms + 1000
    ]
    share = after.count(name) / len(after) * len(simulation.members)
    assert 0 < share < percent / 100, share


@given(
    "a router in zone a, answers in {a:d}, {b:d} and {c:d} ms from zones a, b and c,"
    ' overload in zone "{full}"'
)
def step_zones(context: Any, a: int, b: int, c: int, full: str) -> None:
    members = [_member(f"{zone}{n}", zone) for zone in "abc" for n in range(3)]
    simulation = context.simulation = RoutingSimulation("two-choices", 1, members, 9)
    for name in simulation.latency_ms:
        queued = 40 if name.startswith(full) else 0
        simulation.load[name] = ReportedLoad(40 if queued else 1, 40, queued)
        simulation.latency_ms[name] = float({"a": a, "b": b, "c": c}[name[0]])


@when("{count:d} requests are routed among the zones with seed {seed:d}")
def step_route_zones(context: Any, count: int, seed: int) -> None:
    simulation = context.simulation
    simulation.rng.seed(seed)
    for _ in range(10):
        for member in simulation.members:
            name = str(member.server_id)
            # A cancelled call delivers the load report only; the answer after it
            # delivers the latency.
            simulation.routers[0].record_call_start(member.server_id)
            simulation.routers[0].record_call_end(
                member.server_id, 0.0, CallResult.CANCELLED, simulation.load[name]
            )
            simulation.clock.advance_ms(simulation.latency_ms[name])
            simulation.routers[0].record_call_end(
                member.server_id,
                simulation.latency_ms[name],
                CallResult.ANSWERED,
                simulation.load[name],
            )
    simulation.run(count)


@then('zone "{most}" gets over {percent:d}% and zone "{unused}" gets none')
def step_zones_used(context: Any, most: str, percent: int, unused: str) -> None:
    zones = [name[0] for _, _, name in context.simulation.calls]
    assert zones.count(most) > len(zones) * percent / 100, Counter(zones)
    assert zones.count(unused) == 0, Counter(zones)


@given(
    'a "{router}" router with a backend server in each of 3 zones, all answering in '
    "{latency:d} ms"
)
def step_one_per_zone(context: Any, router: str, latency: int) -> None:
    members = [_member(zone, zone) for zone in "abc"]
    context.simulation = simulation = RoutingSimulation(router, 1, members, 21)
    for _ in range(20):
        for member in members:
            simulation.routers[0].record_call_start(member.server_id)
        simulation.clock.advance_ms(latency)
        for member in members:
            answered = CallResult.ANSWERED
            simulation.routers[0].record_call_end(
                member.server_id, latency, answered, None
            )


@when("one call to the local zone has been in flight for {age:d} ms")
def step_overdue_call(context: Any, age: int) -> None:
    context.simulation.routers[0].record_call_start(ServerId("a"))
    context.simulation.clock.advance_ms(age)


@then("{share} of the next calls go to the local zone")
def step_local_zone(context: Any, share: str) -> None:
    router = context.simulation.routers[0]
    picks = [router.pick(SERVICE, frozenset()).server_id for _ in range(100)]
    own = picks.count(ServerId("a"))
    found = {0: "none", len(picks): "all"}.get(own, "some")
    assert found == share, Counter(picks)


@when('backend server "{name}" restarts with a new incarnation')
def step_restart(context: Any, name: str) -> None:
    members = context.simulation.members
    context.simulation.update(
        [_member(name, incarnation=2) if m.server_id == name else m for m in members]
    )


@then('backend server "{name}" got {bound} {percent:d}% of its fair share')
def step_fair_share(context: Any, name: str, bound: str, percent: int) -> None:
    shares = context.simulation.fair_shares()
    for watched in shares if name == "any" else [name]:
        share = shares[watched] * 100
        assert share > percent if bound == "over" else share <= percent, shares


@when(
    '"s0" is starting, "s1" is draining, "s2" refuses as draining and "s3" is excluded'
)
def step_not_ready(context: Any) -> None:
    simulation = context.simulation
    states = {"s0": ServerState.STARTING, "s1": ServerState.DRAINING}
    names = [str(m.server_id) for m in simulation.members]
    simulation.update(
        [_member(n, state=states.get(n, ServerState.READY)) for n in names]
    )
    refusal = CallResult.REFUSED_DRAINING
    simulation.routers[0].record_call_end(ServerId("s2"), 1.0, refusal, None)
    context.excluded = frozenset({ServerId("s3")})


@then('{count:d} picks return only "s4" and "s5", and none when both are excluded')
def step_only(context: Any, count: int) -> None:
    router = context.simulation.routers[0]
    picked = {router.pick(SERVICE, context.excluded).server_id for _ in range(count)}
    assert picked and picked <= {"s4", "s5"}, picked
    excluded = context.excluded | {ServerId("s4"), ServerId("s5")}
    assert router.pick(SERVICE, excluded) is None


@when('backend server "{name}" refuses {count:d} calls for overload')
def step_refuses(context: Any, name: str, count: int) -> None:
    for _ in range(count):
        context.simulation.routers[0].record_call_start(ServerId(name))
        refusal = CallResult.REFUSED_OVERLOAD
        context.simulation.routers[0].record_call_end(
            ServerId(name), 0.0, refusal, None
        )


@when('backend server "{name}" reports a long queue that is {age:d} s old')
def step_load(context: Any, name: str, age: int) -> None:
    context.simulation.load[name] = ReportedLoad(40, 40, 40, age * 1000.0)
    context.simulation.run(200)


@when("the members are replaced {count:d} times with calls in flight")
def step_replace(context: Any, count: int) -> None:
    for turn in range(count):
        context.simulation.routers[0].record_call_start(
            context.simulation.members[0].server_id
        )
        context.simulation.update([_member(f"t{turn}-{n}") for n in range(6)])


@then(
    "the router tracks {count:d} backend servers, and none once the service has no "
    "members"
)
def step_tracked(context: Any, count: int) -> None:
    router = context.simulation.routers[0]
    assert router.tracked_servers() == count, router.tracked_servers()
    router.update_members(SERVICE, [])
    assert router.tracked_servers() == 0
    assert router.pick(SERVICE, frozenset()) is None
