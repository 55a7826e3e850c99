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
from marjoramstep_daemon.calls import Body
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


WHOLE_ANSWERS = {
    "a length": _answer("/new"),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nAnswer-Of: /new\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"4\r\n/new\r\n0\r\n\r\n"
    ),
    "a close": _answer("/new", length=False, extra="Connection: close\r\n"),
}


@when(
    "a backend server sends an answer framed by {framing} and malformed bytes in one "
    "write"
)
def step_malformed_behind(context: Any, framing: str) -> None:
    def respond(writer: Any, _path: str) -> None:
        writer.write(WHOLE_ANSWERS[framing] + b"not an answer\r\n\r\n")

    _send_requests(context, respond, [Body(), Body()], 0.05)


@when(
    "a backend server sends an answer framed by {framing} byte by byte, and says "
    "{connection}"
)
def step_byte_by_byte(context: Any, framing: str, connection: str) -> None:
    whole = WHOLE_ANSWERS[framing]
    if framing != "a close":
        whole = whole.replace(b"OK", f"OK\r\nConnection: {connection}".encode(), 1)

    async def send_bytes(writer: Any) -> None:
        for index in range(len(whole)):
            writer.write(whole[index : index + 1])
            # Each byte gets a turn of the event loop, and with it a read of its own.
            await asyncio.sleep(0.001)
        if connection == "close":
            writer.close()

    def respond(writer: Any, _path: str) -> None:
        context.sender = asyncio.create_task(send_bytes(writer))

    _send_requests(context, respond, [Body()], 0.0)


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
