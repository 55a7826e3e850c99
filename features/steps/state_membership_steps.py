"""Steps for the membership registry."""

from __future__ import annotations

import random
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import NodeId
from marjoramstep_core.ids import ReplicaId
from marjoramstep_core.ids import ServiceName
from marjoramstep_policy.membership import choose_replicas
from marjoramstep_state import MembershipRegistry
from marjoramstep_wire.messages import Member
from marjoramstep_wire.messages import RegisterServer
from marjoramstep_wire.messages import WatchService


LEASE_MS = 3_000.0


def _message(
    server: str, service: str, state: str, order: tuple[int, int], lease_ms: float
) -> RegisterServer:
    member = Member(
        server_id=server,
        node_id=f"node-{server}",
        service_name=service,
        address="127.0.0.1:80",
        zone="z1",
        slots=4,
        connections=8,
        state=state,
        incarnation=order[0],
        sequence=order[1],
    )
    return RegisterServer(member=member, lease_ms=lease_ms)


def _announce(context: Any, server: str, service: str, state: str, order: str) -> Any:
    incarnation, sequence = map(int, order.split("."))
    message = _message(server, service, state, (incarnation, sequence), LEASE_MS)
    return context.registry.register(message)


def _text(members: Any) -> str:
    return ", ".join(f"{m.server_id}:{m.state}" for m in members) or "nobody"


def _pushed(pushes: Any) -> list[tuple[str, str]]:
    assert not any(push.update.full for push in pushes)
    return [(push.watcher, _text(push.update.members)) for push in pushes]


@given("an empty membership registry")
def step_empty(context: Any) -> None:
    context.clock = ManualClock()
    context.registry = MembershipRegistry(context.clock)


@when('server "{server}" of service "{service}" announces "{state}" as {order}')
def step_announce(
    context: Any, server: str, service: str, state: str, order: str
) -> None:
    _announce(context, server, service, state, order)


@when('server "{server}" of service "{service}" deregisters as {order}')
def step_deregister(context: Any, server: str, service: str, order: str) -> None:
    incarnation, sequence = map(int, order.split("."))
    message = _message(server, service, "gone", (incarnation, sequence), LEASE_MS)
    message.member.has_left = True
    context.registry.register(message)


@when(
    '{ms:d} ms pass and server "{server}" of service "{service}" announces "{state}" '
    "as {order}"
)
def step_later(
    context: Any, ms: int, server: str, service: str, state: str, order: str
) -> None:
    context.clock.advance_ms(ms)
    _announce(context, server, service, state, order)


@when(
    'server "{server}" announces itself {count:d} times with leases from {most:d} down '
    "to {least:d} ms"
)
def step_leases(context: Any, server: str, count: int, most: int, least: int) -> None:
    for number in range(count):
        lease_ms = float(most if number % 2 else least)
        context.clock.advance_ms(900)
        context.registry.tick()
        message = _message(server, "pay", "ready", (1, number + 1), lease_ms)
        context.registry.register(message)


@then("the number of scheduled checks of the membership registry is at most {count:d}")
def step_scheduled(context: Any, count: int) -> None:
    assert 0 < context.registry.scheduled_check_count <= count


@when('watcher "{watcher}" is removed from the registry')
def step_unwatch(context: Any, watcher: str) -> None:
    context.registry.unwatch(NodeId(watcher))


@then('watching service "{service}" as "{watcher}" gives the full list {members}')
def step_watch(context: Any, service: str, watcher: str, members: str) -> None:
    message = WatchService(service_name=service)
    update = context.registry.watch(NodeId(watcher), message)
    assert update.full and _text(update.members) == members, update


HEARTBEAT = 'heartbeat {order} of server "{server}" of service "{service}" as "{state}"'


@then(HEARTBEAT + " pushes nothing")
def step_no_push(
    context: Any, order: str, server: str, service: str, state: str
) -> None:
    assert _announce(context, server, service, state, order) == []


@then(HEARTBEAT + " is ignored")
def step_ignored(
    context: Any, order: str, server: str, service: str, state: str
) -> None:
    before = _text(context.registry.members(ServiceName(service)))
    assert _announce(context, server, service, state, order) == []
    assert _text(context.registry.members(ServiceName(service))) == before


@then(HEARTBEAT + " pushes {members} to {watcher}")
def step_push(
    context: Any,
    order: str,
    server: str,
    service: str,
    state: str,
    members: str,
    watcher: str,
) -> None:
    pushes = _pushed(_announce(context, server, service, state, order))
    assert pushes == [(watcher, members)], pushes


@then("a membership tick after {step_ms:d} ms pushes nothing")
def step_quiet_tick(context: Any, step_ms: int) -> None:
    context.clock.advance_ms(step_ms)
    assert context.registry.tick() == []


@then("a membership tick after {step_ms:d} ms pushes {members} to {watcher}")
def step_tick(context: Any, step_ms: int, members: str, watcher: str) -> None:
    context.clock.advance_ms(step_ms)
    pushes = _pushed(context.registry.tick())
    assert pushes == [(watcher, members)], pushes


@then('the members of service "{service}" are {members}')
def step_members(context: Any, service: str, members: str) -> None:
    found = _text(context.registry.members(ServiceName(service)))
    assert found == members, found


@then(
    'announcing server "{server}" with state "{state}" and lease {lease} ms is refused'
)
def step_invalid(context: Any, server: str, state: str, lease: str) -> None:
    message = _message(server.strip(), "pay", state, (1, 1), float(lease))
    try:
        context.registry.register(message)
    except InvalidInputError:
        assert context.registry.services() == []
        return
    raise AssertionError("the announcement was accepted")


@then('announcing server "" with state "{state}" and lease {lease} ms is refused')
def step_invalid_id(context: Any, state: str, lease: str) -> None:
    step_invalid(context, "", state, lease)


@when("{count:d} random membership events happen with seed {seed:d}")
def step_random(context: Any, count: int, seed: int) -> None:
    rng = random.Random(seed)
    registry = context.registry
    context.views = {}
    for service in ("pay", "audit"):
        update = registry.watch(NodeId("n1"), WatchService(service_name=service))
        context.views[service] = {m.server_id: m for m in update.members}
    for number in range(count):
        context.clock.advance_ms(rng.randrange(300))
        pushes = registry.tick()
        state = rng.choice(["ready"] * 5 + ["starting", "draining", "gone"])
        # A late message has a lower sequence number.
        sequence = max(1, number - rng.choice([0, 0, 0, 40]))
        message = _message(
            f"s{rng.randrange(12)}",
            rng.choice(["pay"] * 9 + ["audit"]),
            state,
            (1, sequence),
            rng.choice([1_000.0, LEASE_MS, 9_000.0]),
        )
        pushes += registry.register(message)
        for push in pushes:
            for member in push.update.members:
                view = context.views[push.update.service_name]
                view.pop(member.server_id, None)
                if member.state != "gone":
                    view[member.server_id] = member


@then("every view of a watcher equals the members of its service")
def step_views(context: Any) -> None:
    for service, view in context.views.items():
        expected = [view[server_id] for server_id in sorted(view)]
        members = context.registry.members(ServiceName(service))
        assert _text(members) == _text(expected), (service, members, expected)
    assert any(context.views.values())


@then("the membership registry is empty after all leases expired")
def step_empty_after_leases(context: Any) -> None:
    for _ in range(3):
        context.clock.advance_ms(130_000)
        context.registry.tick()
    assert context.registry.services() == []
    assert context.registry.next_expiry_ms() is None


REPLICAS = [ReplicaId(f"replica-{number}") for number in range(5)]


@then(
    "{count:d} services have {chosen:d} of 5 replicas each, with {low:d} to {high:d} "
    "services on each"
)
def step_spread(context: Any, count: int, chosen: int, low: int, high: int) -> None:
    services = [ServiceName(f"service-{number}") for number in range(count)]
    context.placed = {s: choose_replicas(s, REPLICAS) for s in services}
    flat = [replica for placed in context.placed.values() for replica in placed]
    assert all(len(set(placed)) == chosen for placed in context.placed.values())
    loads = [flat.count(replica) for replica in REPLICAS]
    assert all(low <= load <= high for load in loads), loads


@then("only the services of a lost replica get a new one")
def step_lost(context: Any) -> None:
    lost = REPLICAS[2]
    left = [replica for replica in reversed(REPLICAS) if replica != lost]
    for service, before in context.placed.items():
        after = choose_replicas(service, left)
        kept = [replica for replica in before if replica != lost]
        assert after[: len(kept)] == kept, (service, before, after)
        assert len(after) == 2
