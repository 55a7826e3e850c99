"""Steps for ``BackendServerClient`` against a scripted TCP server."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Any

from behave import then
from behave import when
from daemon_harness import make_call
from daemon_harness import run
from daemon_harness import wait_until
from marjoramstep_core.errors import ConnectionFailedError
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_daemon.backend_servers.client import BackendFault
from marjoramstep_daemon.backend_servers.client import BackendServerClient
from marjoramstep_daemon.backend_servers.client import BackendServerError
from marjoramstep_daemon.backend_servers.protocol import NativeBackendProtocol
from marjoramstep_daemon.calls import Body
from multidict import CIMultiDict


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TRUNCATED_ANSWERS = {
    "a short answer with a length": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
    "a long answer with a length": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + bytes(300_000)
    ),
    "a chunked answer": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
    ),
    "the head of an answer": b"HTTP/1.1 200 OK\r\nContent-Len",
}


class ScriptedServer:
    """Runs a script after each request's headers and records what is received."""

    def __init__(
        self, script: Callable[[ScriptedServer, Any], Awaitable[None]]
    ) -> None:
        self.script = script
        self.heads: list[bytes] = []
        self.received = b""
        self.closed_connections = 0

    async def handle(self, reader: Any, writer: Any) -> None:
        """Serve one connection until it is closed."""
        try:
            while True:
                self.heads.append(await reader.readuntil(b"\r\n\r\n"))
                self.reader = reader
                await self.script(self, writer)
        except (asyncio.IncompleteReadError, OSError):
            self.closed_connections += 1
        finally:
            writer.close()


@asynccontextmanager
async def _open_client(server: ScriptedServer) -> AsyncIterator[BackendServerClient]:
    listener = await asyncio.start_server(server.handle, "127.0.0.1", 0)
    address = listener.sockets[0].getsockname()
    client = BackendServerClient(address, 10, NativeBackendProtocol())
    try:
        yield client
    finally:
        await client.close()
        listener.close()


async def _send(client: BackendServerClient, **fields: Any) -> Any:
    """Return the body of the answer, or the error."""
    fields.setdefault("body", Body())
    try:
        call = make_call(method="GET", **fields)
        reply = await client.send(call, CIMultiDict({"Host": "backend"}))
        return b"".join([part async for part in reply.body.parts()])
    except MarjoramstepError as error:
        return error


@when("a scripted backend server accepts connections and {then}")
def step_accepts(context: Any, then: str) -> None:
    async def handle(_reader: Any, writer: Any) -> None:
        if then.startswith("ends"):
            await asyncio.sleep(0.01)
            writer.transport.abort()

    async def scenario() -> None:
        server = ScriptedServer(lambda _server, _writer: asyncio.sleep(0))
        server.handle = handle  # type: ignore[method-assign]
        async with _open_client(server) as client:
            context.is_alive = await client.is_alive()

    run(scenario())


@then("the client reports that the backend server is {state}")
def step_state(context: Any, state: str) -> None:
    assert context.is_alive == (state == "alive"), context.is_alive


@when("a scripted backend server closes a reused connection after reading a request")
def step_reused_connection(context: Any) -> None:
    async def script(server: ScriptedServer, writer: Any) -> None:
        if b"/second" in server.heads[-1]:
            writer.close()
            raise ConnectionResetError
        writer.write(OK_ANSWER)

    async def scenario() -> None:
        server = ScriptedServer(script)
        async with _open_client(server) as client:
            assert await _send(client, path="/first") == b"ok"
            context.result = await _send(client, path="/second")
            await asyncio.sleep(0.1)
        context.server = server

    run(scenario())


@then("the client reports a broken exchange")
def step_broken_exchange(context: Any) -> None:
    assert isinstance(context.result, BackendServerError), context.result
    assert context.result.fault is BackendFault.BROKEN


@then("the scripted backend server has read that request once")
def step_read_once(context: Any) -> None:
    paths = [head.split()[1] for head in context.server.heads]
    assert paths == [b"/first", b"/second"], paths


@when("no backend server listens at the client's address")
def step_not_listening(context: Any) -> None:
    async def scenario() -> None:
        listener = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        address = listener.sockets[0].getsockname()
        listener.close()
        await listener.wait_closed()
        client = BackendServerClient(address, 10, NativeBackendProtocol())
        context.result = await _send(client)
        await client.close()

    run(scenario())


@then("the client reports that it was not connected")
def step_not_connected(context: Any) -> None:
    assert isinstance(context.result, BackendServerError), context.result
    assert context.result.fault is BackendFault.NOT_CONNECTED


@when("a scripted backend server truncates {answer}")
def step_truncated(context: Any, answer: str) -> None:
    async def script(_server: ScriptedServer, writer: Any) -> None:
        writer.write(TRUNCATED_ANSWERS[answer])
        await writer.drain()
        writer.close()
        raise ConnectionResetError

    async def scenario() -> None:
        async with _open_client(ScriptedServer(script)) as client:
            context.result = await _send(client)

    run(scenario())


@then("reading the answer fails")
def step_read_fails(context: Any) -> None:
    assert isinstance(context.result, BackendServerError), context.result
    assert context.result.fault is BackendFault.BROKEN


@when("the body of a call is truncated while a scripted backend server reads it")
def step_truncated_upload(context: Any) -> None:
    async def script(server: ScriptedServer, _writer: Any) -> None:
        while part := await server.reader.read(65_536):
            server.received += part
        raise ConnectionResetError

    async def parts() -> Any:
        yield b"part"
        raise ConnectionFailedError("the caller left", step="read body")

    async def scenario() -> None:
        server = ScriptedServer(script)
        async with _open_client(server) as client:
            body = Body(b"first", rest=parts(), length=-1)
            context.result = await _send(client, body=body)
            await wait_until(
                lambda: server.closed_connections, "the end of the connection"
            )
        context.server = server

    run(scenario())


@then("the client reports the caller's error")
def step_caller_error(context: Any) -> None:
    assert isinstance(context.result, ConnectionFailedError), context.result
    assert not isinstance(context.result, BackendServerError), context.result


@then("the scripted backend server did not see the end of the body")
def step_no_body_end(context: Any) -> None:
    assert b"first" in context.server.received
    assert not context.server.received.endswith(b"0\r\n\r\n")


@when("a request to a scripted backend server is cancelled while it runs")
def step_cancel(context: Any) -> None:
    async def script(server: ScriptedServer, _writer: Any) -> None:
        await server.reader.readexactly(1)

    async def scenario() -> None:
        server = ScriptedServer(script)
        async with _open_client(server) as client:
            task = asyncio.create_task(_send(client))
            await wait_until(lambda: server.heads, "the request")
            task.cancel()
            await wait_until(
                lambda: server.closed_connections, "the end of the connection"
            )
        context.server = server

    run(scenario())


@then("the scripted backend server sees the end of that connection")
def step_connection_closed(context: Any) -> None:
    assert context.server.closed_connections == 1
