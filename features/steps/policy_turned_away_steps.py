"""Steps for the priority of retries by weight."""

from __future__ import annotations

import random
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.ids import ServiceName
from marjoramstep_policy.retries import SERVICE_RETRY_BUDGETS
from marjoramstep_policy.retries import RefusedCall


SERVICE = ServiceName("progress")
HEAVY = 900
LIGHT = 700
RETRIES_PER_CALL = 3
RETRIES_PER_ROOT = 7
MS_PER_SECOND = 1_000.0


@given(
    'a "{budget}" retry budget and roots with {calls:d} calls in a row to one service'
)
def step_budget(context: Any, budget: str, calls: int) -> None:
    context.clock = ManualClock(1_000.0)
    context.rng = random.Random(5)
    context.budget = SERVICE_RETRY_BUDGETS.get(budget)(context.clock)
    context.calls_per_root = calls
    context.knows_weights = True
    context.first_attempts = 0
    context.retries = 0


@given("the budget does not know the weights and progress of roots")
def step_unknown_weights(context: Any) -> None:
    context.knows_weights = False


def _refused_call(context: Any, weight: int, done: int) -> RefusedCall:
    return (
        RefusedCall(weight, done > 0)
        if context.knows_weights
        else RefusedCall(HEAVY, True)
    )


def _call(context: Any, weight: int, done: int, tokens: int) -> tuple[bool, int]:
    """Make one call; return whether it succeeded and the remaining retry tokens."""
    context.budget.record_first_attempt(SERVICE, weight)
    context.first_attempts += 1
    for _ in range(RETRIES_PER_CALL):
        if context.rng.random() < 0.5:
            return True, tokens
        refused_call = _refused_call(context, weight, done)
        if not tokens or not context.budget.try_spend_after_refusal(
            SERVICE, refused_call
        ):
            return False, tokens
        tokens -= 1
        context.retries += 1
    return context.rng.random() < 0.5, tokens


def _completes(context: Any, weight: int) -> bool:
    tokens = RETRIES_PER_ROOT
    for done in range(context.calls_per_root):
        ran, tokens = _call(context, weight, done, tokens)
        if not ran:
            return False
    return True


@when(
    "for {seconds:d} s {heavy:d} heavy and {light:d} light roots a second have half of "
    "their calls shed"
)
def step_roots(context: Any, seconds: int, heavy: int, light: int) -> None:
    weights = [HEAVY] * heavy + [LIGHT] * light
    context.heavy_roots = heavy * seconds
    context.heavy_completed = 0
    for _ in range(seconds):
        context.rng.shuffle(weights)
        for weight in weights:
            context.clock.advance_ms(MS_PER_SECOND / len(weights))
            completed = _completes(context, weight)
            context.heavy_completed += completed and weight == HEAVY


@then("more than {percent:d} percent of the heavy roots complete")
def step_more(context: Any, percent: int) -> None:
    found = 100.0 * context.heavy_completed / context.heavy_roots
    assert found > percent, found


@then("less than {percent:d} percent of the heavy roots complete")
def step_less(context: Any, percent: int) -> None:
    found = 100.0 * context.heavy_completed / context.heavy_roots
    assert found < percent, found


@then("the retries are {verdict} than {percent:d} percent of the calls plus {slack:d}")
def step_bound(context: Any, verdict: str, percent: int, slack: int) -> None:
    is_within = context.retries <= context.first_attempts * percent / 100 + slack
    assert is_within == (verdict == "no more"), (
        context.retries,
        context.first_attempts,
    )
