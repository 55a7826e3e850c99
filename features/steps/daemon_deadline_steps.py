"""Steps for time limits and delays of the event loop."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from behave import then
from behave import when
from daemon_harness import run
from daemon_harness import wait_until
from marjoramstep_daemon.deadline import Deadline
from marjoramstep_daemon.loop_delay_monitor import LoopDelayMonitor


SECOND_MS = 1_000.0
CANCEL_SECONDS = 0.02


class RecordingLog:
    """Records the events written to it."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def write(self, event: str, **_fields: Any) -> None:
        """Record an event."""
        self.events.append(event)


async def _block(block_ms: float, limit_ms: float) -> str:
    loop = asyncio.get_running_loop()
    try:
        async with Deadline(loop, limit_ms / SECOND_MS):
            await asyncio.sleep(block_ms / SECOND_MS)
    except TimeoutError:
        return "with a timeout"
    except asyncio.CancelledError:
        return "with a cancel"
    return "by itself"


@when("a block of {block:d} ms under a deadline of {limit:d} ms is {cancelled}")
def step_block(context: Any, block: int, limit: int, cancelled: str) -> None:
    async def scenario() -> str:
        task = asyncio.create_task(_block(block, limit))
        if cancelled != "left alone":
            await asyncio.sleep(CANCEL_SECONDS)
            task.cancel()
        return await task

    context.ending = run(scenario())


@then("the block ends {how}")
def step_ends(context: Any, how: str) -> None:
    assert context.ending == how, context.ending


@when("the event loop is blocked for {blocked:d} ms")
def step_blocked(context: Any, blocked: int) -> None:
    context.log = RecordingLog()

    async def scenario() -> None:
        monitor = LoopDelayMonitor(context.log)  # type: ignore[arg-type]
        task = asyncio.create_task(monitor.run())
        await asyncio.sleep(0)
        time.sleep(blocked / SECOND_MS)
        await wait_until(lambda: context.log.events)
        context.longest_ms = monitor.gauges()["loop_delay_longest_ms"]
        task.cancel()

    run(scenario())


@then("its longest delay is at least {least:d} ms and the delay is logged")
def step_logged(context: Any, least: int) -> None:
    assert context.longest_ms >= least, context.longest_ms
    assert context.log.events == ["event loop was late"], context.log.events
