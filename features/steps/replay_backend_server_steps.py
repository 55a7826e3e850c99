"""Steps for the stand-in backend server, which runs as a process of its own."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web
from behave import given
from behave import then
from behave import when
from marjoramstep_replay.backend_server.run_log import read_runs


LIMIT_SECONDS = 20.0
MARKER = "CRASH-HERE"


def _profile(slow_ms: int, fast_ms: int) -> dict[str, Any]:
    def entry(prefix: str, mean_ms: int) -> dict[str, Any]:
        time_fields = {"kind": "constant", "mean_ms": mean_ms}
        return {"prefix": prefix, "service_time": time_fields}

    return {
        "paths": [entry("/slow", slow_ms), entry("/", fast_ms)],
        "crash_marker": MARKER,
        "drain_grace_ms": 50,
    }


def _end(process: subprocess.Popen[str]) -> None:
    process.kill()
    process.wait(LIMIT_SECONDS)
    assert process.stderr is not None
    process.stderr.close()


@given(
    'a stand-in server with {slots:d} slots where "/slow" takes {slow_ms:d} ms and "/" '
    "takes {fast_ms:d} ms"
)
def step_start(context: Any, slots: int, slow_ms: int, fast_ms: int) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    (folder / "profile.json").write_text(json.dumps(_profile(slow_ms, fast_ms)))
    context.run_log = folder / "runs.jsonl"
    context.standin_folder = folder
    context.standin_options = ["--slots", str(slots), "--service", "s"]
    context.standin_options += ["--profile", str(folder / "profile.json")]
    context.standin_options += ["--run-log", str(context.run_log)]
    _launch(context)


def _launch(context: Any, *further: str) -> None:
    command = [sys.executable, "-m", "marjoramstep_replay.backend_server"]
    process = subprocess.Popen(
        [*command, *context.standin_options, *further],
        stderr=subprocess.PIPE,
        text=True,
    )
    context.stack.callback(_end, process)
    assert process.stderr is not None
    line = json.loads(process.stderr.readline())
    assert line["message_type"] == "listening", line
    context.standin = process
    context.standin_address = line["request_address"]


async def _request(context: Any, path: str, **options: Any) -> tuple[int, bytes]:
    url = f"http://{context.standin_address}{path}"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, **options) as answer,
    ):
        return answer.status, await answer.read()


async def _give_up(context: Any, path: str, after_ms: int) -> None:
    timeout = aiohttp.ClientTimeout(total=after_ms / 1000)
    try:
        await _request(context, path, timeout=timeout)
    except TimeoutError:
        return
    raise AssertionError("the request was answered before it was given up")


def _wait_for_runs(context: Any, count: int, ended: int) -> list[Any]:
    limit = time.monotonic() + LIMIT_SECONDS
    while True:
        runs = read_runs([context.run_log])
        finished = [run for run in runs if run.ended_ms is not None]
        if len(runs) == count and len(finished) == ended:
            return runs
        assert time.monotonic() < limit, runs
        time.sleep(0.02)


@when('{count:d} requests of "{path}" are sent to the stand-in at once')
def step_send_many(context: Any, count: int, path: str) -> None:
    async def send() -> list[tuple[int, bytes]]:
        return await asyncio.gather(*(_request(context, path) for _ in range(count)))

    answers = asyncio.run(send())
    assert all(status == 200 for status, _ in answers), answers


@when('a request of "{path}" whose body holds the stand-in\'s crash marker is sent')
def step_send_marker(context: Any, path: str) -> None:
    try:
        answer = asyncio.run(_request(context, path, data=f"x{MARKER}x"))
    except aiohttp.ClientError:
        return
    raise AssertionError(f"the request was answered: {answer}")


@when('a request of "{path}" to the stand-in is given up after {after_ms:d} ms')
def step_give_up(context: Any, path: str, after_ms: int) -> None:
    asyncio.run(_give_up(context, path, after_ms))


@when(
    '2 requests of "{path}" occupy the stand-in and a third is given up after '
    "{after_ms:d} ms"
)
def step_give_up_third(context: Any, path: str, after_ms: int) -> None:
    async def send() -> None:
        first = [asyncio.create_task(_request(context, path)) for _ in range(2)]
        while not context.run_log.exists() or len(read_runs([context.run_log])) < 2:
            await asyncio.sleep(0.01)
        await _give_up(context, path, after_ms)
        await asyncio.gather(*first)

    asyncio.run(send())


@when(
    'a request of "{path}" is sent to the stand-in with a deadline of '
    "{deadline_ms:d} ms"
)
def step_deadline(context: Any, path: str, deadline_ms: int) -> None:
    headers = {"Marjoramstep-Deadline-Ms": str(deadline_ms)}
    context.answer = asyncio.run(_request(context, path, headers=headers))


@when('a request of "{path}" is in flight at the stand-in while it is told to drain')
def step_drain(context: Any, path: str) -> None:
    context.states = []

    async def hear(request: web.BaseRequest) -> web.Response:
        context.states.append((await request.json())["state"])
        return web.Response()

    async def send() -> None:
        runner = web.ServerRunner(web.Server(hear))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        await asyncio.to_thread(_launch, context, "--announce", f"{host}:{port}")
        task = asyncio.create_task(_request(context, path))
        while not read_runs([context.run_log]):
            await asyncio.sleep(0.01)
        context.standin.send_signal(signal.SIGTERM)
        context.answer = await task
        await asyncio.to_thread(context.standin.wait, LIMIT_SECONDS)
        await runner.cleanup()

    asyncio.run(send())


@then("the stand-in ran {count:d} runs to their end")
def step_runs(context: Any, count: int) -> None:
    context.runs = _wait_for_runs(context, count, count)
    assert all(run.result == "done" for run in context.runs), context.runs


@then("at most {limit:d} runs of the stand-in overlapped at any time")
def step_overlap(context: Any, limit: int) -> None:
    for run in context.runs:
        # A slot passes on within the same millisecond in which its run ends.
        at_ms = run.started_ms + 1.0
        running = [r for r in context.runs if r.started_ms <= at_ms < r.ended_ms]
        assert len(running) <= limit, running


@then("the stand-in's process ended with status {status:d}")
def step_status(context: Any, status: int) -> None:
    assert context.standin.wait(LIMIT_SECONDS) == status, context.standin.returncode


@then("the stand-in's run log holds {count:d} run without an end")
def step_without_end(context: Any, count: int) -> None:
    _wait_for_runs(context, count, 0)


@then('the stand-in\'s run log shows the result "{result}"')
def step_result(context: Any, result: str) -> None:
    (run,) = _wait_for_runs(context, 1, 1)
    assert run.result == result, run


@then("that request got the complete answer")
def step_complete(context: Any) -> None:
    status, body = context.answer
    assert status == 200 and len(body) == 200, context.answer


@then('the stand-in\'s node heard the state "{state}"')
def step_heard(context: Any, state: str) -> None:
    assert state in context.states, context.states


@then("the stand-in answered with status {status:d}")
def step_answer_status(context: Any, status: int) -> None:
    assert context.answer[0] == status, context.answer
