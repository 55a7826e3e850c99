"""A stand-in of an application server and its heartbeats, after the users' pages.

It reads whole requests, echoes ``Attempt-Id``, signs each answer and refuses a request
for another instance with 421. A test passes a handler for what it answers.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from fleet import PORTS
from fleet import Fleet
from fleet import Process
from fleet import http

HEARTBEAT_SECONDS = 1.5


@dataclass
class Request:
    """A request that has been read in full."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    at: float = field(default_factory=time.monotonic)

    @property
    def attempt_id(self) -> str:
        return self.headers.get("attempt-id", "")


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """One application server beside a node."""

    def __init__(
        self,
        fleet: Fleet,
        node: Process,
        service: str,
        handler: Handler,
        slots: int = 36,
    ) -> None:
        self.fleet, self.node, self.service, self.handler = (
            fleet,
            node,
            service,
            handler,
        )
        self.address = f"{node.ip}:{PORTS['app']}"
        self.slots = slots
        self.instance = f"i-{node.name}-1"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.ran: list[Request] = []
        self._listener: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._listener = await asyncio.start_server(self._serve, host, int(port))
        self._beats = asyncio.create_task(self._beat())

    async def beat(self) -> int:
        """Send one heartbeat; return the status, 0 without an answer in time."""
        self.seq += 1
        status, _, _ = await http(
            self.node.fields["listen"]["control"],
            "PUT",
            f"/-/instances/{self.instance}",
            {"Content-Type": "application/json"},
            self.document(),
            1.0,
        )
        return status

    def document(self) -> bytes:
        """Return the body of a heartbeat."""
        info = {
            "service": self.service,
            "version": "v1",
            "zone": "zone-a",
            "slots": self.slots,
        }
        status = {"state": self.state, "seq": self.seq, "warmup_left": "0ms"}
        return json.dumps(
            {"address": self.address, "born": self.born, "info": info, "status": status}
        ).encode()

    async def _beat(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS if self.seq > 4 else 0.4)

    def stop_heartbeats(self) -> None:
        """Send no further heartbeat."""
        if self._beats is not None:
            self._beats.cancel()

    async def close(self) -> None:
        self.stop_heartbeats()
        if self._listener is not None:
            self._listener.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await read_request(reader):
                if request.path == "/health":
                    writer.write(
                        f"HTTP/1.1 200 OK\r\nInstance-Id: {self.instance}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                    continue
                expected = request.headers.get("expected-instance", self.instance)
                if expected != self.instance:
                    writer.write(answer(request, b"", status="421 Misdirected Request"))
                    continue
                self.ran.append(request)
                await self.handler(request, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request with its body; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, path, headers, body)


def answer(
    request: Request, body: bytes, status: str = "200 OK", extra: str = ""
) -> bytes:
    """Build a signed answer that echoes the id of the request."""
    return (
        f"HTTP/1.1 {status}\r\nAttempt-Id: {request.attempt_id}\r\n"
        f"Server-Signature: s.{request.attempt_id}.{len(body)}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body
