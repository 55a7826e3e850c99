"""Steps for requests of operators to the replicas."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_replay.measure.control_cluster import make_edit
from marjoramstep_replay.measure.control_cluster import set_cell
from support.control_test_environment import ControlTestEnvironment
from support.control_test_environment import Relay
from support.control_test_environment import wait_until


EDITS = {"ana": ("ana-edit", 2_001), "luis": ("luis-edit", 2_002)}
PATHS = (
    ("GET", "/v1/table"),
    ("GET", "/v1/audit"),
    ("GET", "/v1/replicas"),
    ("GET", "/v1/members"),
    ("GET", "/v1/quarantine"),
    ("GET", "/v1/status"),
    ("GET", "/v1/edits/some-edit"),
    ("POST", "/v1/edits"),
    ("POST", "/v1/replicas/replica-1/remove"),
    ("GET", "/v1/unknown"),
)
OK = 200
UNAUTHORIZED = 401
MISDIRECTED = 421


@given("a control cluster of 1 replica")
def step_single(context: Any) -> None:
    context.environment = environment = ControlTestEnvironment()
    context.stack.callback(environment.close)
    environment.run(environment.start(1))
    context.cluster = environment.cluster


def _edit_of(operator: str) -> dict[str, Any]:
    key, value = EDITS[operator]
    return make_edit(key, 1, [set_cell(value)])


@when("two operators edit the same version while a relay drops the answers")
def step_lost_answers(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        leader = await cluster.wait_for_leader()
        relays = []
        for operator in EDITS:
            relay = Relay(cluster.processes[leader].addresses["operator"])
            await relay.start()
            relay.drops_answers = True
            context.environment.relays[operator, leader] = relay
            relays.append(relay)
        requests = [
            asyncio.create_task(
                cluster.request(
                    leader,
                    "POST",
                    "/v1/edits",
                    _edit_of(operator),
                    operator,
                    relay.address,
                )
            )
            for operator, relay in zip(EDITS, relays, strict=True)
        ]

        async def both_dropped() -> bool:
            return all(relay.unforwarded_bytes for relay in relays)

        await wait_until(both_dropped, "both answers are dropped")
        assert not any(task.done() for task in requests)
        for task in requests:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    context.environment.run(run())


async def _resend(context: Any) -> dict[str, Any]:
    cluster = context.cluster
    verdicts = {}
    for operator in EDITS:
        verdicts[operator] = await cluster.ask(
            "POST", "/v1/edits", _edit_of(operator), operator
        )
    return verdicts


@when("both operators resend their edits to every replica")
def step_resend_all(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        await asyncio.gather(
            *(
                cluster.request(name, "POST", "/v1/edits", _edit_of(op), op)
                for name in cluster.names
                for op in EDITS
            )
        )
        context.first_verdicts = await _resend(context)

    context.environment.run(run())


@then("one edit was accepted and the verdict of the other one names the winner")
def step_one_winner(context: Any) -> None:
    by_status = {
        status: (operator, verdict)
        for operator, (status, verdict) in context.first_verdicts.items()
    }
    assert sorted(by_status) == [200, 409], context.first_verdicts
    winner, accepted = by_status[200]
    context.winner = winner
    assert accepted["version"] == 2, accepted
    found = by_status[409][1]["winner"]
    assert found["operator"] == winner, found
    assert found["edit_key"] == EDITS[winner][0], found
    assert found["version"] == 2, found


@when("the leader is killed and both operators resend their edits")
def step_resend_after_loss(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        leader = await cluster.wait_for_leader()
        cluster.processes[leader].kill()
        assert cluster.processes[leader].status == -signal.SIGKILL
        assert await cluster.wait_for_leader(leader) != leader
        context.resent_verdicts = await _resend(context)

    context.environment.run(run())


@when("all replicas are restarted and both operators resend their edits")
def step_resend_after_restart(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        for name in cluster.names:
            cluster.processes[name].kill()
            assert not cluster.processes[name].is_running
        await asyncio.gather(*map(cluster.restart, cluster.names))
        context.resent_verdicts = await _resend(context)

    context.environment.run(run())


@then("both operators get the same verdicts as before")
def step_same_verdicts(context: Any) -> None:
    assert context.resent_verdicts == context.first_verdicts, (
        context.resent_verdicts,
        context.first_verdicts,
    )


@then("the table of the control cluster was changed only once")
def step_changed_once(context: Any) -> None:
    _, table = context.environment.run(context.cluster.ask("GET", "/v1/table"))
    assert table["version"] == 2, table["version"]
    assert table["rows"][0]["deadline_ms"] == EDITS[context.winner][1], table
    _, audit = context.environment.run(context.cluster.ask("GET", "/v1/audit"))
    verdicts = [entry["verdict"] for entry in audit["entries"]]
    assert verdicts == ["accepted", "conflict"], audit


@when(
    "requests with no token and with a wrong token are sent to the paths of the replica"
)
def step_bad_tokens(context: Any) -> None:
    async def run() -> None:
        edit = make_edit("intruder", 1, [set_cell(1)])
        context.statuses = {}
        for token in ("", "wrong-token"):
            for method, path in PATHS:
                document = edit if method == "POST" else None
                status, _ = await context.cluster.request(
                    "replica-1", method, path, document, token
                )
                context.statuses[token, method, path] = status

    context.environment.run(run())


@then("each of the requests is refused with status 401 and nothing was changed")
def step_all_unauthorized(context: Any) -> None:
    wrong = {k: s for k, s in context.statuses.items() if s != UNAUTHORIZED}
    assert not wrong, wrong
    _assert_unchanged(context)


def _assert_unchanged(context: Any) -> None:
    _, table = context.environment.run(context.cluster.ask("GET", "/v1/table"))
    assert table["version"] == 1, table
    _, audit = context.environment.run(context.cluster.ask("GET", "/v1/audit"))
    assert audit["entries"] == [], audit


@when(
    "an operator sends an edit with a valid token to the caller, announce and metrics"
    " address of a node"
)
def step_edit_at_node(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        node = await cluster.start_node("node-a")

        async def has_table() -> bool:
            return await cluster.node_version("node-a") == 1

        await wait_until(has_table, "the node has the table")
        edit = make_edit("at-node", 1, [set_cell(1)])
        context.answers = {}
        for kind in ("caller", "announce", "metrics"):
            address = node.addresses[kind]
            for method, path in PATHS:
                document = edit if method == "POST" else None
                context.answers[kind, method, path] = await cluster.request(
                    "", method, path, document, address=address
                )

    context.environment.run(run())


@then("none of these addresses accepts it and nothing was changed")
def step_not_accepted(context: Any) -> None:
    assert len(context.answers) == 3 * len(PATHS)
    for where, (status, document) in context.answers.items():
        assert not 200 <= status < 300, (where, status, document)
        assert "verdict" not in document, (where, document)
    _assert_unchanged(context)


@when("an operator makes an edit and reads the audit trail at every replica")
def step_audit_everywhere(context: Any) -> None:
    async def run() -> None:
        cluster = context.cluster
        context.leader = await cluster.wait_for_leader()
        status, _ = await cluster.edit("audited-edit", 1, [set_cell(2_003)])
        assert status == OK, status
        context.audits = {
            name: await cluster.request(name, "GET", "/v1/audit")
            for name in cluster.names
        }

    context.environment.run(run())


@then("only the leader returns the audit trail, and the others name no entries")
def step_leader_answers(context: Any) -> None:
    for name, (status, document) in context.audits.items():
        if name == context.leader:
            keys = [entry["after"]["edit_key"] for entry in document["entries"]]
            assert keys == ["audited-edit"], document
        else:
            assert status == MISDIRECTED, (name, status)
            assert "entries" not in document, (name, document)


@then("a local read returns the state of each replica")
def step_local_audit(context: Any) -> None:
    async def run() -> None:
        for name in context.cluster.names:
            answer = await context.cluster.request(name, "GET", "/v1/audit?local=1")
            assert answer[0] == OK, (name, answer)
            assert isinstance(answer[1]["entries"], list), (name, answer)

    context.environment.run(run())
