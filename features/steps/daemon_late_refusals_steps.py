"""Steps for calls that a server has no time for."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

from behave import given
from behave import then
from behave import when
from daemon_dispatcher_harness import make_dispatcher
from daemon_harness import CLOCK
from daemon_harness import make_call
from daemon_harness import run
from marjoramstep_core.states import Reason
from marjoramstep_daemon.calls import UNKNOWN_LENGTH
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.calls import Refused
from marjoramstep_policy.retries import RetryAllowance


DEADLINE_MS = 400.0


class FakeLinks:
    """Peers that answer, or refuse a call for its deadline."""

    def __init__(self, late: int, *, waits: bool) -> None:
        self._late = late
        self._waits = waits
        self.tries: Counter[str] = Counter()
        self.may_move_on: list[tuple[int, bool]] = []

    async def execute(self, address: tuple[str, int], call: Any) -> Any:
        """Count the try and reply."""
        self.tries[call.request_key] += 1
        self.may_move_on.append((self.tries[call.request_key], call.may_move_on))
        if address[1] > self._late:
            return Answer(200, [], Body(b"ok", length=2))
        if self._waits:
            await asyncio.sleep((call.deadline_ms - CLOCK.now_ms()) / 1_000.0)
        return Refused(Reason.DEADLINE, "not enough time left")


@given(
    "a service with {members:d} members of which {late:d} refuse calls at their"
    " deadline"
)
def step_at_deadline(context: Any, members: int, late: int) -> None:
    context.members, context.links = members, FakeLinks(late, waits=True)


@given(
    "a service with {members:d} members of which {late:d} refuse calls for their"
    " deadline"
)
@given(
    "a service with {members:d} members of which {late:d} refuses calls for their"
    " deadline"
)
def step_for_deadline(context: Any, members: int, late: int) -> None:
    context.members, context.links = members, FakeLinks(late, waits=False)


@when("{count:d} calls are sent to the service")
def step_send(context: Any, count: int) -> None:
    async def scenario() -> None:
        dispatcher = make_dispatcher(context.members, context.links)
        context.replies = []
        for number in range(count):
            call = make_call(f"key-{number}", DEADLINE_MS)
            reply, _ = await dispatcher.dispatch(call, RetryAllowance(0))
            context.replies.append(reply)

    run(scenario())


@when("a call with a streamed body is sent to the service")
def step_send_streamed(context: Any) -> None:
    async def parts() -> Any:
        yield b"second part"

    async def scenario() -> None:
        dispatcher = make_dispatcher(context.members, context.links)
        body = Body(b"first part", length=UNKNOWN_LENGTH, rest=parts())
        call = make_call("streamed", DEADLINE_MS, body=body)
        await dispatcher.dispatch(call, RetryAllowance(0))

    run(scenario())


@then("only the first server of each call was told that the call may move on")
def step_first_only(context: Any) -> None:
    for position, may_move_on in context.links.may_move_on:
        assert may_move_on == (position == 1), context.links.may_move_on


@then("no server was told that a call may move on")
def step_none(context: Any) -> None:
    assert not any(may for _, may in context.links.may_move_on)


@then("all calls are answered, each after at most {servers:d} servers")
def step_answered(context: Any, servers: int) -> None:
    assert all(isinstance(reply, Answer) for reply in context.replies)
    assert max(context.links.tries.values()) <= servers, context.links.tries


@then("all calls are refused for their deadline, each after {servers:d} servers")
def step_refused(context: Any, servers: int) -> None:
    assert {reply.reason for reply in context.replies} == {Reason.DEADLINE}
    assert set(context.links.tries.values()) == {servers}, context.links.tries
