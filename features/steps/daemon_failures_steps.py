"""Steps for failures and shutdowns of daemon and backend server processes."""

from __future__ import annotations

import asyncio
import json
import signal
from typing import Any

from behave import given
from behave import then
from behave import when
from daemon_test_deployment import Reply
from daemon_test_deployment import TestDeployment
from daemon_test_deployment import new_key
from daemon_test_deployment import service_spec
from daemon_test_deployment import shared_deployment
from marjoramstep_core.clock import SystemClock
from support.failure_deployment import DOWNLOAD_BYTES
from support.failure_deployment import ENTRY_NODE


CLOCK = SystemClock()
MARKER = b"CRASH-THE-SERVER"
IN_TRANSIT_MARGIN_MS = 100.0
# More than the successful probes that end a suspension.
USED_STORE_CALLS = 5
USED_WAIT_MS = 30_000.0
# A quarantine must be in force at all nodes within seconds.
QUARANTINE_WAIT_MS = 5_000.0


def failure_document() -> dict[str, Any]:
    """Describe many stores, which scenarios kill one by one, and fragile servers.

    A fragile server crashes when the body of a request contains ``MARKER``.
    """
    store = {
        "/": ("constant", 5, {}),
        "/slow": ("constant", 1_500, {}),
        "/download": ("constant", 5, {"answer_bytes": DOWNLOAD_BYTES}),
    }
    fragile = {"/": ("constant", 5, {}), "/popular": ("constant", 150, {})}
    long = {"repeatable": True, "deadline_ms": 30_000, "body_limit_bytes": 30_000_000}
    rows = [
        {"name": "settle", "service": "store", "path_prefix": "/slow"},
        {"name": "long", "service": "store", **long},
        {"name": "fragile", "service": "fragile", "repeatable": True},
        {"name": "gate", "service": "gate", "repeatable": True},
    ]
    return {
        "name": "failures",
        "zones": ["a"],
        "replicas": 3,
        "services": [
            service_spec("gate", 3, {"/": ("constant", 5, {})}),
            service_spec("store", 7, store),
            service_spec("fragile", 3, fragile, crash_marker=MARKER.decode()),
        ],
        "rows": rows,
    }


@given("a deployment with many stores and servers that crash on a marker")
def step_deployment(context: Any) -> None:
    context.deployment = shared_deployment(context, "failures", failure_document, [])


def _running_store(deployment: TestDeployment, *, last: bool = False) -> str:
    """Return the first or the last store that still runs with its node."""
    processes = deployment.cluster.processes
    names = [name for name in processes if name.startswith("store-")]
    if last:
        names.reverse()
    return next(
        name
        for name in names
        if processes[name].is_running and processes[f"node-{name}"].is_running
    )


async def _wait_until_used(deployment: TestDeployment, store: str) -> None:
    """Make calls until the router sends regular traffic to a store.

    On a busy machine the router may have suspended it; it receives only probes then.
    """
    served = 0
    deadline_ms = CLOCK.now_ms() + USED_WAIT_MS
    while served < USED_STORE_CALLS:
        assert CLOCK.now_ms() < deadline_ms, f"{store} gets no calls"
        key = new_key()
        await deployment.call(
            ENTRY_NODE, "store", "/", key=key, data=b"1", deadline_ms=4_000
        )
        served += any(run.server == store for run in deployment.runs(key))


async def _settle(
    deployment: TestDeployment, key: str, deadline_ms: float = 4_000
) -> Reply:
    return await deployment.call(
        ENTRY_NODE, "store", "/slow", key=key, data=b"1", deadline_ms=deadline_ms
    )


async def _resend(context: Any) -> None:
    context.resends = [await _settle(context.deployment, context.key) for _ in range(3)]
    context.runs = context.deployment.runs(context.key)


@when("the node that serves a slow settlement is killed")
def step_kill(context: Any) -> None:
    deployment: TestDeployment = context.deployment
    context.key = new_key()

    async def scenario() -> None:
        task = asyncio.create_task(_settle(deployment, context.key))
        server = await deployment.server_of(context.key)
        deployment.cluster.processes[f"node-{server}"].kill()
        assert not any(run.result == "done" for run in deployment.runs(context.key))
        context.reply = await task
        deployment.cluster.processes[server].kill()
        await _resend(context)

    deployment.run(scenario())


@then("the sender is told that the outcome is unknown")
def step_unknown(context: Any) -> None:
    assert context.reply.outcome == "unknown", context.reply


@then("resends of the settlement are told that it is unknown and it ran once")
def step_resends(context: Any) -> None:
    assert {reply.outcome for reply in context.resends} == {"unknown"}, context.resends
    assert len(context.runs) == 1, context.runs


@when("the node that serves a slow settlement is stopped past its deadline and resumed")
def step_freeze(context: Any) -> None:
    deployment: TestDeployment = context.deployment
    context.key = new_key()

    async def scenario() -> None:
        task = asyncio.create_task(_settle(deployment, context.key, 2_000))
        node = f"node-{await deployment.server_of(context.key)}"
        deployment.signal(node, signal.SIGSTOP)
        try:
            context.reply = await task
            await _resend(context)
        finally:
            deployment.signal(node, signal.SIGCONT)
        await asyncio.sleep(0.5)
        context.resends.append(await _settle(deployment, context.key))
        context.runs = deployment.runs(context.key)

    deployment.run(scenario())


@then("resends of the settlement are never told that it has not run and it ran once")
def step_never_not_run(context: Any) -> None:
    outcomes = [reply.outcome for reply in context.resends]
    assert set(outcomes) <= {"unknown", "done"}, context.resends
    assert "unknown" in outcomes, "no resend was made while the node was frozen"
    assert len(context.runs) == 1, context.runs


@when("settlements are sent to a frozen node and it is resumed after their deadlines")
def step_frozen_calls(context: Any) -> None:
    deployment: TestDeployment = context.deployment

    async def scenario() -> None:
        # The previous scenario may have frozen the first store, which the router avoids
        # for a while.
        store = _running_store(deployment, last=True)
        node = f"node-{store}"
        await _wait_until_used(deployment, store)
        deployment.signal(node, signal.SIGSTOP)
        keys = [new_key() for _ in range(40)]
        try:
            replies = await asyncio.gather(
                *(_settle(deployment, k, 1_000) for k in keys)
            )
        finally:
            deployment.signal(node, signal.SIGCONT)
        context.settled = dict(zip(keys, replies, strict=True))
        await asyncio.sleep(1.0)
        context.runs = deployment.runs()

    deployment.run(scenario())


@then("each of those settlements ran at most once and those told not-run never ran")
def step_at_most_once(context: Any) -> None:
    counts = {key: 0 for key in context.settled}
    for run in context.runs:
        if run.key in counts:
            counts[run.key] += 1
    for key, reply in context.settled.items():
        assert reply.outcome in ("not-run", "unknown", "done"), reply
        assert counts[key] <= (0 if reply.outcome == "not-run" else 1), (key, reply)
    unknown = [k for k, r in context.settled.items() if r.outcome == "unknown"]
    assert any(counts[key] == 0 for key in unknown), (
        "no call was routed to the frozen node"
    )


@when("a store server drains while calls continue")
def step_drain(context: Any) -> None:
    deployment: TestDeployment = context.deployment
    server = _running_store(deployment)
    control = deployment.address(server, "control_address")
    metrics = deployment.address(f"node-{server}", "metrics_address")

    async def scenario() -> None:
        keys: list[str] = []
        replies: list[Reply] = []
        stop = asyncio.Event()

        async def caller() -> None:
            while not stop.is_set():
                keys.append(new_key())
                replies.append(
                    await deployment.call(ENTRY_NODE, "store", "/x", key=keys[-1])
                )

        callers = [asyncio.create_task(caller()) for _ in range(12)]
        await deployment.wait_until(
            lambda: any(
                r.server == server and r.key in keys for r in deployment.runs()
            ),
            "a run at the server",
        )
        async with deployment.session.post(
            f"http://{control}/drain", data=b"{}"
        ) as answer:
            assert answer.status == 200
        context.drained_ms = CLOCK.now_ms()
        while True:
            status = json.loads(await deployment.get_text(metrics, "/status"))
            if status["server_state"] == "draining":
                break
        context.learned_ms = CLOCK.now_ms()
        await asyncio.sleep(3.2)
        stop.set()
        await asyncio.gather(*callers)
        context.replies = replies
        context.runs = [run for run in deployment.runs() if run.key in set(keys)]

    context.server = server
    deployment.run(scenario())


@then("no call was sent to it after its node had learned of the drain")
def step_after_learned(context: Any) -> None:
    starts = [run.started_ms for run in context.runs if run.server == context.server]
    assert starts, "the server had no work before its drain"
    # A request that the node sent immediately before is not new work.
    assert max(starts) < context.learned_ms + IN_TRANSIT_MARGIN_MS


@then("no call started at it later than 3 seconds after the drain")
def step_after_three_seconds(context: Any) -> None:
    late_ms = context.drained_ms + 3_000.0
    starts = [run.started_ms for run in context.runs if run.server == context.server]
    assert max(starts) < late_ms
    others = [run.started_ms for run in context.runs if run.server != context.server]
    assert max(others) > late_ms, "the calls did not continue"


@then("every call made during the drain was answered")
def step_all_answered(context: Any) -> None:
    bad = [reply for reply in context.replies if reply.status != 200]
    assert not bad, (len(bad), bad[0])


@when("a request crashes two fragile servers while a popular request is in flight")
def step_crash(context: Any) -> None:
    deployment: TestDeployment = context.deployment
    servers = [f"fragile-{number}" for number in (1, 2, 3)]

    def running() -> list[str]:
        return [
            name for name in servers if deployment.cluster.processes[name].is_running
        ]

    async def popular(count: int) -> list[Reply]:
        calls = [
            deployment.call(ENTRY_NODE, "fragile", "/popular") for _ in range(count)
        ]
        return list(await asyncio.gather(*calls))

    async def scenario() -> None:
        assert len(running()) == 3
        await popular(60)
        context.crash_replies = []
        for left in (2, 1):
            popular_calls = asyncio.create_task(popular(30))
            await asyncio.sleep(0.05)
            reply = await _crash(deployment, ENTRY_NODE)
            context.crash_replies.append(reply)
            await deployment.wait_until(
                lambda n=left: len(running()) == n, f"the crash, after {reply}"
            )
            context.popular_replies = await popular_calls
            assert any(reply.outcome == "unknown" for reply in context.popular_replies)
        context.running = running

    deployment.run(scenario())


async def _crash(deployment: TestDeployment, entry: str) -> Reply:
    data = b"body with " + MARKER
    return await deployment.call(entry, "fragile", "/crash", key=new_key(), data=data)


async def _wait_for_quarantine(deployment: TestDeployment, node: str) -> None:
    """Wait until the quarantine, which is committed and replicated, reaches a node."""
    address = deployment.address(node, "metrics_address")
    limit_ms = CLOCK.now_ms() + QUARANTINE_WAIT_MS
    while not json.loads(await deployment.get_text(address, "/status"))["quarantined"]:
        assert CLOCK.now_ms() < limit_ms, f"no quarantine at {node}"
        await asyncio.sleep(0.02)


@then("the request is refused through every node, also under new keys")
def step_quarantined(context: Any) -> None:
    deployment: TestDeployment = context.deployment

    async def scenario() -> None:
        nodes = [
            node
            for node in deployment.cluster.entry_nodes()
            if deployment.cluster.processes[node].is_running
        ]
        for node in nodes:
            await _wait_for_quarantine(deployment, node)
        replies = [await _crash(deployment, node) for node in nodes for _ in range(3)]
        found = {(r.status, r.outcome, r.reason) for r in replies}
        assert found == {(422, "not-run", "quarantined")}, found

    assert {r.outcome for r in context.crash_replies} == {"unknown"}
    deployment.run(scenario())


@then("no third server has crashed and the popular request is served")
def step_no_third_crash(context: Any) -> None:
    deployment: TestDeployment = context.deployment
    assert len(context.running()) == 1
    reply = deployment.run(deployment.call(ENTRY_NODE, "fragile", "/popular"))
    assert (reply.status, reply.outcome) == (200, "done"), reply
