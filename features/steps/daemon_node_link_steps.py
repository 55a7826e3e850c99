"""Steps for ``NodeLink`` against a raw peer."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from behave import then
from behave import when
from daemon_harness import CLOCK
from daemon_harness import KEY
from daemon_harness import FakePeer
from daemon_harness import answer_start
from daemon_harness import link_to
from daemon_harness import make_call
from daemon_harness import node_hello
from daemon_harness import refusal
from daemon_harness import run
from daemon_harness import wait_until
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.states import Reason
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Failed
from marjoramstep_daemon.calls import Refused
from marjoramstep_daemon.log import EventLog
from marjoramstep_daemon.nodes.link import CANCEL_REPLY_TIMEOUT_SECONDS
from marjoramstep_daemon.nodes.link_pool import LinkPool
from marjoramstep_wire.connection import PeerConnection
from marjoramstep_wire.messages import BodyPart
from marjoramstep_wire.messages import CallStart
from marjoramstep_wire.messages import Cancel
from marjoramstep_wire.messages import CancelReply
from marjoramstep_wire.messages import Credit


# Far above the time after which a connection counts as silent.
RECOVERY_LIMIT_SECONDS = 12.0


SEED = 20261204
# Longer than any delay of the peer, also on a busy machine.
LONG_DEADLINE_MS = 60_000.0


@when("{count:d} calls with random delays and deadlines share one link to a raw peer")
def step_concurrent_calls(context: Any, count: int) -> None:
    # Even calls have a long deadline and are answered in random order. Odd calls have a
    # short one and are answered only after their cancellation, later than the link
    # waits for it, so that the outcome of each call does not depend on the machine.
    async def scenario() -> None:
        rng = random.Random(SEED)
        peer = FakePeer()
        bodies: dict[int, bytes] = {}

        def answer(connection: Any, message: Any) -> None:
            if isinstance(message, CallStart):
                bodies[message.stream_id] = message.body
                if not _has_long_deadline(message.body):
                    return
                delay_seconds = rng.uniform(0.0, 0.7)
            elif isinstance(message, Cancel):
                delay_seconds = CANCEL_REPLY_TIMEOUT_SECONDS + rng.uniform(0.1, 0.5)
            else:
                return
            reply = answer_start(message.stream_id, bodies[message.stream_id])
            asyncio.get_running_loop().call_later(delay_seconds, connection.send, reply)

        async with link_to(peer) as link:
            peer.answer = answer
            context.keys = [f"key-{number}" for number in range(count)]
            context.replies = await asyncio.gather(
                *(
                    link.execute(make_call(key, _random_deadline_ms(key, rng)))
                    for key in context.keys
                )
            )
            await wait_until(lambda: len(peer.of_type(CallStart)) == count)
            await wait_until(lambda: link.late_replies == count // 2)
            context.late, context.left = link.late_replies, link.in_flight

    run(scenario())


def _has_long_deadline(key: bytes) -> bool:
    return int(key.rpartition(b"-")[2]) % 2 == 0


def _random_deadline_ms(key: str, rng: random.Random) -> float:
    return (
        LONG_DEADLINE_MS if _has_long_deadline(key.encode()) else rng.uniform(20, 400)
    )


@then("no call on the link got the answer of another one")
def step_own_answer(context: Any) -> None:
    for key, reply in zip(context.keys, context.replies, strict=True):
        if _has_long_deadline(key.encode()):
            assert isinstance(reply, Answer), (key, reply)
            assert reply.body.data == key.encode(), (key, reply.body.data)


@then("some calls on the link expired and their late answers were counted")
def step_late(context: Any) -> None:
    for key, reply in zip(context.keys, context.replies, strict=True):
        if not _has_long_deadline(key.encode()):
            assert isinstance(reply, Failed), (key, reply)
            assert reply.reason is Reason.DEADLINE, (key, reply)
    assert context.late == len(context.keys) // 2, context.late


@then("the link has no calls in flight")
def step_none_in_flight(context: Any) -> None:
    assert context.left == 0, context.left


async def _read(reply: Any) -> tuple[bytes, MarjoramstepError | None]:
    content = b""
    try:
        async for part in reply.body.parts():
            content += part
    except MarjoramstepError as error:
        return content, error
    return content, None


def _stream(context: Any, send_more: Any) -> None:
    async def scenario() -> None:
        peer = FakePeer()

        def answer(connection: Any, message: Any) -> None:
            if isinstance(message, CallStart):
                stream_id = message.stream_id
                connection.send(answer_start(stream_id, b"one", body_complete=False))
                send_more(connection, stream_id)

        peer.answer = answer
        async with link_to(peer) as link:
            reply = await link.execute(make_call())
            context.read = await _read(reply)

    run(scenario())


@when("a raw peer starts a streamed answer twice with different content")
def step_twice(context: Any) -> None:
    def send_more(connection: Any, stream_id: int) -> None:
        connection.send(answer_start(stream_id, b"two", body_complete=False))
        connection.send(BodyPart(stream_id=stream_id, data=b"two", last=True))

    _stream(context, send_more)


@when("a raw peer closes the connection in the middle of a streamed answer")
def step_truncated(context: Any) -> None:
    def send_more(connection: Any, stream_id: int) -> None:
        connection.send(BodyPart(stream_id=stream_id, data=b"-more", last=False))
        connection.close()

    _stream(context, send_more)


@then("the reader of the link's answer gets an error after at most the first content")
def step_error(context: Any) -> None:
    content, error = context.read
    assert error is not None, content
    assert b"one-more".startswith(content), content


@when("a raw peer sends answers, parts and credits for unknown streams")
def step_unknown(context: Any) -> None:
    async def scenario() -> None:
        peer = FakePeer()

        def answer(connection: Any, message: Any) -> None:
            if isinstance(message, CallStart):
                connection.send(answer_start(77, b"stranger"))
                connection.send(BodyPart(stream_id=78, data=b"stranger", last=True))
                connection.send(Credit(stream_id=79, credit_bytes=-5))
                connection.send(CancelReply(stream_id=80, ran=False))
                connection.send(answer_start(message.stream_id, message.body))

        peer.answer = answer
        async with link_to(peer) as link:
            context.reply = await link.execute(make_call("mine"))
            assert link.late_replies == 4, link.late_replies

    run(scenario())


@then("a call on that link still gets its own answer")
def step_still_answered(context: Any) -> None:
    assert isinstance(context.reply, Answer), context.reply
    assert context.reply.body.data == b"mine"


@when("a raw peer closes the connection after it has received a call")
def step_closes(context: Any) -> None:
    async def scenario() -> None:
        peer = FakePeer()
        peer.answer = lambda connection, _: connection.close()
        async with link_to(peer) as link:
            context.reply = await link.execute(make_call())

    run(scenario())


@then("the link reports the call as failed and not as refused")
def step_failed(context: Any) -> None:
    assert isinstance(context.reply, Failed), context.reply
    assert context.reply.reason is Reason.CONNECTION_LOST


@when("a call expires while the peer acknowledges its cancellation")
def step_acknowledged(context: Any) -> None:
    def answer(connection: Any, message: Any) -> None:
        if isinstance(message, Cancel):
            connection.send(CancelReply(stream_id=message.stream_id, ran=False))

    context.first = _expire(answer)


@when("another call expires while the peer sends nothing")
def step_silent(context: Any) -> None:
    context.second = _expire(lambda _connection, _message: None)


def _expire(answer: Any) -> Any:
    async def scenario() -> Any:
        peer = FakePeer()
        peer.answer = answer
        async with link_to(peer) as link:
            return await link.execute(make_call(deadline_ms=50.0))

    return run(scenario())


@then("the first expired call is refused and the second failed")
def step_expired(context: Any) -> None:
    assert isinstance(context.first, Refused), context.first
    assert isinstance(context.second, Failed), context.second


@when("an expired call is cancelled before the raw peer replies")
def step_cancelled(context: Any) -> None:
    async def scenario() -> None:
        peer = FakePeer()
        async with link_to(peer) as link:
            task = asyncio.create_task(link.execute(make_call(deadline_ms=30.0)))
            await wait_until(lambda: peer.of_type(Cancel), "the link's cancellation")
            task.cancel()
            await asyncio.wait({task})
            assert task.cancelled()
            context.left = link.in_flight

    run(scenario())


@when("a raw peer reads nothing until the call of a link has failed")
def step_silent_peer(context: Any) -> None:
    context.peer = peer = FakePeer()

    async def scenario(after: Any) -> None:
        loop = asyncio.get_running_loop()
        async with link_to(peer) as link:
            peer.answer = _answer_call
            assert isinstance(await link.execute(make_call("first")), Answer)
            transport = peer.connection._transport
            transport.pause_reading()
            call = asyncio.create_task(link.execute(make_call("silent")))
            await wait_until(lambda: link.check_liveness(loop.time()))
            reply = await call
            assert isinstance(reply, Failed), reply
            assert link.is_unresponsive
            link.check_liveness(loop.time())
            await after(link, transport)

    context.run_silent = scenario


def _answer_call(connection: Any, message: Any) -> None:
    if isinstance(message, CallStart):
        connection.send(answer_start(message.stream_id, message.body))


@when("the raw peer reads again")
def step_resume(context: Any) -> None:
    async def after(link: Any, transport: Any) -> None:
        transport.resume_reading()
        await wait_until(lambda: not link.is_unresponsive)
        context.is_open = link.is_open
        context.reply = await link.execute(make_call("later"))

    run(context.run_silent(after))


@then("the link takes calls again")
def step_takes_calls(context: Any) -> None:
    assert context.is_open
    assert isinstance(context.reply, Answer), context.reply


@when("the connection of the link is lost")
def step_lose(context: Any) -> None:
    async def after(link: Any, transport: Any) -> None:
        transport.abort()
        await wait_until(lambda: not link.is_open and not link.is_unresponsive)
        context.is_unresponsive, context.is_open = link.is_unresponsive, link.is_open

    run(context.run_silent(after))


@then("the link is closed and no longer unresponsive")
def step_closed(context: Any) -> None:
    assert (context.is_unresponsive, context.is_open) == (False, False)


@when("a raw peer replies with {fault}")
def step_invalid(context: Any, fault: str) -> None:
    replies = {
        "an unknown outcome": lambda i: answer_start(i, b"", outcome="maybe"),
        "an unknown reason": lambda i: refusal(i, "bad mood"),
        "negative tokens": lambda i: answer_start(i, b"", retry_tokens=-1),
        "too much credit": lambda i: Credit(stream_id=i, credit_bytes=1 << 30),
    }

    async def scenario() -> None:
        peer = FakePeer()
        peer.answer = lambda connection, message: connection.send(
            replies[fault](message.stream_id)
        )
        errors = []
        async with link_to(peer) as link:
            closed = link.on_closed
            link._connection._on_closed = lambda connection, error: (
                errors.append(error),
                closed(connection, error),
            )
            context.reply = await link.execute(make_call())
        context.errors = errors

    run(scenario())


@then("the link reports a protocol error and the call as failed")
def step_protocol(context: Any) -> None:
    assert isinstance(context.reply, Failed), context.reply
    assert isinstance(context.errors[0], ProtocolError), context.errors


@when("the connection of a link pool to a raw peer falls silent for good")
def step_silent_for_good(context: Any) -> None:
    peer = FakePeer()
    peer.answer = _answer_call

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: PeerConnection(
                KEY, node_hello(), False, peer.on_message, peer.on_closed
            ),
            "127.0.0.1",
            0,
        )
        log = EventLog(CLOCK, "test")
        links = LinkPool(KEY, _hello, CLOCK, lambda: 1, lambda _: None, log)
        checks = asyncio.create_task(links.run())
        address = server.sockets[0].getsockname()
        assert isinstance(await links.execute(address, make_call("first")), Answer)
        peer.connection._transport.pause_reading()
        reply = await links.execute(address, make_call("silent"))
        assert isinstance(reply, Failed), reply

        end = loop.time() + RECOVERY_LIMIT_SECONDS
        while loop.time() < end and not isinstance(context.reply, Answer):
            context.reply = await links.execute(address, make_call("later"))
            await asyncio.sleep(0.1)
        checks.cancel()
        links.close()
        server.close()

    context.reply = None
    run(scenario())


def _hello(_connection_class: Any) -> Any:
    return node_hello()


@then("later calls reach the peer over a new connection")
def step_reached_again(context: Any) -> None:
    assert isinstance(context.reply, Answer), context.reply
