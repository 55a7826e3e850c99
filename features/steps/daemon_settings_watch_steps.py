"""Steps for the reload of changed settings."""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when
from daemon_harness import CLOCK
from daemon_harness import run
from marjoramstep_daemon import settings_watcher
from marjoramstep_daemon.log import EventLog
from marjoramstep_daemon.settings import read_settings
from marjoramstep_daemon.settings_watcher import SettingsWatcher
from marjoramstep_replay.launch.settings_files import ReplicaPlan
from marjoramstep_replay.launch.settings_files import SettingsWriter


POLL_INTERVAL_SECONDS = 0.01
LIMIT_SECONDS = 5.0


@given("a watched settings file of a node")
def step_file(context: Any) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    replicas = [ReplicaPlan("r", "127.0.0.1:9")]
    context.path = SettingsWriter(folder, replicas).write_node("n", "a", [])
    context.watcher = SettingsWatcher(context.path)


def _change(context: Any, **fields: Any) -> None:
    document = json.loads(context.path.read_text())
    context.path.write_text(json.dumps({**document, **fields}))


@when("the file lists other control addresses")
def step_addresses(context: Any) -> None:
    _change(context, control_addresses=["10.0.0.1:7", "10.0.0.2:7"])


@when("the file is truncated in the middle")
def step_truncate(context: Any) -> None:
    context.path.write_text(context.path.read_text()[:20])


@when("the file has the control peer port {port:d}")
def step_port(context: Any, port: int) -> None:
    _change(context, control_peer_port=port)


async def _wait_for_change(watcher: SettingsWatcher) -> str:
    changes: asyncio.Queue[str] = asyncio.Queue()
    task = asyncio.create_task(watcher.run(changes.put_nowait))
    try:
        async with asyncio.timeout(LIMIT_SECONDS):
            return await changes.get()
    finally:
        task.cancel()


def _read_after_change(context: Any) -> Any:
    with mock.patch.object(
        settings_watcher, "POLL_INTERVAL_SECONDS", POLL_INTERVAL_SECONDS
    ):
        cause = run(_wait_for_change(context.watcher))
    return context.watcher.read(EventLog(CLOCK, "test"), cause)


@then("the watcher reports the change and reads the new addresses")
def step_reads(context: Any) -> None:
    settings = _read_after_change(context)
    expected = (("10.0.0.1", 7), ("10.0.0.2", 7))
    assert settings.control_addresses == expected, settings


@then("the watcher reports the change and reads no settings")
def step_reads_no_settings(context: Any) -> None:
    assert _read_after_change(context) is None


@then("all control addresses of the file have the port {port:d}")
def step_ports(context: Any, port: int) -> None:
    addresses = read_settings(context.path).control_addresses
    assert {p for _, p in addresses} == {port}, addresses
