"""Steps for a node's view of the members of a service."""

from __future__ import annotations

from random import Random
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import ReplicaId
from marjoramstep_core.ids import ServiceName
from marjoramstep_policy.membership import MembershipView
from marjoramstep_wire.messages import Member
from marjoramstep_wire.messages import MemberUpdate


SERVICE = ServiceName("passages")


def _member(server_id: str, **fields: Any) -> Member:
    values = {
        "server_id": server_id,
        "node_id": f"node-{server_id}",
        "service_name": SERVICE,
        "address": "127.0.0.1:1",
        "zone": "a",
        "slots": 25,
        "connections": 250,
        "state": "ready",
        "incarnation": 1,
        "sequence": 1,
    }
    return Member(**{**values, **fields})


def _send(context: Any, source: str, full: bool, *members: Member) -> None:
    update = MemberUpdate(service_name=SERVICE, full=full, members=list(members))
    context.changed = context.view.apply(update, ReplicaId(source))


def _visible(context: Any) -> dict[str, tuple[str, int]]:
    members = context.view.members(SERVICE)
    return {m.server_id: (m.state.value, m.incarnation) for m in members}


@given(
    "a history of {changes:d} changes, restarts and ends for each of {count:d} members,"
    " seed {seed:d}"
)
def step_history(context: Any, changes: int, count: int, seed: int) -> None:
    context.rng = rng = Random(seed)
    context.history, context.last = [], {}
    for number in range(count):
        name, incarnation = f"m{number}", 1
        for sequence in range(changes):
            incarnation += rng.random() < 0.2
            state = rng.choice(["starting", "ready", "ready", "draining", "gone"])
            context.last[name] = (state, incarnation)
            fields = {"state": state, "incarnation": incarnation, "sequence": sequence}
            context.history.append(_member(name, **fields))


@when("both registry replicas send the whole history twice, in random order")
def step_send_history(context: Any) -> None:
    context.view, context.late_count = MembershipView(), 0
    deliveries = [(s, m) for s in ("r1", "r2") for m in context.history * 2]
    context.rng.shuffle(deliveries)
    newest: dict[str, tuple[int, int]] = {}
    for source, member in deliveries:
        version = (member.incarnation, member.sequence)
        context.late_count += version < newest.get(member.server_id, version)
        newest[member.server_id] = max(version, newest.get(member.server_id, version))
        before = _visible(context)
        _send(context, source, False, member)
        assert bool(context.changed) == (before != _visible(context))


@then("the view holds exactly the last state of each member")
def step_last_state(context: Any) -> None:
    expected = {name: last for name, last in context.last.items() if last[0] != "gone"}
    assert _visible(context) == expected, (_visible(context), expected)


@then("stale updates arrived after newer ones")
def step_late_updates(context: Any) -> None:
    assert context.late_count > 100, context.late_count


@given('a view that knows members "m1" and "m2" from sources "r1" and "r2"')
def step_view(context: Any) -> None:
    context.view = MembershipView()
    for source in ("r1", "r2"):
        _send(context, source, True, _member("m1"), _member("m2"))


@when('"{source}" restarts and sends a full update without members')
def step_empty_full(context: Any, source: str) -> None:
    _send(context, source, True)


@when('"{source}" sends a full update with "{name}" at sequence {sequence:d}')
def step_full(context: Any, source: str, name: str, sequence: int) -> None:
    _send(context, source, True, _member(name, sequence=sequence))


@when('"{source}" sends an incremental update with "{name}" at sequence {sequence:d}')
def step_incremental(context: Any, source: str, name: str, sequence: int) -> None:
    _send(context, source, False, _member(name, sequence=sequence))


@when('"{source}" reports "{name}" as gone at sequence {sequence:d}')
def step_gone(context: Any, source: str, name: str, sequence: int) -> None:
    _send(context, source, False, _member(name, sequence=sequence, state="gone"))


@when('the sources are set to "{sources}"')
def step_sources(context: Any, sources: str) -> None:
    context.view.set_sources(SERVICE, map(ReplicaId, sources.split()))


@then('the view holds members "{names}" and reported {change}')
def step_members(context: Any, names: str, change: str) -> None:
    assert sorted(_visible(context)) == names.split(), _visible(context)
    assert bool(context.changed) == (change == "a change"), context.changed


@then('the view holds members "" and reported a change')
def step_no_members(context: Any) -> None:
    step_members(context, "", "a change")


@then(
    "an update with a new member and an invalid one is rejected as a whole, "
    "for each fault"
)
def step_faulty(context: Any) -> None:
    before = _visible(context)
    faults = [{"state": "asleep"}, {"service_name": "x"}, {"slots": 0}]
    invalid = [_member("m4", **fault) for fault in faults] + [_member("")]
    for member in invalid:
        try:
            _send(context, "r1", True, _member("m3"), member)
        except InvalidInputError as error:
            assert error.peer == "r1"
        else:
            raise AssertionError(f"accepted {member}")
        assert _visible(context) == before
