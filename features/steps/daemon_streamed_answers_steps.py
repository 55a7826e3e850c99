"""Steps for the end of streamed answers."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
from typing import Any

from behave import given
from behave import then
from behave import when
from daemon_dispatcher_harness import make_dispatcher
from daemon_harness import CLOCK
from daemon_harness import make_call
from daemon_harness import run
from daemon_harness import wait_until
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.states import ServerState
from marjoramstep_daemon.backend_servers.announcement import Announcement
from marjoramstep_daemon.calls import UNKNOWN_LENGTH
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.factory import NodeFactory
from marjoramstep_daemon.log import EventLog
from marjoramstep_policy.retries import RetryAllowance


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PARTS = 4
LONG_DEADLINE_MS = 400.0


class StreamingLinks:
    """Peers whose answers are streamed.

    :param is_silent: whether the rest never arrives
    """

    def __init__(self, *, is_silent: bool) -> None:
        self._is_silent = is_silent

    async def execute(self, _address: tuple[str, int], _call: Any) -> Answer:
        """Answer with a streamed body."""
        body = Body(b"first", length=UNKNOWN_LENGTH, rest=self._rest())
        return Answer(200, [], body)

    async def _rest(self) -> AsyncIterator[bytes]:
        if self._is_silent:
            await asyncio.Event().wait()
        for _ in range(PARTS):
            yield b"part"


async def _read(context: Any, answer: Any, pause_seconds: float = 0.0) -> None:
    """Read an answer; record its parts, its error and when it ended."""
    context.parts, context.error = [], None
    try:
        async for part in answer.body.parts():
            context.parts.append(part)
            await asyncio.sleep(pause_seconds)
    except MarjoramstepError as error:
        context.error = error
    context.ended_ms = CLOCK.now_ms()


@given("a service whose answers fall silent after their first part")
def step_silent(context: Any) -> None:
    context.links = StreamingLinks(is_silent=True)


class EndlessLinks(StreamingLinks):
    """Peers whose answers never end.

    :param pause_seconds: pause before each part
    :param part: what they send again and again
    """

    def __init__(self, pause_seconds: float, part: bytes) -> None:
        super().__init__(is_silent=False)
        self._pause_seconds = pause_seconds
        self._part = part

    async def _rest(self) -> AsyncIterator[bytes]:
        while True:
            await asyncio.sleep(self._pause_seconds)
            yield self._part


@given("a service whose answers never end and arrive {how}")
def step_endless(context: Any, how: str) -> None:
    if how == "a byte at a time":
        context.links = EndlessLinks(0.02, b"x")
    else:
        context.links = EndlessLinks(0.0, bytes(65_536))


@given("a service whose answers have arrived in full")
def step_arrived(context: Any) -> None:
    context.links = StreamingLinks(is_silent=False)


@when("a call with a deadline of {deadline_ms:d} ms is sent and its answer is read")
def step_read(context: Any, deadline_ms: int) -> None:
    _send_and_read(context, deadline_ms, 0.0)


@when(
    "a call with a deadline of {deadline_ms:d} ms is sent and its answer is read slowly"
)
def step_read_slowly(context: Any, deadline_ms: int) -> None:
    _send_and_read(context, deadline_ms, deadline_ms / 1_000.0)


def _send_and_read(context: Any, deadline_ms: int, pause_seconds: float) -> None:
    async def scenario() -> None:
        dispatcher = make_dispatcher(1, context.links)
        call = make_call("k", deadline_ms)
        context.deadline_ms = call.deadline_ms
        reply, _ = await dispatcher.dispatch(call, RetryAllowance(0))
        await _read(context, reply, pause_seconds)

    run(scenario())


@when("its backend server falls silent midway through a long answer")
def step_silent_server(context: Any) -> None:
    async def answer(reader: Any, writer: Any) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + bytes(200_000)
        )
        await reader.read()

    _read_answer_of_server(context, answer)


@when("its backend server sends a long answer without end")
def step_endless_server(context: Any) -> None:
    async def answer(_: Any, writer: Any) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while True:
            writer.write(bytes(65_536))
            await writer.drain()
            # Without data to wait for, the sender would get all turns of the loop.
            await asyncio.sleep(0.001)

    # The session that passes an answer on abandons it when it breaks off.
    _read_answer_of_server(context, answer, abandons=True)


def _read_answer_of_server(
    context: Any, answer: Any, *, abandons: bool = False
) -> None:
    """Read the answer of a backend server until the node ends it."""
    context.closed = False

    async def handle(reader: Any, writer: Any) -> None:
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            await answer(reader, writer)
        context.closed = True
        writer.close()

    async def scenario() -> None:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        node = NodeFactory(
            context.node_settings, CLOCK, EventLog(CLOCK, "test")
        ).build()
        address = server.sockets[0].getsockname()
        await node.local_server.announce(
            Announcement(ServiceName("s"), address, 4, 10, ServerState.READY, 1)
        )
        call = make_call("k", LONG_DEADLINE_MS, method="GET", body=Body())
        context.deadline_ms = call.deadline_ms
        reply = await node.call_executor.execute(call)
        await _read(context, reply)
        if abandons:
            reply.body.abandon()
        await wait_until(lambda: context.closed, "the end of the connection")
        context.in_flight = node.gate.load().in_flight
        await node.local_server.close()
        server.close()

    run(scenario())


@then("the answer breaks off, not before its deadline")
def step_broken_off(context: Any) -> None:
    assert context.error is not None, context.parts
    assert context.ended_ms >= context.deadline_ms, context.error


@then("the answer is read in full")
def step_in_full(context: Any) -> None:
    assert context.error is None, context.error
    assert context.parts == [b"first"] + [b"part"] * PARTS, context.parts
    assert context.ended_ms > context.deadline_ms


@then("the connection to the backend server is closed and no slot is in use")
def step_released(context: Any) -> None:
    assert context.closed
    assert context.in_flight == 0, context.in_flight
