"""Steps for the settings of the daemon."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from marjoramstep_daemon.settings import InvalidSettingsError
from marjoramstep_daemon.settings import read_settings
from marjoramstep_replay.launch.settings_files import ReplicaPlan
from marjoramstep_replay.launch.settings_files import SettingsWriter


@given('settings of a node with a termination grace of "{grace}"')
def step_settings(context: Any, grace: str) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    replicas = [ReplicaPlan("r", "127.0.0.1:9")]
    context.path = SettingsWriter(folder, replicas).write_node("n", "a", [])
    document = json.loads(context.path.read_text())
    del document["shutdown_limit_ms"]
    document["termination_grace"] = grace
    context.path.write_text(json.dumps(document))


@then("its shutdown limit is {limit_ms:d} ms")
def step_limit(context: Any, limit_ms: int) -> None:
    found_ms = read_settings(context.path).shutdown_limit_ms
    assert found_ms == limit_ms, found_ms


@then('the settings are refused because of "{name}"')
def step_refused(context: Any, name: str) -> None:
    try:
        read_settings(context.path)
    except InvalidSettingsError as error:
        assert any(fault.startswith(name) for fault in error.faults), error.faults
        return
    raise AssertionError("the settings were accepted")
