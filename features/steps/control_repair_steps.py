"""Steps for lost data folders, cuts and restarts of replicas."""

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
from support.control_world import ControlWorld
from support.control_world import wait_until


COMMAND = str(Path(sys.executable).parent / "marjoramstep")
WAITING_SECONDS = 2.5
NODE_LIMIT_SECONDS = 10.0
SILENCE_SECONDS = 8.0
EXIT_OK = 0
BATCH = 25


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


@when(
    "the data folder of a following replica is deleted and the replica is started again"
)
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

    context.world.run(run())


@then("it has a new identity and neither votes nor leads while it waits for admission")
def step_new_identity(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        found = await _status(context, context.wiped)
        context.new_id = found["replica_id"]
        assert context.new_id != context.wiped
        assert context.new_id.startswith(context.wiped + "-")
        until = time.monotonic() + WAITING_SECONDS
        while time.monotonic() < until:
            found = await _status(context, context.wiped)
            assert (found["role"], found["term"]) == ("follower", 0), found
            assert found["last_index"] == 0, found
            await asyncio.sleep(0.1)
        status, document = await cluster.ask("GET", "/v1/replicas")
        assert [w["replica_id"] for w in document["waiting"]] == [context.new_id]
        assert document["survives_losses"] == 0, document

    context.world.run(run())


@then("replicas wait of the operator's command reports that the repair is not complete")
def step_wait_not_complete(context: Any) -> None:
    status, text = context.world.run(
        _run_command(context, "replicas", "wait", "--wait-ms", "1000")
    )
    assert status != EXIT_OK, text
    assert f"not synced: {context.wiped}" in text, text


@when("the operator's command removes the lost identity and admits the new one")
def step_admit(context: Any) -> None:
    async def run() -> None:
        for action, replica in (("remove", context.wiped), ("admit", context.new_id)):
            status, text = await _run_command(context, "replicas", action, replica)
            assert status == EXIT_OK, text

    context.world.run(run())


@then("replicas wait of the operator's command reports that the repair is complete")
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

    context.world.run(run())


@when("the leading replica is killed for good right after the repair")
def step_kill_second(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        context.lost = await cluster.wait_for_leader()
        assert context.lost != context.wiped
        cluster.processes[context.lost].kill()
        assert cluster.processes[context.lost].status == -signal.SIGKILL

    context.world.run(run())


@then("the workload goes on without the lost replica")
def step_goes_on(context: Any) -> None:
    async def run() -> None:
        await context.workload.wait_for_progress()
        await context.workload.stop()
        assert not context.cluster.processes[context.lost].is_running

    context.world.run(run())


@given("a control cluster of {count:d} replicas behind relays")
def step_relayed(context: Any, count: int) -> None:
    context.world = world = ControlWorld()
    context.stack.callback(world.close)
    world.run(world.start(count, relayed=True))
    context.cluster = world.cluster


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

    context.world.run(run())


async def _wait_for_version(context: Any, version: int) -> float:
    async def all_have() -> bool:
        cluster = context.cluster
        versions = [await cluster.node_version(name) for name in context.nodes]
        return versions == [version] * len(versions)

    return await wait_until(all_have, f"version {version} at all nodes")


@when("the relays of the leading replica stop all bytes and keep its connections open")
def step_cut(context: Any) -> None:
    async def run() -> None:
        context.cut = await context.cluster.wait_for_leader()
        for relay in context.world.relays_of(context.cut):
            relay.cut()
        context.cut_at = time.monotonic()

    context.world.run(run())


@when("operators race with edits at both sides of the cut")
def step_race(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        inside = make_edit("cut-side", context.version, [set_cell(2_222)])
        outside = make_edit("quorum-side", context.version, [set_cell(3_333)])
        others = [name for name in cluster.names if name != context.cut]
        cut_task = asyncio.create_task(
            cluster.request(context.cut, "POST", "/v1/edits", inside, "luis")
        )
        context.outside = (0, {})
        while context.outside[0] in (0, 421, 503):
            for name in others:
                found = await cluster.request(name, "POST", "/v1/edits", outside)
                if found[0] not in (0, 421, 503):
                    context.outside = found
        context.accepted_at = time.monotonic()
        context.inside = await cut_task

    context.world.run(run())


@then("only the side with the quorum accepts an edit")
def step_one_side(context: Any) -> None:
    assert context.outside[0] == 200, context.outside
    assert context.inside[0] in (421, 503), context.inside
    # The cut took place: its bytes arrived at the relays and went no further.
    assert sum(r.held_bytes for r in context.world.relays_of(context.cut)) > 0


@then("the nodes have the new table within 10 seconds")
def step_nodes_new(context: Any) -> None:
    async def run() -> None:
        version = context.outside[1]["version"]
        waited = await _wait_for_version(context, version)
        waited += time.monotonic() - context.accepted_at - waited
        assert waited < NODE_LIMIT_SECONDS, waited
        assert all(relay.is_cut for relay in context.world.relays_of(context.cut))

    context.world.run(run())


@when("the cut has lasted longer than the links tolerate silence and is healed")
def step_heal(context: Any) -> None:
    async def run() -> None:
        left = context.cut_at + SILENCE_SECONDS - time.monotonic()
        await asyncio.sleep(max(left, 0.0))
        context.leader = await context.cluster.wait_for_leader(context.cut)
        context.term = (await _status(context, context.leader))["term"]
        found = await _status(context, context.cut)
        assert not found["leads"], found
        assert found["table_version"] == context.version, found
        for relay in context.world.relays_of(context.cut):
            relay.heal()

    context.world.run(run())


@then("the healed replica follows without a change of leader and gets the edits")
def step_healed(context: Any) -> None:
    async def run() -> None:
        async def has_caught_up() -> bool:
            found = await _status(context, context.cut)
            return (
                found["leader_id"] == context.leader
                and found["table_version"] == context.outside[1]["version"]
            )

        await wait_until(has_caught_up, "the healed replica has the edits")
        found = await _status(context, context.leader)
        assert found["leads"], found
        assert found["term"] == context.term, found

    context.world.run(run())


@then("the loser of the race is told who won")
def step_loser(context: Any) -> None:
    async def run() -> None:
        edit = make_edit("cut-side", context.version, [set_cell(2_222)])
        status, verdict = await context.cluster.ask("POST", "/v1/edits", edit, "luis")
        assert (status, verdict["verdict"]) == (409, "conflict"), verdict
        assert verdict["winner"]["edit_key"] == "quorum-side", verdict
        assert verdict["winner"]["operator"] == "ana", verdict

    context.world.run(run())


@given("a node that watches the table of the control cluster")
def step_watching_node(context: Any) -> None:
    async def run() -> None:
        await context.cluster.start_node("node-w")
        context.versions = [0]
        context.denials = []

        async def watch() -> None:
            while True:
                # A version of 0 here means that the status was not answered.
                version = await context.cluster.node_version("node-w")
                if version:
                    context.versions.append(version)
                await asyncio.sleep(0.02)

        context.world.tasks.append(asyncio.create_task(watch()))

    context.world.run(run())


async def _state(context: Any) -> dict[str, Any]:
    cluster = context.cluster
    _, table = await cluster.ask("GET", "/v1/table")
    verdicts = {}
    for key in context.edit_keys[::BATCH]:
        _, verdicts[key] = await cluster.ask("GET", f"/v1/edits/{key}")
    _, audit = await cluster.ask("GET", "/v1/audit?limit=1000")
    return {"table": table, "verdicts": verdicts, "audit": audit["entries"]}


@when(
    "{count:d} edits are accepted and all replicas are killed and started again"
    " {times:d} times"
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
            await _ask_for_verdicts(context, restarts)

    context.world.run(run())


async def _ask_for_verdicts(context: Any, restarts: list[asyncio.Task[None]]) -> None:
    """Ask every replica, from its start until it has applied its log again."""
    cluster, left = context.cluster, set(context.cluster.names)
    until = time.monotonic() + 30.0
    while left or not all(task.done() for task in restarts):
        await asyncio.sleep(0.001)
        assert time.monotonic() < until, f"no verdict from {left}"
        for name in cluster.names:
            path = f"/v1/edits/{context.edit_keys[-1]}"
            status, found = await cluster.request(name, "GET", path)
            if status == 404:
                context.denials.append((name, found))
            elif status == 200:
                left.discard(name)
    await asyncio.gather(*restarts)


@then("table, verdicts and audit trail of the control cluster are as before")
def step_as_before(context: Any) -> None:
    after = context.world.run(_state(context))
    for part, value in context.before.items():
        assert after[part] == value, (part, json.dumps(after[part])[:400])
    accepted = [e for e in after["audit"] if e["verdict"] == "accepted"]
    assert len(accepted) == len(context.edit_keys), len(accepted)


@then("no replica ever denied one of the verdicts")
def step_no_denials(context: Any) -> None:
    assert not context.denials, context.denials[:3]


@then("the version at the watching node never went down")
def step_never_down(context: Any) -> None:
    versions = context.versions
    assert len(versions) > BATCH, versions
    assert versions == sorted(versions), versions
    assert versions[-1] == len(context.edit_keys) + 1, versions[-1]
