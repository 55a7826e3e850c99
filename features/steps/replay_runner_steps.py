"""Steps for the replay runner."""

from __future__ import annotations

import contextlib
import io
import json
import sys
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_replay.runner import ReplayOptions
from marjoramstep_replay.runner import replay


FAKE_DAEMON = Path(__file__).parent / "replay_fake_daemon.py"
PROFILE = {
    "paths": [{"prefix": "/", "service_time": {"kind": "constant", "mean_ms": 2}}]
}
DEPLOYMENT = {
    "name": "small",
    "zones": ["a", "b"],
    "replicas": 1,
    "services": [
        {
            "name": "books",
            "servers": 2,
            "slots": 4,
            "connections": 40,
            "profile": PROFILE,
        }
    ],
    "rows": [{"name": "books", "service": "books", "weight": 5, "deadline_ms": 20000}],
}
OUTCOMES = {
    "checks": [
        {"kind": "goodput-share", "minimum": 1, "groups": ["g"]},
        {"kind": "at-most-one-run"},
        {"kind": "own-answers"},
    ]
}


def _write(context: Any) -> None:
    files = {"deployment": DEPLOYMENT, "outcomes": context.replay_outcomes}
    for name, document in files.items():
        (context.replay_folder / f"{name}.json").write_text(json.dumps(document))
    lines = "\n".join(map(json.dumps, context.replay_lines))
    (context.replay_folder / "trace.jsonl").write_text(lines)


@given("a replay of {count:d} requests without a baseline")
def step_replay(context: Any, count: int) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    context.replay_folder = folder
    context.replay_outcomes = OUTCOMES
    context.replay_lines = [
        {
            "at_ms": 10 * index,
            "caller": f"caller-{index}",
            "service": "books",
            "method": "POST",
            "path": f"/book/{index}",
            "body_bytes": 100 * index,
            "group": "g",
        }
        for index in range(count)
    ]
    context.replay_options = ReplayOptions(
        deployment=folder / "deployment.json",
        trace=folder / "trace.jsonl",
        outcomes=folder / "outcomes.json",
        output=folder / "output",
    )


@given('a replay of {count:d} requests with the baseline "{decision}"')
def step_replay_baseline(context: Any, count: int, decision: str) -> None:
    step_replay(context, count)
    options = replace(context.replay_options, baseline_disabled=(decision,))
    context.replay_options = options


@given('the replay\'s trace crashes "{target}" at {at_ms:d} ms')
def step_crash(context: Any, target: str, at_ms: int) -> None:
    context.replay_lines.append({"at_ms": at_ms, "fault": "crash", "target": target})


@given("the replay's {part} is changed to {value}")
def step_change(context: Any, part: str, value: str) -> None:
    if part == "request limit":
        options = replace(context.replay_options, request_limit=int(value))
        context.replay_options = options
    elif part == "service":
        context.replay_lines[0]["service"] = value
    else:
        check = {"kind": "all-complete", "groups": [value]}
        context.replay_outcomes = {"checks": [check]}


def _replay(context: Any, *command: str) -> None:
    _write(context)
    options = replace(context.replay_options, daemon_command=command)
    context.replay_passed = None
    context.replay_error = ""
    verdict = io.StringIO()
    try:
        with contextlib.redirect_stdout(verdict):
            context.replay_passed = replay(options)
    except MarjoramstepError as error:
        context.replay_error = str(error)
    context.replay_verdict = verdict.getvalue()


@when("the replay runs with a fake daemon")
def step_run(context: Any) -> None:
    _replay(context, sys.executable, str(FAKE_DAEMON))


@when("the replay runs with a fake daemon that runs every request twice")
def step_run_twice(context: Any) -> None:
    _replay(context, sys.executable, str(FAKE_DAEMON), "--run-twice")


@when("the replay runs with a daemon that ends at once")
def step_run_ending(context: Any) -> None:
    _replay(context, sys.executable, "-c", "import sys; sys.exit(3)")


@then("the replay passed")
def step_passed(context: Any) -> None:
    assert context.replay_passed, (context.replay_error, context.replay_verdict)


@then('the replay failed with "{kind}" not met')
def step_failed(context: Any, kind: str) -> None:
    assert context.replay_passed is False, context.replay_error
    assert f"NOT MET {kind} " in context.replay_verdict, context.replay_verdict


@then('the replay is refused with "{problem}"')
def step_refused(context: Any, problem: str) -> None:
    assert problem in context.replay_error, context.replay_error


@then(
    "the replay summary shows a goodput of {share:g} for the variants "
    '"{first}" and "{second}"'
)
def step_summary(context: Any, share: float, first: str, second: str) -> None:
    path = context.replay_options.output / "summary.json"
    variants = json.loads(path.read_text())["variants"]
    for name in (first, second):
        measured = variants[name]["figures"]["g"]["goodput_share"]["median"]
        assert measured == share, variants[name]


@then('the replay wrote the histogram logs "{first}" and "{second}"')
def step_histograms(context: Any, first: str, second: str) -> None:
    for name in (first, second):
        text = (context.replay_options.output / name).read_text()
        assert "Tag=g," in text, text


@then("no process of the replay is left")
def step_no_process(context: Any) -> None:
    own = "marjoramstep-replay-"
    commands = []
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        with contextlib.suppress(OSError):
            commands.append(path.read_bytes().decode(errors="replace"))
    left = [c for c in commands if str(FAKE_DAEMON) in c and own in c]
    assert commands and not left, left
