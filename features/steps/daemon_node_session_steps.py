"""Steps for ``NodeSession`` with a fake serving side."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import then
from behave import when
from daemon_harness import FakePeer
from daemon_harness import answer_start
from daemon_harness import call_start
from daemon_harness import run
from daemon_harness import session_for
from daemon_harness import wait_until
from marjoramstep_core.errors import ConnectionFailedError
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Body
from marjoramstep_wire.messages import AnswerStart
from marjoramstep_wire.messages import BodyPart
from marjoramstep_wire.messages import CallFailed
from marjoramstep_wire.messages import Cancel
from marjoramstep_wire.messages import CancelReply
from marjoramstep_wire.messages import Credit


class FakeCallExecutor:
    """Blocks each call until it is released."""

    def __init__(self) -> None:
        self.calls: list[Any] = []
        self.release = asyncio.Event()
        self.marks_started = False
        self.result: Any = None

    async def execute(self, call: Any) -> Any:
        """Wait, then answer with the call's key or raise."""
        self.calls.append(call)
        call.started = self.marks_started
        await self.release.wait()
        if isinstance(self.result, Exception):
            raise self.result
        return self.result or Answer(200, [], Body(call.request_key.encode()))


def _cancel(context: Any, *, started: bool, early: bool, answered: bool) -> None:
    async def scenario() -> None:
        peer, call_executor = FakePeer(), FakeCallExecutor()
        call_executor.marks_started = started
        async with session_for(call_executor, peer) as (connection, session):
            connection.send(call_start(1))
            if not early:
                await wait_until(lambda: call_executor.calls, "the start of the call")
            if answered:
                call_executor.release.set()
                await wait_until(lambda: peer.of_type(AnswerStart), "the answer")
            connection.send(Cancel(stream_id=1))
            connection.send(call_start(2))
            await wait_until(
                lambda: len(call_executor.calls) == (1 if early else 2), "a call"
            )
            call_executor.release.set()
            await wait_until(
                lambda: [m for m in peer.of_type(AnswerStart) if m.stream_id == 2]
            )
            await asyncio.sleep(0.05)
            context.left = session().in_progress
            context.keys = [call.request_key for call in call_executor.calls]
        context.peer = peer

    run(scenario())


@when("a session receives a call and its cancellation together")
def step_together(context: Any) -> None:
    _cancel(context, started=False, early=True, answered=False)


@when("a call is cancelled at a session before it is marked as started")
def step_before(context: Any) -> None:
    _cancel(context, started=False, early=False, answered=False)


@when("a call is cancelled at a session after it is marked as started")
def step_after(context: Any) -> None:
    _cancel(context, started=True, early=False, answered=False)


@when("a call is cancelled at a session after its answer was sent")
def step_ended(context: Any) -> None:
    _cancel(context, started=True, early=False, answered=True)


def _acknowledgements(context: Any) -> list[bool]:
    assert not [m for m in context.peer.of_type(AnswerStart) if m.stream_id == 1]
    return [m.ran for m in context.peer.of_type(CancelReply) if m.stream_id == 1]


@then("the session acknowledges that the call did not run")
def step_not_run(context: Any) -> None:
    assert _acknowledgements(context) == [False]


@then("the session acknowledges that the call ran")
def step_ran(context: Any) -> None:
    assert _acknowledgements(context) == [True]


@then("the session sent the answer and no acknowledgement")
def step_answer_only(context: Any) -> None:
    assert not context.peer.of_type(CancelReply)
    assert [m.stream_id for m in context.peer.of_type(AnswerStart)] == [1, 2]


@then("the serving side was not asked to run it")
def step_not_asked(context: Any) -> None:
    assert context.keys == ["k2"], context.keys


@then("the session has no calls in progress")
def step_none_in_progress(context: Any) -> None:
    assert context.left == 0, context.left


def _one_call(context: Any, result: Any) -> None:
    async def scenario() -> None:
        peer, call_executor = FakePeer(), FakeCallExecutor()
        call_executor.result = result
        call_executor.release.set()
        async with session_for(call_executor, peer) as (connection, session):
            connection.send(call_start(1))
            await wait_until(lambda: peer.of_type(CallFailed), "the failure")
            context.left = session().in_progress
        context.peer = peer

    run(scenario())


@when("the serving side of a session raises an unexpected error")
def step_raises(context: Any) -> None:
    _one_call(context, ZeroDivisionError("not foreseen"))


@when("the answer of the serving side fails after its first part")
def step_truncated(context: Any) -> None:
    async def parts() -> Any:
        yield b"second"
        raise ConnectionFailedError("gone", step="read answer")

    _one_call(context, Answer(200, [], Body(b"first", rest=parts(), length=-1)))


@then("the session reports the call as failed")
def step_reported(context: Any) -> None:
    assert [m.reason for m in context.peer.of_type(CallFailed)] == ["internal"]


@then("the session sent the first part and then a failure")
def step_first_part(context: Any) -> None:
    kinds = [type(message).__name__ for message in context.peer.messages]
    assert kinds == ["AnswerStart", "BodyPart", "CallFailed"], kinds
    assert not any(part.last for part in context.peer.of_type(BodyPart))


FAULTS: dict[str, list[Any]] = {
    "a stream id used before": [call_start(1)],
    "a depth out of bounds": [call_start(2, depth=65)],
    "an unknown size class": [call_start(2, size_class="huge")],
    "a budget that is no number": [call_start(2, budget_ms=float("nan"))],
    "a part beyond the window": [
        call_start(2, body_complete=False),
        *[BodyPart(stream_id=2, data=bytes(100_000), last=False)] * 3,
    ],
    "too much credit": [Credit(stream_id=1, credit_bytes=1)],
    "an answer": [answer_start(1, b"")],
}


@when("a session receives {fault} while another session runs a call")
def step_fault(context: Any, fault: str) -> None:
    async def scenario() -> None:
        faulty, healthy = FakePeer(), FakePeer()
        call_executor = FakeCallExecutor()
        async with (
            session_for(call_executor, faulty) as (faulty_connection, _),
            session_for(call_executor, healthy) as (healthy_connection, _),
        ):
            faulty_connection.send(call_start(1))
            healthy_connection.send(call_start(1))
            await wait_until(lambda: len(call_executor.calls) == 2, "both calls")
            for message in FAULTS[fault]:
                faulty_connection.send(message)
            await wait_until(lambda: faulty.closed, "the end of the faulty connection")
            call_executor.release.set()
            await wait_until(lambda: healthy.of_type(AnswerStart), "the answer")
            assert not healthy.closed
        context.faulty, context.healthy = faulty, healthy

    run(scenario())


@then("the first session's connection is closed")
def step_closed(context: Any) -> None:
    assert len(context.faulty.closed) == 1
    assert not context.faulty.of_type(AnswerStart)


@then("the call of the other session is answered")
def step_other(context: Any) -> None:
    assert [m.body for m in context.healthy.of_type(AnswerStart)] == [b"k1"]
