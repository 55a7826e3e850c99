"""Steps for the way of one request through logs."""

from __future__ import annotations

import json
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_command.trail import Trail


REFUSED = {
    "message_type": "call refused",
    "process_id": "node-b",
    "timestamp": 2.0,
    "request_id": "a1",
    "reason": "overload",
    "in_flight": 4,
}
ENDED = {
    "message_type": "request ended",
    "process_id": "node-a",
    "timestamp": 3.0,
    "request_id": "a1",
    "reason": "overload",
    "outcome": "not-run",
}
OTHER = {**ENDED, "request_id": "b2", "timestamp": 1.0}
SUMMARY = {
    "message_type": "lines suppressed",
    "process_id": "node-a",
    "timestamp": 4.0,
    "suppressed_event": "request ended",
    "some_request_ids": ["a1"],
}


def _lines(*documents: Any) -> list[bytes]:
    return [json.dumps(document).encode() + b"\n" for document in documents]


@given('the logs of an entry node and a serving node about request "a1"')
def step_logs(context: Any) -> None:
    context.files = [_lines(ENDED, OTHER), _lines(REFUSED)]


@given('a log that is cut in the middle of a line about "a1"')
def step_cut(context: Any) -> None:
    context.files.append([b'{"request_id":"a1","message_ty'])


@given('a log of a serving node alone about request "a1"')
def step_serving(context: Any) -> None:
    context.files = [_lines(REFUSED)]


@given('a log with a summary that names request "a1"')
def step_summary(context: Any) -> None:
    context.files = [_lines(SUMMARY)]


@when('request "{request_id}" is explained')
def step_explain(context: Any, request_id: str) -> None:
    context.trail = Trail(request_id)
    for lines in context.files:
        context.trail.read(lines)


@then("its lines are shown in time order")
def step_order(context: Any) -> None:
    events = [line.event for line in context.trail.lines]
    assert events == ["call refused", "request ended"], events


@then("the cause says that the slots and queue were taken")
def step_overload(context: Any) -> None:
    assert "slots and queue were taken" in context.trail.cause()


@then("{count:d} line is reported as unreadable")
def step_unreadable(context: Any, count: int) -> None:
    assert context.trail.unreadable == count, context.trail.unreadable


@then('the cause names "{process_id}" as the end of the trail')
def step_end(context: Any, process_id: str) -> None:
    assert f"ends at {process_id}" in context.trail.cause(), context.trail.cause()


@then("the cause says that its lines were left out")
def step_left_out(context: Any) -> None:
    assert "left out" in context.trail.cause(), context.trail.cause()
