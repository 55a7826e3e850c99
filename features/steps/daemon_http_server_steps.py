"""Steps for the HTTP interfaces for operators and backend servers."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web
from behave import then
from behave import when
from daemon_harness import run
from marjoramstep_daemon.http.server import HttpServer
from support.body_arrivals import ARRIVALS
from support.body_arrivals import SHORT_BODY
from support.body_arrivals import Arrival
from support.body_arrivals import Caller
from support.body_arrivals import RequestForm
from support.body_arrivals import request_forms


LONG_TIMEOUT_MS = 10_000


async def _echo(request: web.Request) -> web.Response:
    return web.Response(body=await request.read())


async def _start(body_timeout_ms: int) -> tuple[HttpServer, tuple[str, int]]:
    app = web.Application()
    app.router.add_post("/body", _echo)
    server = HttpServer(app, body_timeout_ms)
    return server, await server.start(("127.0.0.1", 0))


async def _exchange(way: str, form: RequestForm, address: tuple[str, int]) -> bytes:
    caller = Caller(*await asyncio.open_connection(*address))
    arrival = Arrival(form, caller, None, None, lambda _: None)  # type: ignore[arg-type]
    await ARRIVALS[way].send(arrival)
    await caller.read_answer()
    caller.writer.close()
    return caller.answers[0].body


@when("requests of all forms are sent to an interface, whose body arrives {way}")
def step_send(context: Any, way: str) -> None:
    async def scenario() -> None:
        server, address = await _start(LONG_TIMEOUT_MS)
        context.bodies = await asyncio.gather(
            *[_exchange(way, form, address) for form in request_forms()]
        )
        await server.close()

    run(scenario())


@then("the interface gets each body in full")
def step_bodies(context: Any) -> None:
    assert set(context.bodies) == {SHORT_BODY}
    assert len(context.bodies) == len(list(request_forms()))


@when(
    "a client of an interface with a body timeout of {timeout_ms:d} ms stops within a "
    "body {framing}"
)
def step_stop(context: Any, timeout_ms: int, framing: str) -> None:
    form = RequestForm("", "1.1", framing == "in chunks", False)

    async def scenario() -> None:
        server, address = await _start(timeout_ms)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(form.head("/body", len(SHORT_BODY)) + form.body(SHORT_BODY)[:50])
        context.received = await reader.read()
        writer.close()
        await server.close()

    run(scenario())


@then("the client gets status {status:d} and its connection closes")
def step_status(context: Any, status: int) -> None:
    line = context.received.split(b"\r\n")[0]
    assert line.startswith(f"HTTP/1.1 {status} ".encode()), context.received
