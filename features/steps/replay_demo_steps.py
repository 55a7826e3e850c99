"""Steps for the demo."""

from __future__ import annotations

import shlex
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when


LIMIT_SECONDS = 100.0


def start_demo(folder: Path, options: list[str]) -> subprocess.Popen[str]:
    """Start the demo in a process."""
    command = [str(Path(sys.executable).parent / "marjoramstep"), "demo"]
    return subprocess.Popen(
        [*command, "--folder", str(folder), *options],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def end_demo(process: subprocess.Popen[str]) -> None:
    """End a demo that still runs, gracefully so that it ends its processes."""
    if process.poll() is None:
        process.terminate()
    process.communicate(timeout=LIMIT_SECONDS)


def processes_of(folder: Path) -> list[str]:
    """Return the command lines that name a folder, the demo's own one left out."""
    found = []
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            text = path.read_bytes().replace(b"\0", b" ").decode()
        except OSError:
            continue
        if str(folder) in text and " demo " not in text:
            found.append(text)
    return found


@given("an empty folder for the demo")
def step_impl(context: Any) -> None:
    folder = tempfile.TemporaryDirectory()
    context.stack.callback(folder.cleanup)
    context.demo_folder = Path(folder.name)


def _finish(context: Any, process: subprocess.Popen[str]) -> None:
    context.demo_output, context.demo_errors = process.communicate(
        timeout=LIMIT_SECONDS
    )
    context.demo_status = process.returncode


@when("the demo runs once")
def step_impl(context: Any) -> None:
    process = start_demo(context.demo_folder, ["--once"])
    context.stack.callback(end_demo, process)
    _finish(context, process)


@when('the demo runs once with "{options}"')
def step_impl(context: Any, options: str) -> None:
    process = start_demo(context.demo_folder, ["--once", *shlex.split(options)])
    context.stack.callback(end_demo, process)
    _finish(context, process)


@when("the demo gets SIGTERM while its replicas start")
def step_impl(context: Any) -> None:
    process = start_demo(context.demo_folder, [])
    context.stack.callback(end_demo, process)
    limit_seconds = time.monotonic() + LIMIT_SECONDS
    while not processes_of(context.demo_folder):
        assert process.poll() is None, process.communicate()
        assert time.monotonic() < limit_seconds, "the demo started no process"
        time.sleep(0.01)
    process.send_signal(signal.SIGTERM)
    _finish(context, process)


@then("the demo ends with status {status:d}")
def step_impl(context: Any, status: int) -> None:
    found = (context.demo_status, context.demo_output, context.demo_errors)
    assert context.demo_status == status, found


@then('the demo printed "{text}"')
def step_impl(context: Any, text: str) -> None:
    assert text in context.demo_output, context.demo_output


@then('the demo reports "{text}"')
def step_impl(context: Any, text: str) -> None:
    assert text in context.demo_errors, context.demo_errors


@then("the demo printed a refusal after the edit for each of its {count:d} nodes")
def step_impl(context: Any, count: int) -> None:
    lines = [
        line
        for line in context.demo_output.splitlines()
        if line.startswith("The same request at node-")
    ]
    assert len(set(lines)) == count, context.demo_output
    refusal = "status 413, outcome not-run, reason body-too-large"
    assert all(line.endswith(refusal) for line in lines), lines


@then("no process of the demo is left")
def step_impl(context: Any) -> None:
    left = processes_of(context.demo_folder)
    assert not left, left


@then("the demo wrote no settings")
def step_impl(context: Any) -> None:
    assert not list(context.demo_folder.glob("run-*/*.json"))
