"""Steps for backpressure."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.ids import ServiceName
from marjoramstep_policy.pressure import BACKPRESSURE_VARIANTS
from marjoramstep_policy.pressure import ReportedBackpressure


@given('backpressure "{variant}"')
def step_map(context: Any, variant: str) -> None:
    context.clock = ManualClock(start_ms=10_000)
    context.backpressure = BACKPRESSURE_VARIANTS.get(variant)(context.clock)


@when('service "{service}" reports admitted weight {weight:d} with age {age:d} ms')
def step_report(context: Any, service: str, weight: int, age: int) -> None:
    context.backpressure.record(ServiceName(service), weight, float(age))


@when('backend server "{server}" of "{service}" reports admitted weight {weight:d}')
def step_report_of(context: Any, server: str, service: str, weight: int) -> None:
    context.backpressure.record(ServiceName(service), weight, 0.0, server)


@when("{step:d} ms pass after the reports")
def step_pass(context: Any, step: int) -> None:
    context.clock.advance_ms(step)


@when("its reports circulate between two nodes every {step:d} ms for {total:d} ms")
def step_circulate(context: Any, step: int, total: int) -> None:
    maps = [context.backpressure, ReportedBackpressure(context.clock)]
    for turn in range(total // step):
        sender, receiver = maps[turn % 2], maps[1 - turn % 2]
        for report in sender.reports():
            receiver.record(report.service, report.admitted_weight, report.age_ms)
        context.clock.advance_ms(step)


@when("{number:d} services report admitted weight {weight:d}")
def step_many(context: Any, number: int, weight: int) -> None:
    for index in range(number):
        context.backpressure.record(ServiceName(f"s{index}"), weight, 0.0)


@then('of {roots:d} roots of weight {weight:d} to "{service}", {count:d} are admitted')
def step_admitted_roots(
    context: Any, roots: int, weight: int, service: str, count: int
) -> None:
    services = [ServiceName(service)]
    admitted = sum(context.backpressure.admits(services, weight) for _ in range(roots))
    assert admitted == count, admitted


@then("{number:d} reports are sent upstream")
def step_bounded(context: Any, number: int) -> None:
    assert len(context.backpressure.reports()) == number
