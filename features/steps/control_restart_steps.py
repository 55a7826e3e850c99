"""Steps for the restart of all VMs."""

from __future__ import annotations

import subprocess
import sys
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_daemon.control.reconnect_backoff import ReconnectBackoff


ATTEMPTS = 40
IMPORT_CONTROL = (
    "import sys, marjoramstep_daemon.control.control_process;"
    "print('aiohttp' in sys.modules)"
)


@given("an outage of a replica that begins at 0 s")
def step_outage(context: Any) -> None:
    context.backoff = ReconnectBackoff()


@when("each attempt to connect times out")
def step_time_out(context: Any) -> None:
    context.starts_seconds = _attempt_starts(context.backoff)


@when("the connection is opened and lost again")
def step_reopened(context: Any) -> None:
    context.backoff.reset()
    context.starts_seconds = _attempt_starts(context.backoff)


def _attempt_starts(backoff: ReconnectBackoff) -> list[float]:
    now_seconds = 0.0
    starts_seconds = []
    for _ in range(ATTEMPTS):
        starts_seconds.append(now_seconds)
        now_seconds += backoff.timeout_seconds
        now_seconds += backoff.next_delay_seconds()
    return starts_seconds


def _count_within(context: Any, limit_seconds: float) -> int:
    return sum(start < limit_seconds for start in context.starts_seconds)


@then("at least {count:d} attempts begin within {limit:g} s")
def step_at_least(context: Any, count: int, limit: float) -> None:
    assert _count_within(context, limit) >= count, context.starts_seconds


@then("at most {count:d} attempts begin within {limit:g} s")
def step_at_most(context: Any, count: int, limit: float) -> None:
    assert _count_within(context, limit) <= count, context.starts_seconds


@when("the module of the role control is imported")
def step_import(context: Any) -> None:
    context.output = subprocess.run(
        [sys.executable, "-c", IMPORT_CONTROL],
        check=True,
        capture_output=True,
        text=True,
    ).stdout


@then("the HTTP library is not loaded")
def step_not_loaded(context: Any) -> None:
    assert context.output.strip() == "False", context.output
