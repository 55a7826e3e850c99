"""Steps for the soak."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import then
from behave import when
from marjoramstep_replay.trace import read_trace


LIMIT_SECONDS = 180.0


@when("a soak of {seconds:d} s is played with seed {seed:d}")
def step_soak(context: Any, seconds: int, seed: int) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    command = [sys.executable, "-m", "marjoramstep_replay", "soak", str(folder)]
    command += ["--first-seed", str(seed), "--seeds", "1"]
    command += ["--duration-ms", str(seconds * 1_000)]
    context.done = subprocess.run(
        command, check=False, capture_output=True, text=True, timeout=LIMIT_SECONDS
    )
    context.folder = folder / f"seed-{seed}"


@then("faults were injected and every promise was kept")
def step_kept(context: Any) -> None:
    assert read_trace(context.folder / "trace.jsonl").faults
    summary = json.loads((context.folder / "summary.json").read_text("utf-8"))
    broken = [
        check for check in summary["variants"]["on"]["checks"] if not check["passed"]
    ]
    assert not broken, broken
    assert context.done.returncode == 0, context.done.stderr
