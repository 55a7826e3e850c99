"""Steps for the timestamps that the leader gives to commands."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.clock import ManualClock
from marjoramstep_daemon.control.log_clock import LogTimeSource


@given("a log time with watermark {watermark:d}")
def step_log_time(context: Any, watermark: int) -> None:
    context.leader_clock = ManualClock(wall_start_ms=watermark)
    context.log_time_source = LogTimeSource(context.leader_clock)
    context.first_ms = context.last_ms = context.log_time_source.next_timestamp_ms(
        watermark, 1
    )
    assert context.first_ms == watermark


@when("the wall clock of the leader steps by {step:d} ms")
def step_wall_clock_steps(context: Any, step: int) -> None:
    context.leader_clock.step_wall_ms(step)


@when("{step:d} ms pass for the leader")
def step_time_passes(context: Any, step: int) -> None:
    context.leader_clock.advance_ms(step)


@then("the log time is {distance:d} ms after the watermark")
def step_after_watermark(context: Any, distance: int) -> None:
    context.last_ms = context.log_time_source.next_timestamp_ms(context.last_ms, 1)
    moved = context.last_ms - context.first_ms
    assert moved == distance, moved
