"""Steps for the membership policy."""

from __future__ import annotations

import re
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_consensus.membership import Membership
from marjoramstep_consensus.voter_policy import Admit
from marjoramstep_consensus.voter_policy import Remove
from marjoramstep_consensus.voter_policy import next_membership_change
from marjoramstep_core.ids import ReplicaId


def _change(context: Any) -> Any:
    membership = Membership(context.voters, context.learners)
    return next_membership_change(
        membership,
        context.pending_joins,
        context.silent_ms,
        context.learners.keys() - context.caught_up,
    )


@given("voters {names}")
def step_voters(context: Any, names: str) -> None:
    voters = re.findall(r"\b[a-z]\b", names.replace(" and ", ", "))
    context.voters = {ReplicaId(name): f"{name}:1" for name in voters}
    context.learners, context.pending_joins, context.silent_ms = {}, {}, {}
    context.caught_up = set()


@given('learner "{name}" has been unreachable for {silent_ms:d} ms')
def step_learner(context: Any, name: str, silent_ms: int) -> None:
    context.learners[name] = f"{name}:1"
    context.silent_ms[name] = float(silent_ms)


@given('learner "{name}" holds the log')
def step_holds_log(context: Any, name: str) -> None:
    context.learners[name] = f"{name}:1"
    context.caught_up.add(name)


@given('another learner "{name}" at "{address}" holds the log')
def step_another_learner(context: Any, name: str, address: str) -> None:
    context.learners[name] = address
    context.caught_up.add(name)


@given('member "{name}" has been unreachable for {silent_ms:d} ms')
@given('voter "{name}" has been unreachable for {silent_ms:d} ms')
def step_unreachable(context: Any, name: str, silent_ms: int) -> None:
    context.silent_ms[name] = float(silent_ms)


@given('another voter "{name}" at "{address}"')
def step_another(context: Any, name: str, address: str) -> None:
    context.voters[name] = address


@when('replica "{name}" at "{address}" asks to join')
def step_join(context: Any, name: str, address: str) -> None:
    context.pending_joins[name] = address


@then('the next change admits "{name}"')
def step_admits(context: Any, name: str) -> None:
    assert _change(context) == Admit(ReplicaId(name), context.pending_joins[name])


@then('the next change removes "{name}"')
def step_removes(context: Any, name: str) -> None:
    assert _change(context) == Remove(ReplicaId(name)), _change(context)


@then("no change is made")
def step_none(context: Any) -> None:
    assert _change(context) is None, _change(context)
