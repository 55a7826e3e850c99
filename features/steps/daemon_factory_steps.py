"""Steps for nodes that the factory creates with disabled decisions."""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when
from daemon_harness import CLOCK
from daemon_harness import KEY
from daemon_harness import make_call
from daemon_harness import make_row
from daemon_harness import run
from marjoramstep_core.states import SizeClass
from marjoramstep_daemon.factory import NodeFactory
from marjoramstep_daemon.log import EventLog
from marjoramstep_daemon.settings import read_settings


ADDRESS = "127.0.0.1:0"


@given("a factory-built node with these decisions disabled: {names}")
def step_settings(context: Any, names: str) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    path = folder / "settings.json"
    key_path = folder / "key"
    key_path.write_bytes(KEY)
    disabled = [] if names == "none" else names.split(",")
    document = {
        "role": ["node"],
        "process_id": "n",
        "zone": "a",
        "peer_address": ADDRESS,
        "deployment_key_file": str(key_path),
        "control_addresses": ["127.0.0.1:1"],
        "node": {
            "caller_address": ADDRESS,
            "announce_address": ADDRESS,
            "metrics_address": ADDRESS,
            "disabled_decisions": disabled,
        },
    }
    path.write_text(json.dumps(document), encoding="utf-8")
    context.node_settings = read_settings(path)


@when(
    "{calls:d} calls of a row that states long arrive at its gate with {slots:d} slots"
)
def step_calls(context: Any, calls: int, slots: int) -> None:
    async def enter() -> int:
        node = NodeFactory(
            context.node_settings, CLOCK, EventLog(CLOCK, "test")
        ).build()
        node.gate.set_slots(slots)
        row = make_row(size_class="long", repeatable=True)
        waiting = [
            asyncio.create_task(
                node.gate.acquire(
                    make_call(f"k{number}", row=row, size_class=SizeClass.LONG)
                )
            )
            for number in range(calls)
        ]
        await asyncio.sleep(0)
        running: int = node.gate.load().in_flight
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        return running

    context.running_long_calls = run(enter())


@then("{number:d} of these long calls run")
def step_running(context: Any, number: int) -> None:
    assert context.running_long_calls == number, context.running_long_calls
