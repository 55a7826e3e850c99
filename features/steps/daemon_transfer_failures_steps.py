"""Steps for shutdowns and lost servers in the middle of uploads and downloads."""

from __future__ import annotations

import asyncio
import random
import signal
import zlib
from typing import Any

import aiohttp
from behave import then
from behave import when
from daemon_test_deployment import TestDeployment
from daemon_test_deployment import new_key
from marjoramstep_core.clock import SystemClock
from support.failure_deployment import DOWNLOAD_BYTES
from support.failure_deployment import ENTRY_NODE


CLOCK = SystemClock()
UPLOAD = random.Random(3).randbytes(3_000_000)


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
    deployment: TestDeployment = context.deployment
    context.key = new_key()
    body = SlowUpload()
    task = asyncio.create_task(
        deployment.call(entry, "store", "/up", key=context.key, data=body.parts())
    )
    server = await deployment.server_of(context.key)
    node = context.node = entry if at_entry else f"node-{server}"
    deployment.signal(node, signal.SIGTERM)
    await deployment.wait_until(
        lambda: deployment.log_lines(node, "stopping"), "the start of the shutdown"
    )
    await asyncio.sleep(0.3)
    context.refused = await deployment.call(node, "gate", "/x", key=new_key())
    assert not task.done()
    if signals == 2:
        deployment.signal(node, signal.SIGTERM)
        await deployment.wait_until(
            lambda: deployment.log_lines(node, "stopped"), "the end of the shutdown"
        )
    body.resume.set()
    context.reply = await task
    process = deployment.cluster.processes[node]
    await deployment.wait_until(
        lambda: not process.is_running, "the end of the process"
    )
    context.status = process.status


@when("the node that serves an upload gets SIGTERM in the middle of it")
def step_serving(context: Any) -> None:
    context.deployment.run(_upload(context, ENTRY_NODE, 1, at_entry=False))


@when("the entry node of an upload gets SIGTERM in the middle of it")
def step_entry(context: Any) -> None:
    context.deployment.run(_upload(context, "node-gate-3", 1, at_entry=True))


@when("the node that serves an upload gets SIGTERM twice in the middle of it")
def step_serving_twice(context: Any) -> None:
    context.deployment.run(_upload(context, ENTRY_NODE, 2, at_entry=False))


@then("the upload is complete and the node ends with status 0")
def step_complete(context: Any) -> None:
    text = f"{context.key} POST /up {len(UPLOAD)} {zlib.crc32(UPLOAD)} store-"
    assert context.reply.body.startswith(text.encode()), context.reply
    assert context.reply.outcome == "done"
    assert context.status == 0
    stopped = context.deployment.log_lines(context.node, "stopped")
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
    stopped = context.deployment.log_lines(context.node, "stopped")
    assert context.key in stopped[-1]["cut_off"], stopped


async def _download(context: Any, entry: str, action: Any) -> None:
    """Read a part of a download, await an action, and read the rest."""
    deployment: TestDeployment = context.deployment
    context.key = new_key()
    headers = {"Marjoramstep-Service": "store", "Marjoramstep-Key": context.key}
    url = f"http://{deployment.address(entry)}/download"
    context.error = None
    content = b""
    async with deployment.session.get(url, headers=headers) as answer:
        assert answer.status == 200, answer
        try:
            content = await answer.content.readexactly(100_000)
            await action(await deployment.server_of(context.key))
            content += await answer.content.read()
        except (aiohttp.ClientError, OSError, asyncio.IncompleteReadError) as error:
            context.error = error
    context.content = content


@when("the entry node of a download gets SIGTERM in the middle of it")
def step_download(context: Any) -> None:
    deployment: TestDeployment = context.deployment
    node = context.node = "node-gate-2"

    async def action(_server: str) -> None:
        deployment.signal(node, signal.SIGTERM)
        await deployment.wait_until(
            lambda: deployment.log_lines(node, "stopping"), "the shutdown"
        )
        await asyncio.sleep(1.0)

    async def scenario() -> None:
        await _download(context, node, action)
        process = deployment.cluster.processes[node]
        await deployment.wait_until(
            lambda: not process.is_running, "the end of the process"
        )
        context.status = process.status

    deployment.run(scenario())


@then("the download is complete and the node ends with status 0")
def step_downloaded(context: Any) -> None:
    assert context.error is None, context.error
    assert len(context.content) == DOWNLOAD_BYTES, len(context.content)
    assert context.status == 0


@when("a backend server is killed in the middle of a download")
def step_kill_server(context: Any) -> None:
    deployment: TestDeployment = context.deployment

    async def action(server: str) -> None:
        deployment.cluster.processes[server].kill()
        await asyncio.sleep(0.3)

    deployment.run(_download(context, ENTRY_NODE, action))


@then("the caller's download ends with an error before it is complete")
def step_not_complete(context: Any) -> None:
    assert context.error is not None
    assert len(context.content) < DOWNLOAD_BYTES
