"""Stand-in of a backend server that follows the users' pages.

It serves one request at a time on a connection, echoes ``Attempt-Id``, signs its
answers, refuses requests that expect another instance with 421, and sends heartbeats to
the node on its machine.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .client import fetch


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from .deployment import Machine
    from .deployment import Record

HEARTBEAT_S = 1.5


@dataclass
class Run:
    """A request that the server began to run.

    :param ended_s: when the server was done with it, None while it is at work
    :param end: how it ended: answered or dropped
    """

    at_s: float
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    ended_s: float | None = None
    end: str = ""


class Server:
    """One incarnation of a backend server.

    :param record: the record of the case
    :param machine: its machine
    :param control_port: port on which the node takes heartbeats
    :param instance: id of the incarnation
    :param work_s: time that a request takes
    :param slots: requests that it runs at the same time, as it says of itself
    """

    def __init__(
        self,
        record: Record,
        machine: Machine,
        control_port: int,
        instance: str,
        work_s: float = 0.02,
        slots: int = 20,
    ) -> None:
        self.record = record
        self.machine = machine
        self.service = str(machine.fields["service"])
        self.instance = instance
        self.work_s = work_s
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.heartbeats_to = (machine.ip, control_port)
        # The address that the server names in its heartbeats.
        self.announced = str(machine.fields["app_addr"])
        self.runs: list[Run] = []
        # Returns the bytes of the answer to a run, None for the usual answer.
        self.answer: Callable[[Run], bytes | None] = lambda _: None
        # Writes the whole answer to a run; None for the usual answer.
        self.write_answer: (
            Callable[[Run, asyncio.StreamWriter], Awaitable[None]] | None
        ) = None
        # Decides whether the server rejects a request, as one does that is full.
        self.is_full: Callable[[], bool] = lambda: False
        # Called with each rejection; sends further bytes after it.
        self.on_rejected: Callable[[Run, bytes, asyncio.StreamWriter], None] = (
            lambda _run, _answer, _writer: None
        )
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> tuple[str, int]:
        """Return the address on which the server listens."""
        host, _, port = str(self.machine.fields["app_addr"]).rpartition(":")
        return host, int(port)

    async def start(self) -> None:
        """Listen and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def stop_heartbeats(self) -> None:
        """Send no more heartbeats."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()

    async def stop(self) -> None:
        """End, as a process does."""
        self.stop_heartbeats()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def heartbeat_body(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        document = {
            "address": self.announced,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.machine.fields["zone"],
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "seq": self.sequence,
                "warmup_left": "0ms",
            },
        }
        return json.dumps(document).encode()

    async def put_heartbeat(self, address: tuple[str, int] | None = None) -> int:
        """Send one heartbeat; returns 0 if no answer came within a second."""
        return await self.call_node("PUT", self.heartbeat_body(), address)

    async def call_node(
        self, method: str, body: bytes = b"", address: tuple[str, int] | None = None
    ) -> int:
        """Send a heartbeat or a deregistration to the node on the machine."""
        target = address or self.heartbeats_to
        try:
            answer = await fetch(
                target,
                method,
                f"/-/instances/{self.instance}",
                {"Host": self.machine.ip, "Content-Type": "application/json"},
                body,
                timeout_s=1.0,
            )
        except (OSError, TimeoutError, EOFError, ValueError):
            return 0
        return answer.status

    async def _send_heartbeats(self) -> None:
        while True:
            await self.put_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        # Bytes go through a second reader, so that the end of the connection is noticed
        # while a request is running.
        inbox = asyncio.StreamReader(limit=2**26)
        closed = asyncio.Event()
        pump = asyncio.create_task(_pump(reader, inbox, closed))
        try:
            while True:
                head = (await inbox.readuntil(b"\r\n\r\n"))[:-4].decode("latin-1")
                run = await self._read(head, inbox)
                refusal = self._refuse(run)
                if refusal is not None:
                    writer.write(refusal)
                    self.on_rejected(run, refusal, writer)
                    continue
                if not await self._work(run, closed, writer):
                    return
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            pump.cancel()
            with contextlib.suppress(Exception):
                writer.close()

    async def _read(self, head: str, reader: asyncio.StreamReader) -> Run:
        lines = head.split("\r\n")
        method, path, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        return Run(self.record.now(), method, path, headers, body)

    def _refuse(self, run: Run) -> bytes | None:
        if run.path == "/health":
            return encode_answer("200 OK", {"Instance-Id": self.instance}, b"")
        echo = {"Attempt-Id": run.headers.get("attempt-id", "")}
        if run.headers.get("expected-instance", self.instance) != self.instance:
            headers = {**echo, "Instance-Id": self.instance}
            return encode_answer("421 Misdirected Request", headers, b"")
        if self.is_full():
            headers = {**echo, "Not-Executed": "1"}
            return encode_answer("503 Service Unavailable", headers, b"")
        return None

    async def _work(
        self, run: Run, closed: asyncio.Event, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a request; drop it when its connection closes.

        :return: whether the connection can take another request
        """
        self.runs.append(run)
        work = asyncio.create_task(self._run(run, writer))
        end = asyncio.create_task(closed.wait())
        try:
            await asyncio.wait({work, end}, return_when=asyncio.FIRST_COMPLETED)
            run.end = "answered" if work.done() and not work.exception() else "dropped"
        finally:
            run.ended_s = self.record.now()
            run.end = run.end or "stopped"
            for task in (work, end):
                task.cancel()
            await asyncio.gather(work, end, return_exceptions=True)
        return run.end == "answered"

    async def _run(self, run: Run, writer: asyncio.StreamWriter) -> None:
        if self.write_answer is not None:
            await self.write_answer(run, writer)
            return
        await asyncio.sleep(self.work_s)
        special = self.answer(run)
        writer.write(special if special is not None else self.usual_answer(run))
        await writer.drain()

    def usual_answer(self, run: Run) -> bytes:
        """Return the right answer to a run."""
        attempt = run.headers.get("attempt-id", "")
        body = f"{self.service} {self.instance} ran {attempt} {run.path}\n".encode()
        return encode_answer("200 OK", self.answer_headers(run), body)

    def answer_headers(self, run: Run) -> dict[str, str]:
        """Return the headers of the right answer to a run."""
        attempt = run.headers.get("attempt-id", "")
        return {
            "Attempt-Id": attempt,
            "Server-Signature": f"{self.instance}.{attempt}",
        }


async def _pump(
    reader: asyncio.StreamReader, inbox: asyncio.StreamReader, closed: asyncio.Event
) -> None:
    """Pass on bytes; note the end of the connection."""
    try:
        while data := await reader.read(65536):
            inbox.feed_data(data)
    except OSError:
        pass
    finally:
        inbox.feed_eof()
        closed.set()


def encode_answer(status: str, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
