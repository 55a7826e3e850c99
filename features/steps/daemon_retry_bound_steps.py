"""Steps for the disabled retry bound and for a node without reachable replicas."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

import aiohttp
from behave import given
from behave import then
from behave import when
from daemon_harness import run
from daemon_requests_steps import chain_document
from daemon_test_deployment import LIMIT_SECONDS
from daemon_test_deployment import new_key
from daemon_test_deployment import shared_deployment
from marjoramstep_replay.launch import ManagedProcess
from marjoramstep_replay.launch.addresses import reserve_addresses
from marjoramstep_replay.launch.cluster import default_daemon_command
from marjoramstep_replay.launch.settings_files import ReplicaPlan
from marjoramstep_replay.launch.settings_files import SettingsWriter


NODE_ADDRESSES = ("caller_address", "metrics_address")


@given('the same call chain with the decision "{decision}" turned off')
def step_off(context: Any, decision: str) -> None:
    def make() -> dict[str, Any]:
        document = chain_document(replicas=1)
        services = [s for s in document["services"] if s["name"] != "store"]
        return {**document, "services": [{**s, "servers": 1} for s in services]}

    context.deployment = shared_deployment(context, "unbounded", make, [decision])


@given("a node that cannot reach any replica")
def step_isolated_node(context: Any) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    # No process listens on these addresses.
    replicas = [ReplicaPlan("r", address) for address in reserve_addresses(3)]
    path = SettingsWriter(folder, replicas).write_node("node-alone", "a", [])
    command = [*default_daemon_command(), str(path)]
    context.process = ManagedProcess("node-alone", command, folder / "log")
    context.stack.callback(context.process.kill)
    context.process.start()
    run(context.process.wait_until_listening(NODE_ADDRESSES))


async def _get(context: Any, kind: str, path: str) -> Any:
    url = f"http://{context.process.addresses[kind]}{path}"
    headers = {"Marjoramstep-Service": "store", "Marjoramstep-Key": new_key()}
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers=headers) as answer,
    ):
        return answer.status, answer.headers


@when("a call is sent to that node")
def step_call(context: Any) -> None:
    context.reply = run(_get(context, "caller_address", "/x"))


@then("it is refused because there is no table and did not run")
def step_no_table(context: Any) -> None:
    status, headers = context.reply
    assert status == 503
    assert headers["Marjoramstep-Outcome"] == "not-run"
    assert headers["Marjoramstep-Reason"] == "no-table"


@then("that node is not healthy and ends with status 0 on SIGTERM")
def step_unhealthy(context: Any) -> None:
    status, _ = run(_get(context, "metrics_address", "/healthz"))
    assert status == 503, status
    assert run(context.process.end(LIMIT_SECONDS / 2))
    assert context.process.status == 0
