"""Steps for HTTP connections of callers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import Any

from behave import given
from behave import then
from behave import when
from daemon_harness import wait_until
from support.blocking_entry import encode_get
from support.blocking_entry import encode_post
from support.blocking_entry import read_answer
from support.blocking_entry import with_caller


LONG_BODY_BYTES = 200_000


HEADER_TIMEOUT_SECONDS = 30.0
UPLOAD_BYTES = 4_000_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@given("a caller listener whose requests run until the test releases them")
def step_listener(context: Any) -> None:
    context.entry = None


@when('a caller sends requests "/1" and "/2" at once and "/2" ends first')
def step_pipeline(context: Any) -> None:
    async def scenario(_: Any, reader: Any, writer: Any) -> None:
        entry = context.entry
        writer.write(encode_get("/1") + encode_get("/2"))
        await wait_until(lambda: len(entry.releases) == 2)
        context.running = sorted(entry.releases)
        entry.releases["/2"].set()
        await asyncio.sleep(0.02)
        entry.releases["/1"].set()
        context.bodies = [(await read_answer(reader))[1] for _ in range(2)]

    with_caller(context, scenario)


@then("both requests were running before the first answer")
def step_running(context: Any) -> None:
    assert context.running == ["/1", "/2"], context.running


@then('the caller gets the answers of "/1" and "/2" in this order')
def step_order(context: Any) -> None:
    assert context.bodies == [b"/1", b"/2"], context.bodies


@when('a caller sends requests "/1" and "/2" at once and closes the connection')
def step_close(context: Any) -> None:
    async def scenario(_: Any, reader: Any, writer: Any) -> None:
        writer.write(encode_get("/1") + encode_get("/2"))
        await wait_until(lambda: len(context.entry.releases) == 2)
        writer.close()
        await wait_until(lambda: len(context.entry.cancelled) == 2)

    with_caller(context, scenario)


@then("both requests are cancelled")
def step_cancelled(context: Any) -> None:
    assert sorted(context.entry.cancelled) == ["/1", "/2"]


@when("a request with a long body is answered before the body is complete")
def step_early_answer(context: Any) -> None:
    async def scenario(_: Any, reader: Any, writer: Any) -> None:
        head = f"POST /1 HTTP/1.1\r\nHost: s\r\nContent-Length: {LONG_BODY_BYTES}\r\n"
        writer.write(head.encode() + b"\r\n" + bytes(LONG_BODY_BYTES // 2))
        await wait_until(lambda: "/1" in context.entry.releases)
        context.entry.releases["/1"].set()
        context.head, _ = await read_answer(reader)

    with_caller(context, scenario)


@when('requests "/1" and "/2" are sent at once, "/2" ends and the listener ends "/1"')
def step_end_unanswered(context: Any) -> None:
    async def scenario(listener: Any, reader: Any, writer: Any) -> None:
        entry = context.entry
        writer.write(encode_get("/1") + encode_get("/2"))
        await wait_until(lambda: len(entry.releases) == 2)
        entry.releases["/2"].set()
        await asyncio.sleep(0.02)
        listener.end_unanswered()
        context.answers = [await read_answer(reader) for _ in range(2)]

    with_caller(context, scenario)


@then('the caller gets an unknown outcome of "/1" and then the answer of "/2"')
def step_unknown_then_answer(context: Any) -> None:
    (first_head, _), (second_head, second_body) = context.answers
    assert context.entry.cancelled == ["/1"], context.entry.cancelled
    assert b"outcome: unknown" in first_head.lower(), first_head
    assert b" 200 " in second_head.splitlines()[0], second_head
    assert second_body == b"/2", second_body


@when('the listener announces its close while "/1" runs')
def step_announce_close(context: Any) -> None:
    async def scenario(listener: Any, reader: Any, writer: Any) -> None:
        writer.write(encode_get("/1"))
        await wait_until(lambda: "/1" in context.entry.releases)
        listener.announce_close()
        context.entry.releases["/1"].set()
        context.head, _ = await read_answer(reader)

    with_caller(context, scenario)


@then("the answer announces that the connection closes")
@then('the answer of "/1" announces that the connection closes')
def step_closes(context: Any) -> None:
    assert b"connection: close" in context.head.lower(), context.head


@when('the answer of "/1" cannot be written and "/2" was sent behind it')
def step_unwritable_answer(context: Any) -> None:
    async def scenario(_: Any, reader: Any, writer: Any) -> None:
        entry = context.entry
        entry.headers["/1"] = [("X", "\x01")]
        writer.write(encode_get("/1") + encode_get("/2"))
        await wait_until(lambda: len(entry.releases) == 2)
        entry.releases["/2"].set()
        entry.releases["/1"].set()
        try:
            async with asyncio.timeout(5.0):
                context.received = await reader.read(1_000)
        except ConnectionResetError:
            context.received = b""

    with_caller(context, scenario)


@then('the connection ends without the answer of "/2"')
def step_no_foreign_answer(context: Any) -> None:
    assert context.received == b"", context.received


@when(
    "a caller sends a request with Connection: close whose body of {size:d} bytes "
    "follows in {parts:d} parts"
)
def step_last_request(context: Any, size: int, parts: int) -> None:
    async def scenario(_: Any, reader: Any, writer: Any) -> None:
        context.entry.reads_bodies = True
        writer.write(encode_post("/1", size))
        for _part in range(parts):
            await asyncio.sleep(0.02)
            writer.write(bytes(size // parts))
            await writer.drain()
        await wait_until(lambda: "/1" in context.entry.body_sizes)
        context.entry.releases["/1"].set()
        context.head, _body = await read_answer(reader)

    with_caller(context, scenario)


@then("the request is run with a body of {size:d} bytes and is answered")
def step_run_with_body(context: Any, size: int) -> None:
    assert context.entry.body_sizes == {"/1": size}, context.entry.body_sizes
    assert b" 200 " in context.head.splitlines()[0], context.head


@when("a caller sends a request behind the body of one with Connection: close")
def step_behind_last_request(context: Any) -> None:
    async def scenario(_: Any, reader: Any, writer: Any) -> None:
        context.entry.reads_bodies = True
        writer.write(encode_post("/1", 4))
        await asyncio.sleep(0.02)
        writer.write(b"body" + encode_get("/2"))
        await wait_until(lambda: "/1" in context.entry.body_sizes)
        context.entry.releases["/1"].set()
        context.head, _body = await read_answer(reader)
        context.rest = await reader.read()

    with_caller(context, scenario)


@then("only the first of them is run and answered")
def step_only_first(context: Any) -> None:
    assert list(context.entry.releases) == ["/1"], context.entry.releases
    assert b" 200 " in context.head.splitlines()[0], context.head
    assert context.rest == b"", context.rest


@when(
    "a body ends in another read than its head and more than the header timeout passes"
)
def step_split_body(context: Any) -> None:
    async def scenario(listener: Any, reader: Any, writer: Any) -> None:
        context.entry.reads_bodies = True
        writer.write(encode_post("/1", 4).replace(b"Connection: close\r\n", b""))
        await asyncio.sleep(0.02)
        writer.write(b"body")
        await wait_until(lambda: "/1" in context.entry.body_sizes)
        (connection,) = listener._connections
        later = asyncio.get_running_loop().time() + 2 * HEADER_TIMEOUT_SECONDS
        connection.check_timeouts(later)
        context.entry.releases["/1"].set()
        writer.write(encode_get("/2"))
        await wait_until(lambda: "/2" in context.entry.releases)
        context.entry.releases["/2"].set()
        context.bodies = [(await read_answer(reader))[1] for _ in range(2)]

    with_caller(context, scenario)


@then("the request is answered and its connection takes another one")
def step_both_answered(context: Any) -> None:
    assert context.bodies == [b"/1", b"/2"], context.bodies


@when('the answer of "/2" waits for that of "/1" and the caller closes its connection')
def step_answer_waits(context: Any) -> None:
    async def scenario(_: Any, reader: Any, writer: Any) -> None:
        entry = context.entry
        entry.streamed_paths = {"/2"}
        writer.write(encode_get("/1") + encode_get("/2"))
        await wait_until(lambda: len(entry.releases) == 2)
        entry.releases["/2"].set()
        await asyncio.sleep(0.02)
        writer.close()
        await wait_until(lambda: entry.cancelled == ["/1"], "the end of the caller")
        await asyncio.sleep(0.02)

    with_caller(context, scenario)


@then('the rest of the answer of "/2" is abandoned')
def step_abandoned_rest(context: Any) -> None:
    assert context.entry.abandoned == ["/2"], context.entry.abandoned


@when("a caller sends more of an upload than the node holds and resets its connection")
def step_reset_upload(context: Any) -> None:
    async def scenario(_: Any, reader: Any, writer: Any) -> None:
        writer.write(encode_post("/1", UPLOAD_BYTES) + bytes(UPLOAD_BYTES // 2))
        await wait_until(lambda: "/1" in context.entry.releases)
        await asyncio.sleep(0.1)
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()
        with contextlib.suppress(AssertionError):
            await wait_until(lambda: context.entry.cancelled)
        # The end of the listener cancels it as well.
        context.noticed = list(context.entry.cancelled)

    with_caller(context, scenario)


@then("the request of the upload is cancelled")
def step_upload_cancelled(context: Any) -> None:
    assert context.noticed == ["/1"], context.noticed
