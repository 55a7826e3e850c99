"""Steps for lost data folders, network partitions and restarts of replicas."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import sys
import time
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_replay.measure.control_cluster import make_edit
from marjoramstep_replay.measure.control_cluster import set_cell
from support.control_test_environment import ControlTestEnvironment
from support.control_test_environment import wait_until


COMMAND = str(Path(sys.executable).parent / "marjoramstep")
ADMISSION_WAIT_SECONDS = 2.5
NODE_UPDATE_LIMIT_SECONDS = 10.0
PARTITION_SECONDS = 8.0
EXIT_OK = 0
VERDICT_SAMPLE_STEP = 25


async def _run_command(context: Any, *arguments: str) -> tuple[int, str]:
    cluster = context.cluster
    token_path = cluster.folder / "token"
    token_path.write_text(cluster.tokens["ana"], encoding="ascii")
    running = [n for n in cluster.names if cluster.processes[n].is_running]
    addresses = [cluster.processes[name].addresses["operator"] for name in running]
    options = ["--control", ",".join(addresses), "--token-file", str(token_path)]
    return await cluster.run_once([COMMAND, *arguments, *options])


async def _status(context: Any, name: str) -> dict[str, Any]:
    _, found = await context.cluster.request(name, "GET", "/v1/status")
    return found


@when("the data folder of a follower is deleted and the replica is restarted")
def step_delete_folder(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        await context.workload.wait_for_progress()
        leader = await cluster.wait_for_leader()
        context.wiped = next(name for name in cluster.names if name != leader)
        cluster.processes[context.wiped].kill()
        shutil.rmtree(cluster.data_folder(context.wiped))
        assert not cluster.data_folder(context.wiped).exists()
        await cluster.restart(context.wiped)

    context.environment.run(run())


@then("it has a new identity and neither votes nor leads while it waits to be admitted")
def step_new_identity(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        found = await _status(context, context.wiped)
        context.new_id = found["replica_id"]
        assert context.new_id != context.wiped
        assert context.new_id.startswith(context.wiped + "-")
        until = time.monotonic() + ADMISSION_WAIT_SECONDS
        while time.monotonic() < until:
            found = await _status(context, context.wiped)
            assert (found["role"], found["term"]) == ("follower", 0), found
            assert found["last_index"] == 0, found
            await asyncio.sleep(0.1)
        status, document = await cluster.ask("GET", "/v1/replicas")
        assert [w["replica_id"] for w in document["waiting"]] == [context.new_id]
        assert document["survives_losses"] == 0, document

    context.environment.run(run())


@then("the replicas wait command reports that the repair is not complete")
def step_wait_not_complete(context: Any) -> None:
    status, text = context.environment.run(
        _run_command(context, "replicas", "wait", "--wait-ms", "1000")
    )
    assert status != EXIT_OK, text
    assert f"not synced: {context.wiped}" in text, text


@when("the operator removes the lost identity and admits the new one by command")
def step_admit(context: Any) -> None:
    async def run() -> None:
        for action, replica in (("remove", context.wiped), ("admit", context.new_id)):
            status, text = await _run_command(context, "replicas", action, replica)
            assert status == EXIT_OK, text

    context.environment.run(run())


@then("the replicas wait command reports that the repair is complete")
def step_wait_complete(context: Any) -> None:
    async def run() -> None:
        status, text = await _run_command(
            context, "replicas", "wait", "--wait-ms", "20000"
        )
        assert status == EXIT_OK, text
        _, document = await context.cluster.ask("GET", "/v1/replicas")
        voters = [r["replica_id"] for r in document["replicas"] if r["voter"]]
        assert context.new_id in voters, document
        assert len(voters) == 3, document

    context.environment.run(run())


@when("the leader is killed right after the repair and not restarted")
def step_kill_second(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        context.lost = await cluster.wait_for_leader()
        assert context.lost != context.wiped
        cluster.processes[context.lost].kill()
        assert cluster.processes[context.lost].status == -signal.SIGKILL

    context.environment.run(run())


@then("the workload continues without the lost replica")
def step_goes_on(context: Any) -> None:
    async def run() -> None:
        await context.workload.wait_for_progress()
        await context.workload.stop()
        assert not context.cluster.processes[context.lost].is_running

    context.environment.run(run())


@given("a control cluster of {count:d} replicas behind relays")
def step_relayed(context: Any, count: int) -> None:
    context.environment = environment = ControlTestEnvironment()
    context.stack.callback(environment.close)
    environment.run(environment.start(count, relayed=True))
    context.cluster = environment.cluster


@given("{count:d} nodes that have the table of the relayed control cluster")
def step_nodes(context: Any, count: int) -> None:
    async def run() -> None:
        cluster = context.cluster
        context.nodes = [f"node-{number}" for number in range(count)]
        await asyncio.gather(*(cluster.start_node(name) for name in context.nodes))
        status, verdict = await cluster.edit("before-cut", 1, [set_cell(1_111)])
        assert status == 200, verdict
        context.version = verdict["version"]
        await _wait_for_version(context, context.version)

    context.environment.run(run())


async def _wait_for_version(context: Any, version: int) -> float:
    async def all_have() -> bool:
        cluster = context.cluster
        versions = [await cluster.node_version(name) for name in context.nodes]
        return versions == [version] * len(versions)

    return await wait_until(all_have, f"version {version} at all nodes")


@when("the relays of the leader forward no bytes and keep its connections open")
def step_partition(context: Any) -> None:
    async def run() -> None:
        context.partitioned = await context.cluster.wait_for_leader()
        for relay in context.environment.relays_of(context.partitioned):
            relay.cut()
        context.partitioned_at = time.monotonic()

    context.environment.run(run())


@when("operators send conflicting edits to both sides of the partition")
def step_conflicting_edits(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        minority_edit = make_edit("cut-side", context.version, [set_cell(2_222)])
        majority_edit = make_edit("quorum-side", context.version, [set_cell(3_333)])
        others = [name for name in cluster.names if name != context.partitioned]
        minority_task = asyncio.create_task(
            cluster.request(
                context.partitioned, "POST", "/v1/edits", minority_edit, "luis"
            )
        )
        context.majority_answer = (0, {})
        while context.majority_answer[0] in (0, 421, 503):
            for name in others:
                found = await cluster.request(name, "POST", "/v1/edits", majority_edit)
                if found[0] not in (0, 421, 503):
                    context.majority_answer = found
        context.accepted_at = time.monotonic()
        context.minority_answer = await minority_task

    context.environment.run(run())


@then("only the side with the quorum accepts an edit")
def step_one_side(context: Any) -> None:
    assert context.majority_answer[0] == 200, context.majority_answer
    assert context.minority_answer[0] in (421, 503), context.minority_answer
    # The partition took effect: bytes arrived at the relays and were not forwarded.
    assert (
        sum(
            r.unforwarded_bytes
            for r in context.environment.relays_of(context.partitioned)
        )
        > 0
    )


@then("the nodes have the new table within 10 seconds")
def step_nodes_new(context: Any) -> None:
    async def run() -> None:
        version = context.majority_answer[1]["version"]
        waited = await _wait_for_version(context, version)
        waited += time.monotonic() - context.accepted_at - waited
        assert waited < NODE_UPDATE_LIMIT_SECONDS, waited
        assert all(
            relay.is_cut for relay in context.environment.relays_of(context.partitioned)
        )

    context.environment.run(run())


@when(
    "the partition heals after it has lasted longer than the silence limit of the links"
)
def step_heal(context: Any) -> None:
    async def run() -> None:
        left = context.partitioned_at + PARTITION_SECONDS - time.monotonic()
        await asyncio.sleep(max(left, 0.0))
        context.leader = await context.cluster.wait_for_leader(context.partitioned)
        context.term = (await _status(context, context.leader))["term"]
        found = await _status(context, context.partitioned)
        assert not found["leads"], found
        assert found["table_version"] == context.version, found
        for relay in context.environment.relays_of(context.partitioned):
            relay.heal()

    context.environment.run(run())


@then("the replica rejoins without a change of leader and gets the edits")
def step_healed(context: Any) -> None:
    async def run() -> None:
        async def has_caught_up() -> bool:
            found = await _status(context, context.partitioned)
            return (
                found["leader_id"] == context.leader
                and found["table_version"] == context.majority_answer[1]["version"]
            )

        await wait_until(has_caught_up, "the rejoined replica has the edits")
        found = await _status(context, context.leader)
        assert found["leads"], found
        assert found["term"] == context.term, found

    context.environment.run(run())


@then("the verdict of the conflicting edit names the winner")
def step_conflict_names_winner(context: Any) -> None:
    async def run() -> None:
        edit = make_edit("cut-side", context.version, [set_cell(2_222)])
        status, verdict = await context.cluster.ask("POST", "/v1/edits", edit, "luis")
        assert (status, verdict["verdict"]) == (409, "conflict"), verdict
        assert verdict["winner"]["edit_key"] == "quorum-side", verdict
        assert verdict["winner"]["operator"] == "ana", verdict

    context.environment.run(run())


@given("a node whose table version is watched")
def step_watched_node(context: Any) -> None:
    async def run() -> None:
        await context.cluster.start_node("node-w")
        context.versions = [0]
        context.missing_edits = []

        async def watch() -> None:
            while True:
                # Version 0 means that the node did not answer the status request.
                version = await context.cluster.node_version("node-w")
                if version:
                    context.versions.append(version)
                await asyncio.sleep(0.02)

        context.environment.tasks.append(asyncio.create_task(watch()))

    context.environment.run(run())


async def _state(context: Any) -> dict[str, Any]:
    cluster = context.cluster
    _, table = await cluster.ask("GET", "/v1/table")
    verdicts = {}
    for key in context.edit_keys[::VERDICT_SAMPLE_STEP]:
        _, verdicts[key] = await cluster.ask("GET", f"/v1/edits/{key}")
    _, audit = await cluster.ask("GET", "/v1/audit?limit=1000")
    return {"table": table, "verdicts": verdicts, "audit": audit["entries"]}


@when(
    "{count:d} edits are accepted and all replicas are killed and restarted {times:d}"
    " times"
)
def step_restart_all(context: Any, count: int, times: int) -> None:
    async def run() -> None:
        cluster = context.cluster
        context.edit_keys = [f"edit-{number}" for number in range(count)]
        for number, key in enumerate(context.edit_keys):
            status, verdict = await cluster.edit(
                key, number + 1, [set_cell(1_000 + number)]
            )
            assert (status, verdict["version"]) == (200, number + 2), verdict
        context.before = await _state(context)
        for _ in range(times):
            for name in cluster.names:
                cluster.processes[name].kill()
                assert cluster.processes[name].status == -signal.SIGKILL
            restarts = [asyncio.create_task(cluster.restart(n)) for n in cluster.names]
            await _poll_verdicts(context, restarts)

    context.environment.run(run())


async def _poll_verdicts(context: Any, restarts: list[asyncio.Task[None]]) -> None:
    """Poll each replica for the last edit until it has applied its log."""
    cluster, left = context.cluster, set(context.cluster.names)
    until = time.monotonic() + 30.0
    while left or not all(task.done() for task in restarts):
        await asyncio.sleep(0.001)
        assert time.monotonic() < until, f"no verdict from {left}"
        for name in cluster.names:
            path = f"/v1/edits/{context.edit_keys[-1]}"
            status, found = await cluster.request(name, "GET", path)
            if status == 404:
                context.missing_edits.append((name, found))
            elif status == 200:
                left.discard(name)
    await asyncio.gather(*restarts)


@then("table, verdicts and audit trail of the control cluster are as before")
def step_as_before(context: Any) -> None:
    after = context.environment.run(_state(context))
    for part, value in context.before.items():
        assert after[part] == value, (part, json.dumps(after[part])[:400])
    accepted = [e for e in after["audit"] if e["verdict"] == "accepted"]
    assert len(accepted) == len(context.edit_keys), len(accepted)


@then("no replica ever answered that the last edit does not exist")
def step_no_missing_edits(context: Any) -> None:
    assert not context.missing_edits, context.missing_edits[:3]


@then("the table version at the watched node never went down")
def step_version_never_down(context: Any) -> None:
    versions = context.versions
    assert len(versions) > VERDICT_SAMPLE_STEP, versions
    assert versions == sorted(versions), versions
    assert versions[-1] == len(context.edit_keys) + 1, versions[-1]
