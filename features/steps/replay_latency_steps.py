"""Steps for the latency tool."""

from __future__ import annotations

import contextlib
import io
import json
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_replay.latency import DIRECT
from marjoramstep_replay.latency import PATH
from marjoramstep_replay.latency import LatencyOptions
from marjoramstep_replay.latency import measure_latency
from marjoramstep_replay.latency import summarize


FAKE_DAEMON = Path(__file__).parent / "replay_fake_daemon.py"
CALLS_PER_RUN = 10


@when("{calls:d} calls in {runs:d} latency runs are measured against a fake daemon")
def step_measure(context: Any, calls: int, runs: int) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    command = (sys.executable, str(FAKE_DAEMON))
    output = folder / "latency.json"
    options = LatencyOptions(output, calls, runs, daemon_command=command)
    with contextlib.redirect_stdout(io.StringIO()):
        measure_latency(options)
    context.latency_figures = json.loads(output.read_text())


@then(
    'the latency figures hold p50 and p99 of {runs:d} runs for "{first}" and "{second}"'
)
def step_kinds(context: Any, runs: int, first: str, second: str) -> None:
    for kind in (first, second):
        for value in context.latency_figures["kinds"][kind].values():
            assert value["runs"] == runs and value["low"] > 0, value


@then('the latency figures hold the time added by "{kind}" against "{base}"')
def step_added(context: Any, kind: str, base: str) -> None:
    added = context.latency_figures["added"][f"{kind} against {base}"]
    assert set(added) == {"p50_ms", "p99_ms"}, added


@then('the latency figures hold the processor time of both nodes of "{kind}"')
def step_processor(context: Any, kind: str) -> None:
    found = context.latency_figures["processor_ms_per_call"]
    assert set(found) == {f"{kind}, node-entry-1", f"{kind}, node-target-1"}, found
    # The calls enter at this node and take many of the kernel's clock ticks.
    assert found[f"{kind}, node-entry-1"]["low"] > 0, found


@given(
    "latency run {number:d} with direct calls of {direct:d} ms and path calls of "
    "{path:d} ms"
)
def step_run(context: Any, number: int, direct: int, path: int) -> None:
    if number == 1:
        context.latency_runs = []
    run = {DIRECT: [float(direct)] * CALLS_PER_RUN, PATH: [float(path)] * CALLS_PER_RUN}
    context.latency_runs.append(run)


@then(
    "the added p99 has the median {median:g} ms and lies between {low:g} ms and "
    "{high:g} ms"
)
def step_difference(context: Any, median: float, low: float, high: float) -> None:
    added = summarize(context.latency_runs)["added"][f"{PATH} against {DIRECT}"]
    expected = {"median": median, "low": low, "high": high, "runs": 2}
    assert added["p99_ms"] == expected, added
