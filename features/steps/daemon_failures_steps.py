"""Steps for failures and shutdowns of daemon and backend server processes."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import zlib
from typing import Any

import aiohttp
from behave import given
from behave import then
from behave import when
from daemon_bench import Bench
from daemon_bench import Reply
from daemon_bench import new_key
from daemon_bench import service
from daemon_bench import shared_bench
from marjoramstep_core.clock import SystemClock


GATE = "node-gate-1"
CLOCK = SystemClock()
MARKER = b"CRASH-THE-SERVER"
UPLOAD = random.Random(3).randbytes(3_000_000)
DOWNLOAD_BYTES = 20_000_000
SIGNAL_MARGIN_MS = 100.0
# Exceeds the successful probes after which a suspended backend server is restored.
USED_STORE_CALLS = 5
USED_WAIT_MS = 30_000.0
# A quarantine must be in force at all nodes within seconds.
QUARANTINE_WAIT_MS = 5_000.0


def failure_document() -> dict[str, Any]:
    """Describe many stores, which scenarios kill one by one, and fragile servers."""
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
            service("gate", 3, {"/": ("constant", 5, {})}),
            service("store", 7, store),
            service("fragile", 3, fragile, crash_marker=MARKER.decode()),
        ],
        "rows": rows,
    }


@given("a deployment with many stores and fragile servers")
def step_deployment(context: Any) -> None:
    context.bench = shared_bench(context, "failures", failure_document, [])


def _running_store(bench: Bench, *, last: bool = False) -> str:
    """Return the first or the last store that still runs with its node."""
    processes = bench.cluster.processes
    names = [name for name in processes if name.startswith("store-")]
    if last:
        names.reverse()
    return next(
        name
        for name in names
        if processes[name].is_running and processes[f"node-{name}"].is_running
    )


async def _wait_until_used(bench: Bench, store: str) -> None:
    """Make calls until the router sends regular traffic to a store.

    On a busy machine the router may have suspended it; it receives only probes then.
    """
    served = 0
    deadline_ms = CLOCK.now_ms() + USED_WAIT_MS
    while served < USED_STORE_CALLS:
        assert CLOCK.now_ms() < deadline_ms, f"{store} gets no calls"
        key = new_key()
        await bench.call(GATE, "store", "/", key=key, data=b"1", deadline_ms=4_000)
        served += any(run.server == store for run in bench.runs(key))


async def _settle(bench: Bench, key: str, deadline_ms: float = 4_000) -> Reply:
    return await bench.call(
        GATE, "store", "/slow", key=key, data=b"1", deadline_ms=deadline_ms
    )


async def _resend(context: Any) -> None:
    context.resends = [await _settle(context.bench, context.key) for _ in range(3)]
    context.runs = context.bench.runs(context.key)


@when("the node that serves a slow settlement is killed")
def step_kill(context: Any) -> None:
    bench: Bench = context.bench
    context.key = new_key()

    async def scenario() -> None:
        task = asyncio.create_task(_settle(bench, context.key))
        server = await bench.server_of(context.key)
        bench.cluster.processes[f"node-{server}"].kill()
        assert not any(run.result == "done" for run in bench.runs(context.key))
        context.reply = await task
        bench.cluster.processes[server].kill()
        await _resend(context)

    bench.run(scenario())


@then("the sender is told that the outcome is unknown")
def step_unknown(context: Any) -> None:
    assert context.reply.outcome == "unknown", context.reply


@then("resends of the settlement are told that it is unknown and it ran once")
def step_resends(context: Any) -> None:
    assert {reply.outcome for reply in context.resends} == {"unknown"}, context.resends
    assert len(context.runs) == 1, context.runs


@when("the node that serves a slow settlement is stopped past its deadline and resumed")
def step_freeze(context: Any) -> None:
    bench: Bench = context.bench
    context.key = new_key()

    async def scenario() -> None:
        task = asyncio.create_task(_settle(bench, context.key, 2_000))
        node = f"node-{await bench.server_of(context.key)}"
        bench.signal(node, signal.SIGSTOP)
        try:
            context.reply = await task
            await _resend(context)
        finally:
            bench.signal(node, signal.SIGCONT)
        await asyncio.sleep(0.5)
        context.resends.append(await _settle(bench, context.key))
        context.runs = bench.runs(context.key)

    bench.run(scenario())


@then("resends of the settlement are never told that it has not run and it ran once")
def step_never_not_run(context: Any) -> None:
    outcomes = [reply.outcome for reply in context.resends]
    assert set(outcomes) <= {"unknown", "done"}, context.resends
    assert "unknown" in outcomes, "no resend was made while the node was frozen"
    assert len(context.runs) == 1, context.runs


@when("settlements are sent to a frozen node and it is resumed after their deadlines")
def step_frozen_calls(context: Any) -> None:
    bench: Bench = context.bench

    async def scenario() -> None:
        # The previous scenario may have frozen the first store, which the router avoids
        # for a while.
        store = _running_store(bench, last=True)
        node = f"node-{store}"
        await _wait_until_used(bench, store)
        bench.signal(node, signal.SIGSTOP)
        keys = [new_key() for _ in range(40)]
        try:
            replies = await asyncio.gather(*(_settle(bench, k, 1_000) for k in keys))
        finally:
            bench.signal(node, signal.SIGCONT)
        context.settled = dict(zip(keys, replies, strict=True))
        await asyncio.sleep(1.0)
        context.runs = bench.runs()

    bench.run(scenario())


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
    bench: Bench = context.bench
    server = _running_store(bench)
    control = bench.address(server, "control_address")
    metrics = bench.address(f"node-{server}", "metrics_address")

    async def scenario() -> None:
        keys: list[str] = []
        replies: list[Reply] = []
        stop = asyncio.Event()

        async def caller() -> None:
            while not stop.is_set():
                keys.append(new_key())
                replies.append(await bench.call(GATE, "store", "/x", key=keys[-1]))

        callers = [asyncio.create_task(caller()) for _ in range(12)]
        await bench.until(
            lambda: any(r.server == server and r.key in keys for r in bench.runs()),
            "a run at the server",
        )
        async with bench.session.post(f"http://{control}/drain", data=b"{}") as answer:
            assert answer.status == 200
        context.drained_ms = CLOCK.now_ms()
        while True:
            status = json.loads(await bench.get_text(metrics, "/status"))
            if status["server_state"] == "draining":
                break
        context.learned_ms = CLOCK.now_ms()
        await asyncio.sleep(3.2)
        stop.set()
        await asyncio.gather(*callers)
        context.replies = replies
        context.runs = [run for run in bench.runs() if run.key in set(keys)]

    context.server = server
    bench.run(scenario())


@then("no call started at it after its node had learned of the drain")
def step_after_learned(context: Any) -> None:
    starts = [run.started_ms for run in context.runs if run.server == context.server]
    assert starts, "the server had no work before its drain"
    # A request that the node sent immediately before is not new work.
    assert max(starts) < context.learned_ms + SIGNAL_MARGIN_MS


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


class SlowUpload:
    """A request body that pauses in the middle until ``resume`` is set."""

    def __init__(self) -> None:
        self.resume = asyncio.Event()

    async def parts(self) -> Any:
        """Yield the body in two halves."""
        half = len(UPLOAD) // 2
        for offset in range(0, len(UPLOAD), 50_000):
            if offset == half:
                await self.resume.wait()
            yield UPLOAD[offset : offset + 50_000]


async def _upload(context: Any, entry: str, signals: int, *, at_entry: bool) -> None:
    bench: Bench = context.bench
    context.key = new_key()
    body = SlowUpload()
    task = asyncio.create_task(
        bench.call(entry, "store", "/up", key=context.key, data=body.parts())
    )
    server = await bench.server_of(context.key)
    node = context.node = entry if at_entry else f"node-{server}"
    bench.signal(node, signal.SIGTERM)
    await bench.until(lambda: bench.log(node, "stopping"), "the start of the shutdown")
    await asyncio.sleep(0.3)
    context.refused = await bench.call(node, "gate", "/x", key=new_key())
    assert not task.done()
    if signals == 2:
        bench.signal(node, signal.SIGTERM)
        await bench.until(lambda: bench.log(node, "stopped"), "the end of the shutdown")
    body.resume.set()
    context.reply = await task
    process = bench.cluster.processes[node]
    await bench.until(lambda: not process.is_running, "the end of the process")
    context.status = process.status


@when("the node that serves an upload gets SIGTERM in the middle of it")
def step_serving(context: Any) -> None:
    context.bench.run(_upload(context, GATE, 1, at_entry=False))


@when("the entry node of an upload gets SIGTERM in the middle of it")
def step_entry(context: Any) -> None:
    context.bench.run(_upload(context, "node-gate-3", 1, at_entry=True))


@when("the node that serves an upload gets SIGTERM twice in the middle of it")
def step_serving_twice(context: Any) -> None:
    context.bench.run(_upload(context, GATE, 2, at_entry=False))


@then("the upload is complete and the node ends with status 0")
def step_complete(context: Any) -> None:
    text = f"{context.key} POST /up {len(UPLOAD)} {zlib.crc32(UPLOAD)} store-"
    assert context.reply.body.startswith(text.encode()), context.reply
    assert context.reply.outcome == "done"
    assert context.status == 0
    stopped = context.bench.log(context.node, "stopped")
    assert stopped[-1]["cut_off"] == [], stopped


@then("new calls to that node are refused as not-run")
def step_new_refused(context: Any) -> None:
    assert context.refused.outcome == "not-run", context.refused
    assert context.refused.reason == "shutting-down"


@then("the upload is not reported as done")
def step_not_done(context: Any) -> None:
    assert context.reply.outcome == "unknown", context.reply


@then("the node ends with status 1 and logs the upload as interrupted")
def step_cut_off(context: Any) -> None:
    assert context.status == 1
    stopped = context.bench.log(context.node, "stopped")
    assert context.key in stopped[-1]["cut_off"], stopped


async def _download(context: Any, entry: str, action: Any) -> None:
    """Read a part of a download, await an action, and read the rest."""
    bench: Bench = context.bench
    context.key = new_key()
    headers = {"Marjoramstep-Service": "store", "Marjoramstep-Key": context.key}
    url = f"http://{bench.address(entry)}/download"
    context.error = None
    content = b""
    async with bench.session.get(url, headers=headers) as answer:
        assert answer.status == 200, answer
        try:
            content = await answer.content.readexactly(100_000)
            await action(await bench.server_of(context.key))
            content += await answer.content.read()
        except (aiohttp.ClientError, OSError, asyncio.IncompleteReadError) as error:
            context.error = error
    context.content = content


@when("the entry node of a download gets SIGTERM in the middle of it")
def step_download(context: Any) -> None:
    bench: Bench = context.bench
    node = context.node = "node-gate-2"

    async def action(_server: str) -> None:
        bench.signal(node, signal.SIGTERM)
        await bench.until(lambda: bench.log(node, "stopping"), "the shutdown")
        await asyncio.sleep(1.0)

    async def scenario() -> None:
        await _download(context, node, action)
        process = bench.cluster.processes[node]
        await bench.until(lambda: not process.is_running, "the end of the process")
        context.status = process.status

    bench.run(scenario())


@then("the download is complete and the node ends with status 0")
def step_downloaded(context: Any) -> None:
    assert context.error is None, context.error
    assert len(context.content) == DOWNLOAD_BYTES, len(context.content)
    assert context.status == 0


@when("a backend server is killed in the middle of a download")
def step_kill_server(context: Any) -> None:
    bench: Bench = context.bench

    async def action(server: str) -> None:
        bench.cluster.processes[server].kill()
        await asyncio.sleep(0.3)

    bench.run(_download(context, GATE, action))


@then("the caller's download ends with an error before it is complete")
def step_not_complete(context: Any) -> None:
    assert context.error is not None
    assert len(context.content) < DOWNLOAD_BYTES


@when("a request crashes two fragile servers while a popular request is in flight")
def step_crash(context: Any) -> None:
    bench: Bench = context.bench
    servers = [f"fragile-{number}" for number in (1, 2, 3)]

    def running() -> list[str]:
        return [name for name in servers if bench.cluster.processes[name].is_running]

    async def popular(count: int) -> list[Reply]:
        calls = [bench.call(GATE, "fragile", "/popular") for _ in range(count)]
        return list(await asyncio.gather(*calls))

    async def scenario() -> None:
        assert len(running()) == 3
        await popular(60)
        context.crash_replies = []
        for left in (2, 1):
            popular_calls = asyncio.create_task(popular(30))
            await asyncio.sleep(0.05)
            context.crash_replies.append(await _crash(bench, GATE))
            await bench.until(lambda n=left: len(running()) == n, "the crash")
            context.popular_replies = await popular_calls
            assert any(reply.outcome == "unknown" for reply in context.popular_replies)
        context.running = running

    bench.run(scenario())


async def _crash(bench: Bench, entry: str) -> Reply:
    data = b"body with " + MARKER
    return await bench.call(entry, "fragile", "/crash", key=new_key(), data=data)


async def _wait_for_quarantine(bench: Bench, node: str) -> None:
    """Wait until the quarantine, which is committed and replicated, reaches a node."""
    address = bench.address(node, "metrics_address")
    limit_ms = CLOCK.now_ms() + QUARANTINE_WAIT_MS
    while not json.loads(await bench.get_text(address, "/status"))["quarantined"]:
        assert CLOCK.now_ms() < limit_ms, f"no quarantine at {node}"
        await asyncio.sleep(0.02)


@then("the request is refused through every node, also under new keys")
def step_quarantined(context: Any) -> None:
    bench: Bench = context.bench

    async def scenario() -> None:
        nodes = [
            node
            for node in bench.cluster.entry_nodes()
            if bench.cluster.processes[node].is_running
        ]
        for node in nodes:
            await _wait_for_quarantine(bench, node)
        replies = [await _crash(bench, node) for node in nodes for _ in range(3)]
        found = {(r.status, r.outcome, r.reason) for r in replies}
        assert found == {(422, "not-run", "quarantined")}, found

    assert {r.outcome for r in context.crash_replies} == {"unknown"}
    bench.run(scenario())


@then("no third server has crashed and the popular request is served")
def step_no_third_crash(context: Any) -> None:
    bench: Bench = context.bench
    assert len(context.running()) == 1
    reply = bench.run(bench.call(GATE, "fragile", "/popular"))
    assert (reply.status, reply.outcome) == (200, "done"), reply
