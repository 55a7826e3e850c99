"""Steps for the results of calls."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when
from marjoramstep_core.states import Reason
from marjoramstep_daemon.callers.call_result import call_result
from marjoramstep_daemon.calls import Failed
from marjoramstep_daemon.calls import Refused


@when("a call ends with a failure {reason}")
def step_failure(context: Any, reason: str) -> None:
    context.result = call_result(Failed(Reason(reason), ""))


@when("a call ends with a refusal {reason}")
def step_refusal(context: Any, reason: str) -> None:
    context.result = call_result(Refused(Reason(reason), ""))


@then("the router counts it as {result}")
def step_result(context: Any, result: str) -> None:
    assert context.result.value == result, context.result
