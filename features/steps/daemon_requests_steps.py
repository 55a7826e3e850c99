"""Steps for requests between processes: outcomes, keys, streams and call chains."""

from __future__ import annotations

import asyncio
import random
import zlib
from typing import Any

from behave import given
from behave import then
from behave import when
from daemon_test_deployment import Reply
from daemon_test_deployment import TestDeployment
from daemon_test_deployment import new_key
from daemon_test_deployment import service_spec
from daemon_test_deployment import shared_deployment


SEED = 4711
STREAM_BYTES = 20_000_000
KEY_LIFETIME_MS = 24 * 3_600_000
FRONT, MID, LEAF, STORE = "node-front-1", "node-mid-1", "node-leaf-1", "node-store-1"


def chain_document(replicas: int = 3) -> dict[str, Any]:
    """Describe a deployment with three services in a call chain, and a store."""

    def paths_calling(callee: str) -> dict[str, Any]:
        return {
            "/": ("constant", 2, {}),
            "/chain": (
                "constant",
                2,
                {"calls": [{"service": callee, "path": "/slow"}]},
            ),
            "/bad": (
                "constant",
                2,
                {
                    "calls": [
                        {
                            "service": callee,
                            "path": "/bad",
                            "retries": 3,
                            "backoff_ms": 1,
                        }
                    ]
                },
            ),
        }

    front, mid, leaf = (
        paths_calling("mid"),
        paths_calling("leaf"),
        paths_calling("absent"),
    )
    front["/chain"][2]["calls"][0]["path"] = "/chain"
    leaf["/bad"][2]["calls"][0]["retries"] = 0
    leaf["/slow"] = ("constant", 10_000, {})
    leaf["/random"] = ("exponential", 60, {})
    leaf["/download"] = ("constant", 5, {"answer_bytes": STREAM_BYTES})
    store = {"/": ("constant", 5, {}), "/slow": ("constant", 1_500, {})}
    services = [
        service_spec("front", 1, front),
        service_spec("mid", 1, mid),
        service_spec("leaf", 2, leaf),
        service_spec("store", 2, store),
    ]
    repeatable = {"repeatable": True, "deadline_ms": 15_000}
    rows = [{"name": n, "service": n, **repeatable} for n in ("front", "mid", "leaf")]
    limit = {"body_limit_bytes": 2 * STREAM_BYTES, "size_class": "long"}
    rows.append(
        {"name": "long", "service": "leaf", "path_prefix": "/up", **repeatable, **limit}
    )
    rows.append({"name": "store", "service": "store", "deadline_ms": 8_000})
    return {
        "name": "chain",
        "zones": ["a", "b"],
        "replicas": replicas,
        "services": services,
        "rows": rows,
    }


@given("a deployment with a call chain and a store")
def step_deployment(context: Any) -> None:
    context.deployment = shared_deployment(context, "chain", chain_document, [])


def _answers_key(reply: Reply, key: str) -> bool:
    return reply.body.startswith(f"{key} ".encode())


@when("{count:d} calls with random delays and deadlines go through all nodes")
def step_random_calls(context: Any, count: int) -> None:
    deployment: TestDeployment = context.deployment
    rng = random.Random(SEED)
    nodes = deployment.cluster.entry_nodes()

    async def delayed_call(key: str, deadline_ms: float, delay: float) -> Reply:
        await asyncio.sleep(delay)
        return await deployment.call(
            rng.choice(nodes), "leaf", "/random", key=key, deadline_ms=deadline_ms
        )

    async def scenario() -> None:
        keys = [new_key() for _ in range(count)]
        replies = await asyncio.gather(
            *(delayed_call(key, rng.uniform(5, 250), rng.uniform(0, 2)) for key in keys)
        )
        context.replies = dict(zip(keys, replies, strict=True))
        await asyncio.sleep(0.5)

    deployment.run(scenario())


@then("each call has exactly one outcome and no answer of another call")
def step_one_outcome(context: Any) -> None:
    for key, reply in context.replies.items():
        assert reply.outcome in ("done", "not-run", "unknown"), (key, reply)
        assert reply.headers["Marjoramstep-Key"] == key
        if reply.status == 200:
            assert reply.outcome == "done"
            assert _answers_key(reply, key), (key, reply.body[:80])


@then("no call that is reported as not-run is in a run log")
def step_not_run(context: Any) -> None:
    started = {run.key for run in context.deployment.runs()}
    for key, reply in context.replies.items():
        if reply.outcome == "not-run":
            assert key not in started, (key, reply)
        if reply.status == 200:
            assert key in started


@then("at least one call exceeded its deadline and at least one was answered")
def step_deadline_and_answer(context: Any) -> None:
    reasons = {reply.reason for reply in context.replies.values()}
    assert "deadline" in reasons, reasons
    assert any(reply.status == 200 for reply in context.replies.values())


@when("20 MB are uploaded and 20 MB are downloaded twice while short calls continue")
def step_streams(context: Any) -> None:
    deployment: TestDeployment = context.deployment
    rng = random.Random(SEED)
    contents = [rng.randbytes(STREAM_BYTES) for _ in range(2)]

    async def chunks(content: bytes) -> Any:
        for offset in range(0, len(content), 100_000):
            yield content[offset : offset + 100_000]

    async def scenario() -> None:
        keys = [new_key() for _ in range(4)]
        # The second upload has no declared length.
        datas: list[Any] = [contents[0], chunks(contents[1])]
        tasks = [
            asyncio.create_task(deployment.call(MID, "leaf", "/up", key=key, data=data))
            for key, data in zip(keys, datas, strict=False)
        ]
        tasks += [
            asyncio.create_task(deployment.call(FRONT, "leaf", "/download", key=key))
            for key in keys[2:]
        ]
        context.short_replies = {}
        while not all(task.done() for task in tasks):
            key = new_key()
            context.short_replies[key] = await deployment.call(
                MID, "leaf", "/x", key=key
            )
        context.stream_replies = list(
            zip(keys, [await task for task in tasks], strict=True)
        )
        context.upload_contents = contents

    deployment.run(scenario())


@then("each upload and download is complete and has its own content")
def step_complete(context: Any) -> None:
    for content, (key, reply) in zip(
        context.upload_contents, context.stream_replies, strict=False
    ):
        text = f"{key} POST /up {STREAM_BYTES} {zlib.crc32(content)} leaf-"
        assert reply.body.startswith(text.encode()), (reply.status, reply.body[:120])
    for key, reply in context.stream_replies[2:]:
        assert _answers_key(reply, key), (reply.status, reply.reason, reply.body[:80])
        assert len(reply.body) == STREAM_BYTES
        head = reply.body.split(b"\n", 1)[0] + b"\n"
        assert reply.body == head.ljust(STREAM_BYTES, b".")


@then("the short calls were answered in the meantime")
def step_short_calls(context: Any) -> None:
    assert len(context.short_replies) >= 5, len(context.short_replies)
    for key, reply in context.short_replies.items():
        assert reply.status == 200, reply
        assert _answers_key(reply, key), (key, reply.body[:80])


@when("the caller of a slow call over three services disconnects")
def step_disconnect(context: Any) -> None:
    deployment: TestDeployment = context.deployment

    async def scenario() -> None:
        key = new_key()
        task = asyncio.create_task(deployment.call(LEAF, "front", "/chain", key=key))
        await deployment.wait_until(
            lambda: len(deployment.runs(key)) == 3, "three runs"
        )
        assert not any(run.result for run in deployment.runs(key))
        task.cancel()
        await deployment.wait_until(
            lambda: all(r.result for r in deployment.runs(key)), "their ends"
        )
        context.runs = deployment.runs(key)

    deployment.run(scenario())


@then("the runs at all three services are recorded as cancelled")
def step_cancelled(context: Any) -> None:
    found = sorted((run.server.split("-")[0], run.result) for run in context.runs)
    assert found == [(n, "cancelled") for n in ("front", "leaf", "mid")], found


@when("a call over three services fails at the last one and each server resends")
def step_failing_chain(context: Any) -> None:
    deployment: TestDeployment = context.deployment
    context.key = new_key()
    context.reply = deployment.run(
        deployment.call(LEAF, "front", "/bad", key=context.key)
    )


def _retries(context: Any) -> int:
    runs = context.deployment.runs(context.key)
    assert {run.server.split("-")[0] for run in runs} == {"front", "mid", "leaf"}
    return len(runs) - 3


@then("the runs of the chain hold at most {most:d} retries and at least {least:d}")
def step_bounded(context: Any, most: int, least: int) -> None:
    assert context.reply.status == 502, context.reply
    assert least <= _retries(context) <= most, _retries(context)


@then("the runs of the chain hold more than {bound:d} retries")
def step_exceeds(context: Any, bound: int) -> None:
    assert _retries(context) > bound, _retries(context)


@when("a settlement is sent and sent again through all other nodes")
def step_resend(context: Any) -> None:
    deployment: TestDeployment = context.deployment
    context.key = new_key()

    async def scenario() -> None:
        context.resent = [
            await deployment.call(
                node, "store", "/post", key=context.key, data=b"7 EUR"
            )
            for node in deployment.cluster.entry_nodes()
        ]

    deployment.run(scenario())


@then("all of them got the same answer with outcome done")
def step_same(context: Any) -> None:
    found = {(r.status, r.outcome, r.body) for r in context.resent}
    assert len(found) == 1, found
    assert context.resent[0].outcome == "done", context.resent[0]
    assert _answers_key(context.resent[0], context.key)


@then("the settlement ran once")
def step_once(context: Any) -> None:
    assert len(context.deployment.runs(context.key)) == 1


@then("the settlement did not run")
def step_never(context: Any) -> None:
    keys = [run.key for run in context.deployment.runs() if run.path == "/invalid"]
    assert keys == [], keys


@when("a slow settlement is sent again through another node while it runs")
def step_resend_while_running(context: Any) -> None:
    deployment: TestDeployment = context.deployment
    context.key = new_key()

    async def scenario() -> None:
        first = asyncio.create_task(
            deployment.call(FRONT, "store", "/slow", key=context.key, data=b"1")
        )
        await deployment.server_of(context.key)
        context.second = await deployment.call(
            MID, "store", "/slow", key=context.key, data=b"1"
        )
        context.was_running = not first.done()
        context.first = await first

    deployment.run(scenario())


@then("the resend is told that the outcome is unknown, with a time to retry")
def step_running(context: Any) -> None:
    assert context.was_running
    assert context.second.status == 409, context.second
    assert context.second.outcome == "unknown"
    assert int(context.second.headers["Retry-After"]) >= 1


@then("the first sender is told that the outcome is done")
def step_first_sender(context: Any) -> None:
    assert (context.first.status, context.first.outcome) == (200, "done")


@when("the key of a settlement is reused for other content")
def step_reuse(context: Any) -> None:
    deployment: TestDeployment = context.deployment
    context.key = new_key()

    async def scenario() -> None:
        for data in (b"first", b"other"):
            context.reply = await deployment.call(
                FRONT, "store", "/post", key=context.key, data=data
            )

    deployment.run(scenario())


@then("the reuse is refused with status {status:d} as {outcome}")
@then("it is refused with status {status:d} as {outcome}")
def step_refused(context: Any, status: int, outcome: str) -> None:
    reply = context.reply
    assert (reply.status, reply.outcome) == (status, outcome), reply


@when("a settlement is sent with {kind}")
def step_invalid_key(context: Any, kind: str) -> None:
    keys = {
        "no key": "",
        "a malformed key": "settlement-7",
        "a key with bad characters": new_key() + "!",
        "an expired key": new_key(KEY_LIFETIME_MS + 60_000),
        "a key of the future": new_key(-600_000),
    }
    context.reply = context.deployment.run(
        context.deployment.call(FRONT, "store", "/invalid", key=keys[kind], data=b"1")
    )
