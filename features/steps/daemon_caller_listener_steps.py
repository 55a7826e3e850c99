"""Steps for closing the caller listener."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given
from behave import then
from behave import when
from daemon_harness import CLOCK
from daemon_harness import run
from marjoramstep_daemon.callers.listener import CallerListener
from marjoramstep_daemon.control.table_store import TableStore
from marjoramstep_daemon.log import EventLog


CLOSE_LIMIT_SECONDS = 10.0
BAD_REQUEST = b"GET / HTTP/1.1\r\nHost: 1\r\n\r\n"


class _UnusedEntry:
    """Fails the test if a request passes the validation of the listener."""

    async def execute(self, request: Any) -> Any:
        raise AssertionError(f"unexpected request {request}")


@given("a caller listener with an idle keep-alive connection")
def step_listener(context: Any) -> None:
    context.close_ended = None


@when("the caller listener is closed")
def step_close(context: Any) -> None:
    async def scenario() -> None:
        log = EventLog(CLOCK, "test")
        listener = CallerListener(_UnusedEntry(), TableStore(CLOCK, log), log)
        host, port = await listener.start(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(BAD_REQUEST)
        context.first_line = await reader.readline()
        await reader.readuntil(b"\r\n\r\n")
        await listener.stop_listening()
        try:
            async with asyncio.timeout(CLOSE_LIMIT_SECONDS):
                await listener.close()
            context.close_ended = True
        except TimeoutError:
            context.close_ended = False
        await reader.read()
        context.connection_ended = reader.at_eof()
        writer.close()

    run(scenario())


@then("the caller listener was closed within 10 s")
def step_ended(context: Any) -> None:
    assert b" 400 " in context.first_line, context.first_line
    assert context.close_ended


@then("the idle connection was closed by the caller listener")
def step_connection_ended(context: Any) -> None:
    assert context.connection_ended
