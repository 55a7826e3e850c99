"""Steps for callers that send what is no request."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import then
from behave import when
from support.blocking_entry import encode_get
from support.blocking_entry import encode_post
from support.blocking_entry import read_answer
from support.blocking_entry import with_caller


ANSWER_LIMIT_SECONDS = 5.0


@when("a caller sends two Content-Length headers and another request in the body")
def step_smuggled(context: Any) -> None:
    async def scenario(_: Any, reader: Any, writer: Any) -> None:
        smuggled = encode_get("/hidden")
        head = (
            "POST /1 HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n"
            f"Content-Length: {len(smuggled)}\r\n\r\n"
        )
        writer.write(head.encode() + smuggled)
        context.head, _ = await read_answer(reader)

    with_caller(context, scenario)


@then("the caller gets status {status:d} and no request was run")
def step_not_run(context: Any, status: int) -> None:
    assert f" {status} ".encode() in context.head.splitlines()[0], context.head
    assert not context.entry.releases, context.entry.releases


@when("a caller sends a header with a control character")
def step_control_character(context: Any) -> None:
    async def scenario(_: Any, reader: Any, writer: Any) -> None:
        writer.write(b"GET /1 HTTP/1.1\r\nHost: s\r\nX: a\x01b\r\n\r\n")
        context.head, _ = await read_answer(reader)

    with_caller(context, scenario)


REQUESTS = {
    "a request": encode_get("/1"),
    "a request with a body": encode_post("/1", 4).replace(b"Connection: close\r\n", b"")
    + b"body",
    "a last request": encode_get("/1").replace(b"Host", b"Connection: close\r\nHost"),
    "a last request with a body": encode_post("/1", 4) + b"body",
    "a last request with chunks": encode_post("/1", 4).replace(
        b"Content-Length: 4", b"Transfer-Encoding: chunked"
    )
    + b"4\r\nbody\r\n0\r\n\r\n",
}


@when("a caller sends {request} and malformed bytes in one read")
def step_malformed_behind(context: Any, request: str) -> None:
    async def scenario(_: Any, reader: Any, writer: Any) -> None:
        context.entry.releases["/1"] = asyncio.Event()
        context.entry.releases["/1"].set()
        writer.write(REQUESTS[request] + b"not a request\r\n\r\n")
        async with asyncio.timeout(ANSWER_LIMIT_SECONDS):
            context.received = await reader.read()

    with_caller(context, scenario)


@then("the request is answered first, and then {following}")
def step_answered_first(context: Any, following: str) -> None:
    head, _, rest = context.received.partition(b"\r\n\r\n/1")
    assert head.startswith(b"HTTP/1.1 200 "), context.received
    if following == "the connection ends":
        assert rest == b"", context.received
    else:
        assert rest.startswith(b"HTTP/1.1 400 "), context.received


@when("a caller sends a malformed chunk {place} the head of a {kind} request")
def step_malformed_chunk(context: Any, place: str, kind: str) -> None:
    head = encode_post("/1", 4).replace(
        b"Content-Length: 4", b"Transfer-Encoding: chunked"
    )
    if kind == "kept":
        head = head.replace(b"Connection: close\r\n", b"")

    async def scenario(_: Any, reader: Any, writer: Any) -> None:
        context.entry.reads_bodies = True
        writer.write(head)
        if place == "after":
            await asyncio.sleep(0.02)
        writer.write(b"zz\r\nbody\r\n")
        async with asyncio.timeout(ANSWER_LIMIT_SECONDS):
            context.head, _body = await read_answer(reader)

    with_caller(context, scenario)
