"""Steps for answers that do not belong to the request that waits, or have no end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from behave import then
from behave import when
from daemon_harness import make_call
from daemon_harness import run
from marjoramstep_daemon.backend_servers.client import BackendServerClient
from marjoramstep_daemon.backend_servers.client import BackendServerError
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.calls import Refused
from marjoramstep_platform.backend_protocol import PlatformBackendProtocol
from multidict import CIMultiDict


if TYPE_CHECKING:
    from collections.abc import Callable

REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


def _signed_answer(request_id: str) -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nServer-Signature: s\r\n"
        "Content-Length: 2\r\n\r\nok"
    ).encode()


def _send_ids(
    context: Any, respond: Callable[[Any, int, int], None], ids: list[str], limit: int
) -> None:
    """Send one request for each id in sequence.

    :param respond: gets the writer, the number of its connection and the number of the
        request on it, both from 0
    :param limit: maximum number of connections
    """
    context.connections = 0

    async def handle(reader: Any, writer: Any) -> None:
        number = context.connections
        context.connections += 1
        requests = 0
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                respond(writer, number, requests)
                requests += 1
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def scenario() -> None:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        client = BackendServerClient(address, limit, PlatformBackendProtocol())
        context.results = []
        for request_id in ids:
            call = make_call(key=request_id, method="GET", body=Body())
            context.results.append(await client.send(call, CIMultiDict({"Host": "s"})))
        await client.close()
        server.close()

    run(scenario())


@when(
    "a backend server refuses a request and sends the refusal again before its next "
    "answer, with a limit of {limit:d} connections"
)
def step_late_second_refusal(context: Any, limit: int) -> None:
    def respond(writer: Any, connection: int, request: int) -> None:
        if connection == 0 and request == 0:
            writer.write(REFUSAL)
        elif connection == 0:
            writer.write(REFUSAL + _signed_answer("a"))
        else:
            writer.write(_signed_answer("a"))

    _send_ids(context, respond, ["a", "a"], limit)


@then("the second send of the request is answered")
def step_second_send_answered(context: Any) -> None:
    first, second = context.results
    assert isinstance(first, Refused), first
    assert isinstance(second, Answer), second


@when(
    "a backend server that has answered a request refuses one without an id before its "
    "next answer"
)
def step_refusal_without_id(context: Any) -> None:
    unmarked = REFUSAL.replace(b"Attempt-Id: a\r\n", b"")

    def respond(writer: Any, _connection: int, request: int) -> None:
        if request == 0:
            writer.write(_signed_answer("a"))
        else:
            writer.write(unmarked + _signed_answer("b"))

    _send_ids(context, respond, ["a", "b"], 10)


@then("the second request is answered")
def step_second_answered(context: Any) -> None:
    assert all(isinstance(reply, Answer) for reply in context.results), context.results


# Far more than any limit on what is read of an answer that is not passed on.
ENDLESS_PARTS = 20_000
PART = b"X-Part: " + b"a" * 1_000 + b"\r\n"
ENDLESS_STARTS = {
    "a head of many lines": (b"HTTP/1.1 200 OK\r\n", PART),
    "a head of one line": (b"HTTP/1.1 200 OK\r\nX: ", b"a" * 1_000),
    "bytes without a line": (b"", b"a" * 1_000),
    "a refusal": (
        b"HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a\r\nNot-Executed: 1\r\n\r\n",
        PART,
    ),
    "an answer to another request": (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 99000000\r\n\r\n",
        PART,
    ),
}


@when("a backend server sends {kind} without end")
def step_endless(context: Any, kind: str) -> None:
    start, part = ENDLESS_STARTS[kind]
    context.sent_bytes = 0

    async def handle(reader: Any, writer: Any) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            for _ in range(ENDLESS_PARTS):
                writer.write(part)
                await writer.drain()
                context.sent_bytes += len(part)
            await reader.read()
        except OSError:
            pass
        finally:
            writer.close()

    async def scenario() -> None:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        client = BackendServerClient(address, 10, PlatformBackendProtocol())
        call = make_call(key="a", method="GET", body=Body())
        try:
            async with asyncio.timeout(5.0):
                context.results = [await client.send(call, CIMultiDict({"Host": "s"}))]
        except (BackendServerError, TimeoutError) as error:
            context.results = [error]
        await client.close()
        server.close()

    run(scenario())


@then("the client reports a refusal")
def step_refusal(context: Any) -> None:
    (result,) = context.results
    assert isinstance(result, Refused), result
    assert context.sent_bytes < ENDLESS_PARTS * len(PART), context.sent_bytes
