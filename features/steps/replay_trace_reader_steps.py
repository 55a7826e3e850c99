"""Steps for the trace reader."""

from __future__ import annotations

import re
import tempfile
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_replay.trace import read_trace
from marjoramstep_replay.trace import write_trace
from marjoramstep_replay.trace.reader import InvalidTraceError


GOOD_LINE = (
    '{"at_ms": 1.5, "caller": "c", "service": "s", "method": "POST", "path": "/a?b=1",'
    ' "headers": {"X": "y"}, "body_bytes": 9, "key": "k", "retries": 2, "group": "g"}'
)


@given("an empty trace file")
def step_empty(context: Any) -> None:
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.trace_path = Path(folder) / "trace.jsonl"
    context.trace_path.write_text("")


@given("a trace file with a good request on line 1")
def step_good(context: Any) -> None:
    step_empty(context)
    context.trace_path.write_text(GOOD_LINE + "\n")


@given("the trace file line {number:d} {line}")
def step_line(context: Any, number: int, line: str) -> None:
    with context.trace_path.open("a") as file:
        file.write(line + "\n")


@when("the trace file is read")
def step_read(context: Any) -> None:
    context.trace_problems = []
    try:
        context.trace = read_trace(context.trace_path)
    except InvalidTraceError as error:
        context.trace_problems = error.problems


@then("the trace reader names exactly the lines {numbers}")
def step_named(context: Any, numbers: str) -> None:
    found = [re.match(r"line (\d+):", text) for text in context.trace_problems]
    assert all(found), context.trace_problems
    assert [m.group(1) for m in found if m] == numbers.split(", "), found


@then('the trace reader reports "{problem}"')
def step_problem(context: Any, problem: str) -> None:
    assert context.trace_problems == [problem], context.trace_problems


@then("the trace written and read again is equal")
def step_equal(context: Any) -> None:
    trace = context.trace
    assert len(trace.requests) == 1 and len(trace.faults) == 1, trace
    write_trace(context.trace_path, [*trace.requests, *trace.faults])
    assert read_trace(context.trace_path) == trace
