"""Steps for the verdict on a replay."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

from behave import given
from behave import then
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.states import Outcome
from marjoramstep_replay.backend_server.run_log import Run
from marjoramstep_replay.outcomes import RequestResult
from marjoramstep_replay.outcomes import RunResult
from marjoramstep_replay.outcomes import StatedOutcomes
from marjoramstep_replay.outcomes import judge
from marjoramstep_replay.outcomes.result import Attempt


DONE = Attempt(Outcome.DONE, "", 200)
SHED = Attempt(Outcome.NOT_RUN, "overload", 503)
LOST = Attempt(Outcome.UNKNOWN, "", 0)
ODD_REQUESTS: dict[str, dict[str, Any]] = {
    "shed": {"attempts": (SHED,), "is_answer_complete": None},
    "shed but run": {"attempts": (SHED,), "is_answer_complete": None},
    "unknown": {"attempts": (LOST,), "is_answer_complete": None},
    "late": {"latency_ms": 2000.0},
    "slow": {"latency_ms": 900.0},
    "mixed-up": {"is_answer_complete": False},
}


def _good(index: int) -> RequestResult:
    return RequestResult(
        group="g",
        service="s",
        key=f"1-{index:016}",
        weight=100 if index == 9 else 10,
        repeatable=False,
        retries=1,
        at_ms=4000.0 + index,
        latency_ms=10.0,
        deadline_ms=1000.0,
        attempts=(DONE,),
        is_answer_complete=True,
    )


def _result(requests: list[RequestResult], keys: list[str]) -> RunResult:
    runs = [
        Run("s-1", key, "GET", "/", 0.0, 1.0, "done", "note" not in key) for key in keys
    ]
    return RunResult(tuple(requests), tuple(runs), 3000.0, 6000.0)


@given("an observed run with 9 good requests and 1 {odd} request")
def step_observed(context: Any, odd: str) -> None:
    requests = [_good(index) for index in range(10)]
    context.baseline_result = _result(list(requests), [])
    requests[9] = replace(requests[9], **ODD_REQUESTS.get(odd, {}))
    key = requests[9].key
    keys = [request.key for request in requests[:9]]
    runs_of_odd = {
        "shed": [],
        "twice run": [key, key],
        "further twice": [key, f"{key}_0_note", f"{key}_0_note"],
        "thrice run further down": [key, f"{key}_0", f"{key}_0", f"{key}_0"],
    }
    context.observed = _result(requests, keys + runs_of_odd.get(odd, [key]))


@given("its baseline refused {number:d} of the requests")
def step_baseline(context: Any, number: int) -> None:
    requests = list(context.baseline_result.requests)
    refused = [replace(r, **ODD_REQUESTS["shed"]) for r in requests[:number]]
    context.baseline_result = _result(refused + requests[number:], [])


def _judge(context: Any, check: str) -> bool:
    outcomes = StatedOutcomes.from_json({"checks": [json.loads(check)]})
    (result,) = judge(outcomes, [context.observed], [context.baseline_result])
    context.finding = result.findings
    return result.passed


@then("the stated outcome {check} is met")
def step_met(context: Any, check: str) -> None:
    assert _judge(context, check), context.finding


@then("the stated outcome {check} is not met")
def step_not_met(context: Any, check: str) -> None:
    assert not _judge(context, check), context.finding


@then("the stated outcome {check} is refused")
def step_refused(context: Any, check: str) -> None:
    try:
        StatedOutcomes.from_json({"checks": [json.loads(check)]})
    except InvalidInputError:
        return
    raise AssertionError("the stated outcome was accepted")
