"""Steps for the replicas that a node connects to and asks."""

from __future__ import annotations

import re
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.clock import ManualClock
from marjoramstep_daemon.control.replica_directory import ReplicaDirectory
from marjoramstep_daemon.control.table_requests import TableRequests


Address = tuple[str, int]


def _addresses(names: str) -> list[Address]:
    return [(name, 1) for name in re.findall(r"\b[a-h]\b", names)]


@given("a replica directory with the configured replicas {names}")
def step_directory(context: Any, names: str) -> None:
    context.directory = ReplicaDirectory(_addresses(names))
    context.connected = []


@when('replica "{source}" lists the voters {names}')
def step_list(context: Any, source: str, names: str) -> None:
    context.directory.record_list((source, 1), _addresses(names))


@when('replica "{source}" lists no voters')
def step_empty_list(context: Any, source: str) -> None:
    context.directory.record_list((source, 1), [])


@when("the configured replicas change to {names}")
def step_configured(context: Any, names: str) -> None:
    context.directory.set_configured(_addresses(names))


@when("the replicas {names} are connected")
@when("the replica {names} is connected")
def step_connected(context: Any, names: str) -> None:
    context.connected = _addresses(names)


@when("lists of replicas that are not connected expire")
def step_expire(context: Any) -> None:
    context.directory.expire_lists(context.connected)


@then("the wanted replicas are {names}")
def step_wanted(context: Any, names: str) -> None:
    wanted = context.directory.wanted(context.connected)
    assert sorted(wanted) == _addresses(names), wanted


@given("table requests to the replicas {names}")
def step_requests(context: Any, names: str) -> None:
    context.clock = ManualClock()
    context.requests = TableRequests(context.clock)
    context.replicas = _addresses(names)


@when("each of the replicas announces a version and is followed by a choice")
def step_all_announce(context: Any) -> None:
    context.choices = []
    for replica in context.replicas:
        context.requests.record_announcement(replica)
        context.choices.append(context.requests.choose(context.replicas))


@then("the choices were {name} and nothing else")
def step_one_choice(context: Any, name: str) -> None:
    assert context.choices[0] == (name, 1), context.choices
    assert context.choices[1:] == [None] * 4, context.choices


@when('replica "{name}" announces a version')
def step_announce(context: Any, name: str) -> None:
    context.requests.record_announcement((name, 1))


@when('replica "{name}" replies')
def step_reply(context: Any, name: str) -> None:
    context.requests.record_reply((name, 1))


@when("{duration_ms:d} ms pass without a reply")
def step_wait(context: Any, duration_ms: int) -> None:
    context.clock.advance_ms(float(duration_ms))


@then('"{name}" is asked for the table')
def step_asked(context: Any, name: str) -> None:
    assert context.requests.choose(context.replicas) == (name, 1)


@then('a replica other than "{name}" is asked for the table')
def step_other_asked(context: Any, name: str) -> None:
    chosen = context.requests.choose(context.replicas)
    assert chosen is not None
    assert chosen != (name, 1)


@then("no replica is asked for the table")
def step_none_asked(context: Any) -> None:
    assert context.requests.choose(context.replicas) is None
