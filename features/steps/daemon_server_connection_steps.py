"""Steps for HTTP connections to the backend server."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING
from typing import Any

from behave import then
from behave import when
from daemon_harness import make_call
from daemon_harness import run
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_daemon.backend_servers.client import BackendServerClient
from marjoramstep_daemon.backend_servers.client import BackendServerError
from marjoramstep_daemon.backend_servers.protocol import NativeBackendProtocol
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.calls import Refused
from marjoramstep_platform.backend_protocol import PlatformBackendProtocol
from multidict import CIMultiDict


if TYPE_CHECKING:
    from collections.abc import Callable

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
LONG_BODY = bytes(5_000_000)


class EchoProtocol(NativeBackendProtocol):
    """Matches answers to requests by a header that echoes the request path."""

    def matches(self, call: Any, status: int, headers: Any, *, is_first: bool) -> bool:
        """Compare the echoed path with that of the call."""
        return headers.get("Answer-Of") == call.path


def _answer(of: str, extra: str = "", length: bool = True) -> bytes:
    size = f"Content-Length: {len(of)}\r\n" if length else ""
    return f"HTTP/1.1 200 OK\r\nAnswer-Of: {of}\r\n{size}{extra}\r\n{of}".encode()


def _path_of(head: bytes) -> str:
    return head.split()[1].decode()


def _send_requests(
    context: Any, respond: Callable[[Any, str], None], bodies: list[Body], pause: float
) -> None:
    """Send one request "new" per body to a scripted server, in sequence."""
    context.connections = 0

    async def handle(reader: Any, writer: Any) -> None:
        context.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                respond(writer, _path_of(head))
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
            writer.close()

    async def send(client: BackendServerClient, body: Body) -> Any:
        call = make_call(method="POST", path="/new", body=body)
        try:
            reply: Any = await client.send(call, CIMultiDict({"Host": "s"}))
            return b"".join([part async for part in reply.body.parts()])
        except MarjoramstepError as error:
            return error

    async def scenario() -> None:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        client = BackendServerClient(address, 10, EchoProtocol())
        context.results = []
        for body in bodies:
            context.results.append(await send(client, body))
            await asyncio.sleep(pause)
        await client.close()
        server.close()

    run(scenario())


@when('a backend server sends the answer to request "old" before that to "new"')
def step_late_answer(context: Any) -> None:
    def respond(writer: Any, path: str) -> None:
        writer.write(_answer("/old") + _answer(path))

    _send_requests(context, respond, [Body()], 0.0)


@when('a backend server answers "new" twice and gets a second request')
def step_surplus_answer(context: Any) -> None:
    def respond(writer: Any, path: str) -> None:
        writer.write(_answer(path) + _answer(path))

    _send_requests(context, respond, [Body(), Body()], 0.05)


@when("a backend server sends an answer without a length and {end} the connection")
def step_no_length(context: Any, end: str) -> None:
    def respond(writer: Any, path: str) -> None:
        writer.write(_answer(path, length=False))
        if end == "closes":
            writer.close()
            return
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        asyncio.get_running_loop().call_later(0.05, writer.transport.abort)

    _send_requests(context, respond, [Body()], 0.0)


@when("a backend server sends an answer with {fault}")
def step_malformed_answer(context: Any, fault: str) -> None:
    def respond(writer: Any, path: str) -> None:
        answer = _answer(path, "Server-Signature: a\r\n")
        if fault.startswith("the status"):
            status = fault.rpartition(" ")[2]
            writer.write(answer.replace(b"200", status.encode(), 1))
        else:
            character = bytes.fromhex(fault.rpartition(" ")[2])
            writer.write(answer.replace(b"Signature: a", b"Signature: " + character))

    _send_requests(context, respond, [Body()], 0.0)


@when("a backend server announces an idle time of 1 s and gets a second request")
def step_idle_time(context: Any) -> None:
    # The client's margin is 1 s, so it does not reuse the connection at all.
    def respond(writer: Any, path: str) -> None:
        writer.write(_answer(path, "Keep-Alive: timeout=1\r\n"))

    _send_requests(context, respond, [Body(), Body()], 0.05)


@when(
    "a backend server answers before it has read a long body and gets a second request"
)
def step_early_answer(context: Any) -> None:
    def respond(writer: Any, path: str) -> None:
        writer.write(_answer(path))

    long = Body(LONG_BODY[:60_000], rest=_slow_parts(), length=len(LONG_BODY))
    _send_requests(context, respond, [long, Body()], 0.05)


async def _slow_parts() -> Any:
    for offset in range(60_000, len(LONG_BODY), 60_000):
        yield LONG_BODY[offset : offset + 60_000]
        await asyncio.sleep(0.01)


@then('the client returns the body of "new"')
def step_new_body(context: Any) -> None:
    assert context.results == [b"/new"], context.results


@then("the client reports a broken answer")
def step_broken_answer(context: Any) -> None:
    (result,) = context.results
    assert isinstance(result, BackendServerError), result


@then("both requests are answered on two connections")
def step_two_connections(context: Any) -> None:
    assert context.results == [b"/new", b"/new"], context.results
    assert context.connections == 2, context.connections


@when(
    "a long chunked answer that was read in full is abandoned during a second request"
)
def step_chunked_answer(context: Any) -> None:
    content = bytes(100_000)

    async def handle(reader: Any, writer: Any) -> None:
        context.connections += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                head = (
                    "HTTP/1.1 200 OK\r\nAnswer-Of: /new\r\n"
                    f"Transfer-Encoding: chunked\r\n\r\n{len(content):x}\r\n"
                )
                writer.write(head.encode() + content + b"\r\n0\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def send_call(client: BackendServerClient) -> Any:
        call = make_call(method="GET", path="/new", body=Body())
        reply: Any = await client.send(call, CIMultiDict({"Host": "s"}))
        data = b"".join([part async for part in reply.body.parts()])
        return reply, data

    async def scenario() -> None:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        client = BackendServerClient(address, 10, EchoProtocol())
        first, data = await send_call(client)
        second = asyncio.create_task(send_call(client))
        await asyncio.sleep(0)
        # The session abandons each answer after sending it, even one that was read in
        # full.
        first.body.abandon()
        context.results = [data, (await second)[1]]
        await client.close()
        server.close()

    context.connections = 0
    run(scenario())
    assert context.results == [content, content]


@then("both requests are answered on one connection")
def step_one_connection(context: Any) -> None:
    assert context.connections == 1, context.connections


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


WHOLE_ANSWERS = {
    "a length": _answer("/new"),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nAnswer-Of: /new\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"4\r\n/new\r\n0\r\n\r\n"
    ),
    "a close": _answer("/new", length=False, extra="Connection: close\r\n"),
}


@when("a backend server closes after each part of an answer framed by {framing}")
def step_cut_everywhere(context: Any, framing: str) -> None:
    whole = WHOLE_ANSWERS[framing]
    end = whole.index(b"\r\n\r\n") + 4 if framing == "a close" else len(whole)
    # The last chunk ends the body; what may follow it are trailers.
    end -= len(b"\r\n") if framing == "chunks" else 0
    cuts = iter(range(end))

    def respond(writer: Any, _path: str) -> None:
        writer.write(whole[: next(cuts)])
        writer.close()

    _send_requests(context, respond, [Body() for _ in range(end)], 0.0)


@then("the client reports a broken answer for each")
def step_all_broken(context: Any) -> None:
    wrong = [
        position
        for position, result in enumerate(context.results)
        if not isinstance(result, BackendServerError)
    ]
    assert not wrong, wrong


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
