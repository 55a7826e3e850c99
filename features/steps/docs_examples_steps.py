"""Steps that run the examples of pages."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from behave import given
from behave import then

from features.steps.replay_demo_steps import end_demo
from features.steps.replay_demo_steps import processes_of


ROOT = Path(__file__).parents[2]
LIMIT_SECONDS = 100.0
# A page in error must not leave its background processes behind.
PREAMBLE = "set +m; trap 'kill $(jobs -p) 2>/dev/null; wait' EXIT\n"
# An accepted edit is in force within seconds; a reader takes longer to type the next
# command than a script, which therefore waits for the version at the node.
WAIT_FOR_VERSION = """
version=$(sed -n 's/^accepted: version \\([0-9]*\\).*/\\1/p' edit.txt)
metrics=$(grep -o '"metrics":"[^"]*' $RUN_FOLDER/node-archive-1.log | cut -d'"' -f4)
for n in $(seq 600); do
  [ -z "$version" ] && break
  curl -s http://$metrics/status | grep -q "\\"table_version\\": $version," && break
  sleep 0.05
done
"""


@given("a running demo for the examples of the pages")
def step_impl(context: Any) -> None:
    folder = tempfile.TemporaryDirectory()
    context.stack.callback(folder.cleanup)
    context.page_folder = Path(folder.name)
    command = [str(Path(sys.executable).parent / "marjoramstep"), "demo"]
    process = subprocess.Popen(
        [*command, "--limit-seconds", "300"],
        cwd=folder.name,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    context.stack.callback(end_demo, process)
    context.page_demo = process
    lines = []
    assert process.stdout is not None
    for line in process.stdout:
        lines.append(line)
        if line.startswith("Serving"):
            return
    raise AssertionError("".join(lines))


def _read_examples(text: str) -> list[tuple[str, list[str]]]:
    """Return the commands of a page, each with the lines that it must print."""
    examples: list[tuple[str, list[str]]] = []
    for block in re.findall(r"^```console\n(.*?)^```", text, re.M | re.S):
        for line in block.splitlines():
            if line.startswith("$ "):
                examples.append((line[2:], []))
            else:
                examples[-1][1].append(line)
    return examples


def _to_script(command: str) -> str:
    if command.startswith("marjoramstep table"):
        command = f"{{ {command}; }} > edit.txt; cat edit.txt{WAIT_FOR_VERSION}"
    return f"{command}\necho; echo @@\n"


@then('the examples of "{name}" give what the page shows')
def step_impl(context: Any, name: str) -> None:
    text = (ROOT / name).read_text("utf-8")
    for file_name, code in re.findall(
        r"^```python (\S+)\n(.*?)^```", text, re.M | re.S
    ):
        (context.page_folder / file_name).write_text(code, encoding="utf-8")
    examples = _read_examples(text)
    assert any(lines for _, lines in examples), f"{name} has no example"
    script = PREAMBLE + "".join(_to_script(command) for command, _ in examples)
    result = subprocess.run(
        ["bash", "-c", script],
        cwd=context.page_folder,
        env=dict(os.environ),
        capture_output=True,
        timeout=LIMIT_SECONDS,
        check=False,
    )
    output = result.stdout.decode("utf-8", "replace").replace("\r", "")
    outputs = output.split("@@\n")
    assert len(outputs) == len(examples) + 1, (output, result.stderr)
    for (command, lines), found in zip(examples, outputs, strict=False):
        rest = found.splitlines()
        for line in lines:
            at = [n for n, seen in enumerate(rest) if seen.startswith(line)]
            assert at, f"{name}: {command}: no {line!r} in {found!r}, {result.stderr!r}"
            if line.startswith("HTTP/1.1"):
                rest = rest[at[0] + 1 :]


@then("the demo of the examples ends gracefully when it gets SIGINT")
def step_impl(context: Any) -> None:
    context.page_demo.send_signal(signal.SIGINT)
    output, _ = context.page_demo.communicate(timeout=LIMIT_SECONDS)
    assert context.page_demo.returncode == 0, output
    assert "did not end gracefully" not in output, output
    limit_seconds = time.monotonic() + LIMIT_SECONDS
    while left := processes_of(context.page_folder):
        assert time.monotonic() < limit_seconds, left
        time.sleep(0.05)
