"""Steps for the throttle of root requests."""

from __future__ import annotations

import random
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.ids import RowName
from marjoramstep_policy.admission.root_throttle import ROOT_THROTTLES


ROW = RowName("tariff")
TICK_MS = 50.0
TICKS_PER_SECOND = 20


@given(
    'a "{name}" throttle for roots with {calls:d} calls each to a service with '
    "{rate:d} calls a second"
)
def step_throttle(context: Any, name: str, calls: int, rate: int) -> None:
    context.clock = ManualClock(1_000.0)
    context.rng = random.Random(7)
    context.throttle = ROOT_THROTTLES.get(name)(context.clock, context.rng)
    context.calls, context.rate = calls, rate
    context.delay_ticks = 0


@given("the outcome of a root is known after {delay_ms:d} ms")
def step_delay(context: Any, delay_ms: int) -> None:
    context.delay_ticks = int(delay_ms / TICK_MS)


@when("roots arrive for {seconds:d} s at {load:g} times the capacity of the service")
def step_roots_arrive(context: Any, seconds: int, load: float) -> None:
    """Send roots; the demand of a tick determines how likely its calls are shed."""
    max_roots_per_tick = context.rate / context.calls / TICKS_PER_SECOND
    due = 0.0
    context.completed = context.started = 0
    running: list[list[bool]] = [[] for _ in range(context.delay_ticks)]
    context.max_completed = max_roots_per_tick * TICKS_PER_SECOND * seconds
    for _ in range(seconds * TICKS_PER_SECOND):
        due += load * max_roots_per_tick
        arrived, due = int(due), due - int(due)
        started = sum(context.throttle.admits(ROW) for _ in range(arrived))
        demand = started * context.calls
        capacity = context.rate / TICKS_PER_SECOND
        served = min(1.0, capacity / demand) if demand else 1.0
        context.started += started
        running.append(
            [
                all(context.rng.random() < served for _ in range(context.calls))
                for _ in range(started)
            ]
        )
        for is_completed in running.pop(0):
            context.completed += is_completed
            context.throttle.record_outcome(ROW, shed_downstream=not is_completed)
        context.clock.advance_ms(TICK_MS)


@when("{count:d} roots end without a shed call")
def step_unshed(context: Any, count: int) -> None:
    for _ in range(count):
        assert context.throttle.admits(ROW)
        context.throttle.record_outcome(ROW, shed_downstream=False)
        context.clock.advance_ms(5.0)


@then("at least {percent:d} percent of the started roots complete")
def step_completed_share(context: Any, percent: int) -> None:
    found = 100.0 * context.completed / context.started
    assert found >= percent, found


@then("the completed requests are {bound} {percent:d} percent of the capacity")
def step_completed(context: Any, bound: str, percent: int) -> None:
    found = 100.0 * context.completed / context.max_completed
    if bound == "at least":
        assert found >= percent, found
    else:
        assert found <= percent, found


@then("the admitted share is 1")
def step_share(context: Any) -> None:
    assert context.throttle.admitted_share(ROW) == 1.0, context.throttle.admitted_share(
        ROW
    )


@when(
    "the roots of a row with 2 a second and of a row with 40 a second are all shed for "
    "3 s"
)
def step_both_shed(context: Any) -> None:
    for number in range(3 * 40):
        context.throttle.record_outcome(RowName("many"), shed_downstream=True)
        if number % 20 == 0:
            context.throttle.record_outcome(RowName("few"), shed_downstream=True)
        context.clock.advance_ms(25.0)


@then("the admitted shares of both rows differ by less than 0.1")
def step_shares(context: Any) -> None:
    shares = [
        context.throttle.admitted_share(RowName(name)) for name in ("few", "many")
    ]
    assert abs(shares[0] - shares[1]) < 0.1, shares
