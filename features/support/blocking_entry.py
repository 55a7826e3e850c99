"""Entry service whose requests run until the test releases them, and its callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from daemon_harness import CLOCK
from daemon_harness import make_tables
from daemon_harness import run
from marjoramstep_core.states import Outcome
from marjoramstep_daemon.callers.entry_result import EntryResult
from marjoramstep_daemon.callers.listener import CallerListener
from marjoramstep_daemon.calls import UNKNOWN_LENGTH
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.log import EventLog


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from marjoramstep_daemon.calls import HeaderList


class BlockingEntry:
    """Runs each request until the test releases it."""

    def __init__(self) -> None:
        self.releases: dict[str, asyncio.Event] = {}
        self.cancelled: list[str] = []
        self.headers: dict[str, HeaderList] = {}
        self.streamed_paths: set[str] = set()
        self.abandoned: list[str] = []
        self.reads_bodies = False
        self.body_sizes: dict[str, int] = {}

    async def execute(self, request: Any) -> EntryResult:
        """Wait until the request is released and answer with its path."""
        release = self.releases.setdefault(request.path, asyncio.Event())
        try:
            if self.reads_bodies:
                size = sum([len(part) async for part in request.body.parts()])
                self.body_sizes[request.path] = size
            await release.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.path)
            raise
        data = request.path.encode()
        if request.path in self.streamed_paths:
            body = Body(
                data,
                rest=_silence(),
                length=UNKNOWN_LENGTH,
                on_abandon=lambda: self.abandoned.append(request.path),
            )
            return EntryResult(Answer(200, [], body), Outcome.DONE, "k", "r")
        headers = self.headers.get(request.path, [])
        answer = Answer(200, headers, Body(data, length=len(data)))
        return EntryResult(answer, Outcome.DONE, "k", "r")


async def _silence() -> AsyncIterator[bytes]:
    await asyncio.Event().wait()
    yield b""


def encode_get(path: str) -> bytes:
    """Encode a request without a body."""
    return f"GET {path} HTTP/1.1\r\nHost: s\r\n\r\n".encode()


async def read_answer(reader: Any) -> tuple[bytes, bytes]:
    """Read an answer with a length; returns its head and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    return head, await reader.readexactly(length)


def with_caller(context: Any, scenario: Any) -> None:
    """Run a scenario with a listener and a connected caller."""

    async def run_scenario() -> None:
        context.entry = BlockingEntry()
        log = EventLog(CLOCK, "test")
        listener = CallerListener(context.entry, make_tables(), log)
        address = await listener.start(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*address)
        await scenario(listener, reader, writer)
        writer.close()
        await listener.stop_listening()
        await listener.close()

    run(run_scenario())


def encode_post(path: str, size: int) -> bytes:
    """Encode the head of a last request with a body."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: s\r\nConnection: close\r\n"
        f"Content-Length: {size}\r\n\r\n"
    ).encode()
