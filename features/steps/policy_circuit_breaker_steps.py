"""Steps for the circuit breaker in front of a backend server."""

from __future__ import annotations

import random
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.clock import ManualClock
from marjoramstep_policy.admission import CIRCUIT_BREAKERS


MS_PER_SECOND = 1_000.0


@given('a "{name}" circuit breaker in front of a backend server')
def step_breaker(context: Any, name: str) -> None:
    context.clock = ManualClock(1_000.0)
    context.rng = random.Random(7)
    context.breaker = CIRCUIT_BREAKERS.get(name)(context.clock, context.rng)
    context.shed = 0


@when(
    "{rate:d} calls a second arrive for {seconds:d} s while it sheds {percent:d} "
    "percent of them"
)
def step_calls(context: Any, rate: int, seconds: int, percent: int) -> None:
    context.sent = 0
    context.arrived = rate * seconds
    for _ in range(context.arrived):
        context.clock.advance_ms(MS_PER_SECOND / rate)
        if not context.breaker.admits():
            continue
        context.sent += 1
        if context.rng.random() * 100.0 < percent:
            context.shed += 1
            context.breaker.record_refusal()
        else:
            context.breaker.record_acceptance()


@when("the circuit breaker is reset")
def step_reset(context: Any) -> None:
    context.breaker.reset()


@then("at most {count:d} calls were shed by the backend server")
def step_at_most(context: Any, count: int) -> None:
    assert context.shed <= count, context.shed


@then("at least {count:d} calls were shed by the backend server")
def step_at_least(context: Any, count: int) -> None:
    assert context.shed >= count, context.shed


@then("all calls of the last step were sent")
def step_all(context: Any) -> None:
    assert context.sent == context.arrived, (context.sent, context.arrived)


@then("{percent:d} percent of the calls or more were sent")
def step_most(context: Any, percent: int) -> None:
    assert context.sent * 100 >= percent * context.arrived, context.sent
