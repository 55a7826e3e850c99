"""Steps for the loss and the suspension of a leader."""

from __future__ import annotations

import asyncio
import os
import signal
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.errors import UnavailableError
from marjoramstep_replay.measure.claim_session import new_key
from marjoramstep_replay.measure.control_cluster import make_edit
from marjoramstep_replay.measure.control_cluster import set_cell
from support.control_test_environment import ControlTestEnvironment
from support.control_test_environment import Workload
from support.control_test_environment import accepted_in_audit
from support.control_test_environment import wait_until


WAITING_REQUESTS = 8
SUSPENDED_WAIT_SECONDS = 0.3
CLAIM_TIMEOUT_MS = 2_000.0


@given("a control cluster of {count:d} replicas")
def step_cluster(context: Any, count: int) -> None:
    context.environment = environment = ControlTestEnvironment()
    context.stack.callback(environment.close)
    environment.run(environment.start(count))
    context.cluster = environment.cluster


@given("a workload of edits and claims on the control cluster")
def step_workload(context: Any) -> None:
    context.workload = Workload(context.environment)
    context.environment.run(context.workload.start())


@when("the leader is killed and restarted {times:d} times under the workload")
def step_kill(context: Any, times: int) -> None:
    async def run() -> None:
        cluster, workload = context.cluster, context.workload
        await workload.wait_for_progress()
        for _ in range(times):
            leader = await cluster.wait_for_leader()
            cluster.processes[leader].kill()
            assert cluster.processes[leader].status == -signal.SIGKILL
            assert await cluster.wait_for_leader(leader) != leader
            await workload.wait_for_progress()
            await cluster.restart(leader)
            await workload.wait_for_progress()
        await workload.stop()

    context.environment.run(run())


@then("everything that the control cluster accepted is still there")
def step_nothing_lost(context: Any) -> None:
    context.environment.run(context.workload.check())


@then("all replicas have the same audit trail of the workload")
def step_same_audit(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        expected = sorted((v, key) for key, v in context.workload.accepted.items())
        for name in cluster.names:

            async def is_same(name: str = name) -> bool:
                return await accepted_in_audit(cluster, name) == expected

            await wait_until(is_same, f"audit trail of {name}")

    context.environment.run(run())


@when("the leader is suspended until another replica leads")
def step_suspend(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        context.suspended = leader = await cluster.wait_for_leader()
        _, table = await cluster.request(leader, "GET", "/v1/table")
        context.old_version = table["version"]
        process = cluster.processes[leader]
        process.send_signal(signal.SIGSTOP)
        _, status = os.waitpid(process.process_id, os.WUNTRACED)
        assert os.WIFSTOPPED(status), status
        others = [name for name in cluster.names if name != leader]

        async def has_successor() -> bool:
            for name in others:
                _, found = await cluster.request(name, "GET", "/v1/status")
                if found["leads"]:
                    context.successor = name
                    context.term = found["term"]
                    return True
            return False

        await wait_until(has_successor, "a successor leads")

    context.environment.run(run())


@when(
    "an edit is accepted by its successor while reads of the table and queries of its"
    " verdict wait at the suspended replica"
)
def step_requests_wait(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        edit = make_edit("successor-edit", context.old_version, [set_cell(4_321)])
        status, verdict = await cluster.request(
            context.successor, "POST", "/v1/edits", edit
        )
        assert (status, verdict["version"]) == (200, context.old_version + 1), verdict
        context.reads, context.queries = (
            [
                asyncio.create_task(cluster.request(context.suspended, "GET", path))
                for _ in range(WAITING_REQUESTS)
            ]
            for path in ("/v1/table", "/v1/edits/successor-edit")
        )
        # The kernel accepts the connections, but the suspended process cannot answer.
        await asyncio.sleep(SUSPENDED_WAIT_SECONDS)
        assert not any(task.done() for task in [*context.reads, *context.queries])

    context.environment.run(run())


@when("the suspended replica resumes")
def step_resume(context: Any) -> None:
    async def run() -> None:
        context.cluster.processes[context.suspended].send_signal(signal.SIGCONT)
        context.table_answers = await asyncio.gather(*context.reads)
        context.verdict_answers = await asyncio.gather(*context.queries)

    context.environment.run(run())


@then("the waiting reads of the table do not return the old version")
def step_no_old_version(context: Any) -> None:
    for status, document in context.table_answers:
        assert status in (200, 421, 503), (status, document)
        if status == 200:
            assert document["version"] > context.old_version, document


@then("no waiting query of the verdict is answered that there is no such edit")
def step_no_missing_edit(context: Any) -> None:
    for status, document in context.verdict_answers:
        assert status in (200, 421, 503), (status, document)


@then(
    "an edit of the old version is not accepted by the resumed replica and conflicts at"
    " the leader"
)
def step_stale_edit_not_accepted(context: Any) -> None:
    async def run() -> None:
        edit = make_edit("late-edit", context.old_version, [set_cell(5_555)])
        cluster = context.cluster
        status, verdict = await cluster.request(
            context.suspended, "POST", "/v1/edits", edit
        )
        assert status in (421, 503), (status, verdict)
        status, verdict = await cluster.ask("POST", "/v1/edits", edit)
        assert status == 409, verdict
        assert verdict["winner"]["edit_key"] == "successor-edit", verdict

    context.environment.run(run())


@then("the resumed replica follows the successor within the time limit of the test")
def step_follows(context: Any) -> None:
    async def run() -> None:
        async def follows() -> bool:
            _, found = await context.cluster.request(
                context.suspended, "GET", "/v1/status"
            )
            return not found["leads"] and found["leader_id"] == context.successor

        await wait_until(follows, "the resumed replica follows the successor")

    context.environment.run(run())


@given("a node that serves a repeatable and a claimed row of the control cluster")
def step_node(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        node = await cluster.start_node("node-a")
        context.backend_server = await context.environment.start_backend_server(
            node.addresses["announce"]
        )
        cells = {"service": "books", "deadline_ms": 3_000}
        rows = [
            {"kind": "add", "row": name, "cells": {**cells, **more}}
            for name, more in (
                ("read", {"repeatable": True}),
                ("book", {"repeatable": False, "path_prefix": "/book"}),
            )
        ]
        status, verdict = await cluster.edit("rows", 1, rows)
        assert status == 200, verdict
        context.version = verdict["version"]

        async def serves() -> bool:
            outcomes = [
                await context.environment.call(node.addresses["caller"], path)
                for path in ("/read", "/book")
            ]
            return outcomes == ["done", "done"]

        await wait_until(serves, "the node serves both rows")

    context.environment.run(run())


@when("two of the three replicas are killed")
def step_kill_two(context: Any) -> None:
    for name in context.cluster.names[:2]:
        context.cluster.processes[name].kill()
        assert context.cluster.processes[name].status == -signal.SIGKILL
    context.remaining = context.cluster.names[2]


@then("edits of the control cluster get the verdict unknown or are refused")
def step_edit_not_accepted(context: Any) -> None:
    async def run() -> None:
        for number in range(3):
            edit = make_edit(f"no-quorum-{number}", context.version, [set_cell(77)])
            status, verdict = await context.cluster.request(
                context.remaining, "POST", "/v1/edits", edit
            )
            assert status in (421, 503), (status, verdict)
            if status == 503:
                assert verdict["verdict"] == "unknown", verdict
            await asyncio.sleep(0.5)

    context.environment.run(run())


@then("claims of the control cluster get no verdict")
def step_claim_unavailable(context: Any) -> None:
    async def run() -> None:
        session = await context.environment.session("node-z")
        try:
            verdict = await session.claim(new_key(), "attempt-1", CLAIM_TIMEOUT_MS)
        except UnavailableError:
            return
        raise AssertionError(f"claim got a verdict without a quorum: {verdict}")

    context.environment.run(run())


@then("the remaining replica does not answer that an edit does not exist")
def step_edit_not_missing(context: Any) -> None:
    status, document = context.environment.run(
        context.cluster.request(context.remaining, "GET", "/v1/edits/no-quorum-0")
    )
    assert status in (421, 503), (status, document)


@then(
    "the node still serves the repeatable row and answers the claimed row as unknown "
    "without running it"
)
def step_node_serves(context: Any) -> None:
    async def run() -> None:
        address = context.cluster.processes["node-a"].addresses["caller"]
        ran = len(context.backend_server.paths)
        assert await context.environment.call(address, "/book") == "unknown"
        assert len(context.backend_server.paths) == ran, context.backend_server.paths
        assert await context.environment.call(address, "/read") == "done"

    context.environment.run(run())


@when("the two killed replicas are restarted")
def step_restart_two(context: Any) -> None:
    async def run() -> None:
        for name in context.cluster.names[:2]:
            await context.cluster.restart(name)

    context.environment.run(run())


@then("edits and claims of the control cluster are accepted again")
def step_accepted_again(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        _, table = await cluster.ask("GET", "/v1/table")
        status, verdict = await cluster.edit(
            "after-loss", table["version"], [set_cell(99)]
        )
        assert status == 200, verdict
        session = context.environment.sessions[0]
        assert await session.claim(new_key(), "attempt-2") == "granted"

    context.environment.run(run())
