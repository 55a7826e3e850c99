"""Steps for faults of the data folder, the disk and the deployment key."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_replay.launch.addresses import reserve_addresses
from marjoramstep_replay.measure.control_cluster import DAEMON
from marjoramstep_replay.measure.control_cluster import make_edit
from marjoramstep_replay.measure.control_cluster import set_cell
from support.control_test_environment import ControlTestEnvironment
from support.control_test_environment import wait_until


NAME = "replica-1"
FAILING_DISK = Path(__file__).parent.parent / "support" / "control_failing_disk.py"
# Fewer bytes than the header of a record.
TORN_RECORD = b"\x00\x00\x02\x00torn"
REFUSAL_WAIT_SECONDS = 2.0
IDLE_WAIT_SECONDS = 2.5


async def _make_accepted_edit(context: Any, key: str, version: int, value: int) -> None:
    status, verdict = await context.cluster.edit(key, version, [set_cell(value)])
    assert (status, verdict["version"]) == (200, version + 1), (status, verdict)


async def _table_state(context: Any) -> tuple[int, int]:
    _, table = await context.cluster.ask("GET", "/v1/table")
    return table["version"], table["rows"][0]["deadline_ms"]


@when("a second process is started on its data folder")
def step_second_process(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        path = cluster.write_replica(
            "second",
            {"data_folder": str(cluster.data_folder(NAME))},
            peer_address=reserve_addresses(1)[0],
        )
        context.ended = await cluster.run_once([str(DAEMON), path])

    context.cluster.peer_addresses["second"] = "127.0.0.1:0"
    context.environment.run(run())


@then("the second process ends and reports that another process uses the folder")
def step_second_ends(context: Any) -> None:
    status, text = context.ended
    assert status == 1, text
    assert "another process uses the data folder" in text, text
    assert str(context.cluster.data_folder(NAME)) in text, text


@then("the first process still accepts an edit")
def step_first_accepts(context: Any) -> None:
    context.environment.run(_make_accepted_edit(context, "first", 1, 1_500))


@when("the replica is killed after an edit and a partial record is appended to its log")
def step_tear(context: Any) -> None:
    async def run() -> None:
        await _make_accepted_edit(context, "kept", 1, 1_600)
        context.cluster.processes[NAME].kill()
        with (context.cluster.data_folder(NAME) / "log").open("ab") as log:
            log.write(TORN_RECORD)
        await context.cluster.restart(NAME)

    context.environment.run(run())


@then("the replica starts, logs the truncated bytes and still has the edit")
def step_torn_logged(context: Any) -> None:
    events = context.cluster.processes[NAME].log_events("torn record cut off")
    assert [e["truncated_bytes"] for e in events] == [len(TORN_RECORD)], events
    assert context.environment.run(_table_state(context)) == (2, 1_600)


@then("an edit accepted after the truncation is still there after another start")
def step_after_truncation(context: Any) -> None:
    async def run() -> None:
        await _make_accepted_edit(context, "after-cut", 2, 1_650)
        context.cluster.processes[NAME].kill()
        await context.cluster.restart(NAME)
        assert await _table_state(context) == (3, 1_650)
        assert not context.cluster.processes[NAME].log_events("torn record cut off")

    context.environment.run(run())


@given("a control cluster of 1 replica whose disk can be made to fail")
def step_failing_disk(context: Any) -> None:
    context.environment = environment = ControlTestEnvironment()
    context.stack.callback(environment.close)
    context.trigger = environment.folder / "trigger"
    command = [sys.executable, str(FAILING_DISK), str(context.trigger)]
    environment.run(environment.start(1, command=command))
    context.cluster = environment.cluster


@when("an edit is accepted and the disk then fails with {error} during another edit")
def step_disk_fails(context: Any, error: str) -> None:
    async def run() -> None:
        cluster = context.cluster
        await _make_accepted_edit(context, "stored", 1, 1_700)
        context.trigger.write_text(error)
        edit = make_edit("not-stored", 2, [set_cell(1_800)])
        context.answer = await cluster.request(NAME, "POST", "/v1/edits", edit)

        async def has_ended() -> bool:
            return not cluster.processes[NAME].is_running

        await wait_until(has_ended, "the replica ends")

    context.environment.run(run())


@then("the replica ends with status 1 and reports {report}")
def step_ends_with(context: Any, report: str) -> None:
    process = context.cluster.processes[NAME]
    assert process.status == 1, process.status
    last = process.log_text().strip().splitlines()[-1]
    assert last.startswith("marjoramstepd: "), last
    assert report in last, last
    assert str(context.cluster.data_folder(NAME)) in last, last
    assert context.answer[0] in (0, 503), context.answer


@then(
    "after a start on a working disk the accepted edit is there and further edits are"
    " accepted"
)
def step_nothing_lost(context: Any) -> None:
    async def run() -> None:
        context.trigger.unlink()
        await context.cluster.restart(NAME)
        assert await _table_state(context) == (2, 1_700)
        await _make_accepted_edit(context, "later", 2, 1_900)

    context.environment.run(run())


async def _follower(context: Any) -> str:
    leader = await context.cluster.wait_for_leader()
    return next(name for name in context.cluster.names if name != leader)


async def _wait_until_synced(context: Any) -> dict[str, Any]:
    """Wait until all replicas are synced, which may take long on a busy machine."""
    found: dict[str, Any] = {}

    async def is_synced() -> bool:
        _, answer = await context.cluster.ask("GET", "/v1/replicas")
        found.update(answer)
        return bool(answer["survives_losses"] == 1)

    await wait_until(is_synced, "all replicas are synced")
    return found


async def _status_of(context: Any, name: str) -> dict[str, Any]:
    status, found = await context.cluster.request(name, "GET", "/v1/status")
    assert status == 200, found
    return dict(found)


@when("a follower is restarted with another deployment key")
def step_wrong_key(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        await _wait_until_synced(context)
        context.wrong_key_replica = await _follower(context)
        cluster.processes[context.wrong_key_replica].kill()
        path = cluster.folder / f"{context.wrong_key_replica}.json"
        context.right_settings = path.read_text()
        other_key = cluster.folder / "other.key"
        other_key.write_text("another-key-" * 4)
        document = json.loads(context.right_settings)
        document["deployment_key_file"] = str(other_key)
        path.write_text(json.dumps(document))
        await cluster.restart(context.wrong_key_replica)
        # The log already has more than one entry if several leaders were elected.
        context.status_before = await _status_of(context, context.wrong_key_replica)
        await _make_accepted_edit(context, "unheard", 1, 1_234)

    context.environment.run(run())


@then("the other replicas refuse its connections and it does not receive a new edit")
def step_refused(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        await asyncio.sleep(REFUSAL_WAIT_SECONDS)
        found = await _status_of(context, context.wrong_key_replica)
        assert found["last_index"] == context.status_before["last_index"], found
        assert not found["leads"], found
        for name in cluster.names:
            if name != context.wrong_key_replica:
                refused = cluster.processes[name].log_events("connection refused")
                assert refused, f"{name} refused no connection"
                events = cluster.processes[name].log_events("replica not reached")
                assert any(e["step"] == "handshake" for e in events), events

    context.environment.run(run())


@then("with the right key it catches up")
def step_right_key(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        cluster.processes[context.wrong_key_replica].kill()
        path = cluster.folder / f"{context.wrong_key_replica}.json"
        path.write_text(context.right_settings)
        await cluster.restart(context.wrong_key_replica)

        async def has_edit() -> bool:
            _, found = await cluster.request(
                context.wrong_key_replica, "GET", "/v1/status"
            )
            return bool(found.get("table_version") == 2)

        await wait_until(has_edit, "the replica catches up")

    context.environment.run(run())


@when("a follower is killed and nothing is written")
def step_idle_loss(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        before = await _wait_until_synced(context)
        context.lost = await _follower(context)
        cluster.processes[context.lost].kill()
        started = time.monotonic()
        await asyncio.sleep(IDLE_WAIT_SECONDS)
        _, context.after = await cluster.ask("GET", "/v1/replicas")
        assert time.monotonic() - started < 8.0
        assert context.after["commit_index"] == before["commit_index"]

    context.environment.run(run())


@then(
    "the leader does not count it as synced and reports that no further loss is"
    " survivable"
)
def step_not_counted(context: Any) -> None:
    synced = {r["replica_id"]: r["synced"] for r in context.after["replicas"]}
    assert synced.pop(context.lost) is False, context.after
    assert all(synced.values()), context.after
    assert context.after["survives_losses"] == 0, context.after


@then("only the leader lists the replicas")
def step_follower_421(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        leader = await cluster.wait_for_leader()
        for name in cluster.names:
            if name not in (leader, context.lost):
                status, _ = await cluster.request(name, "GET", "/v1/replicas")
                assert status == 421, status

    context.environment.run(run())
