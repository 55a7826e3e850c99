"""Requests of callers whose body arrives in every way that the protocol allows."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.ids import TableVersion
from marjoramstep_core.table import Table


if TYPE_CHECKING:
    from collections.abc import Iterator

    from marjoramstep_daemon.callers.listener import CallerListener
    from marjoramstep_daemon.control.table_store import TableStore

# Long enough for the parts to arrive in reads of their own.
PAUSE_SECONDS = 0.01
SHORT_BODY = bytes(range(65, 91)) * 12
# Contains what ends a head.
LONG_BODY = (bytes(range(246)) + b"\r\n\r\n") * 6_000
LONG_PARTS = 12
CHUNK_BYTES = 100
LONG_CHUNK_BYTES = 70_000
HEADER_TIMEOUT_SECONDS = 30.0


@dataclass(frozen=True)
class RequestForm:
    """How a request is written.

    :param connection: value of the header ``Connection``, empty for none
    :param version: version of the protocol
    :param is_chunked: whether the body is sent in chunks, otherwise with its length
    :param is_last: whether the connection ends with the answer
    """

    connection: str
    version: str
    is_chunked: bool
    is_last: bool

    def head(self, path: str, size: int, *, expects: bool = False) -> bytes:
        """Encode the head of a request with a body."""
        lines = [f"POST {path} HTTP/{self.version}", "Host: s"]
        if self.connection:
            lines.append(f"Connection: {self.connection}")
        if expects:
            lines.append("Expect: 100-continue")
        if self.is_chunked:
            lines.append("Transfer-Encoding: chunked")
        else:
            lines.append(f"Content-Length: {size}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def body(self, data: bytes, chunk_bytes: int = CHUNK_BYTES) -> bytes:
        """Encode a body."""
        if not self.is_chunked:
            return data
        encoded = bytearray()
        for start in range(0, len(data), chunk_bytes):
            chunk = data[start : start + chunk_bytes]
            encoded += f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n"
        return bytes(encoded + b"0\r\n\r\n")


def request_forms() -> Iterator[RequestForm]:
    """Return all forms of a last request and of one that keeps its connection."""
    last = ("close", "Close", "CLOSE", "keep-alive, close", "close, TE")
    for is_chunked in (False, True):
        for connection in last:
            yield RequestForm(connection, "1.1", is_chunked, True)
        for connection in ("", "keep-alive"):
            yield RequestForm(connection, "1.1", is_chunked, False)
    yield RequestForm("", "1.0", False, True)
    yield RequestForm("close", "1.0", False, True)
    yield RequestForm("keep-alive", "1.0", False, False)


@dataclass(frozen=True)
class FinalAnswer:
    """A received answer.

    :param says_close: whether it says that the connection closes
    """

    body: bytes
    says_close: bool


class Caller:
    """One connection of a caller."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.answers: list[FinalAnswer] = []

    async def send(self, *parts: bytes) -> None:
        """Send parts that arrive in reads of their own."""
        for part in parts:
            self.writer.write(part)
            await self.writer.drain()
            await asyncio.sleep(PAUSE_SECONDS)

    async def read_head(self) -> bytes:
        """Read the head of an answer."""
        return await self.reader.readuntil(b"\r\n\r\n")

    async def read_answer(self) -> None:
        """Read a final answer, which has a length, and the interim ones before it."""
        head = await self.read_head()
        while head.startswith(b"HTTP/1.1 100 "):
            head = await self.read_head()
        assert re.match(rb"HTTP/1\.[01] 200 ", head), head
        head = head.lower()
        length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
        body = await self.reader.readexactly(length)
        says_close = b"\r\nconnection: close\r\n" in head
        self.answers.append(FinalAnswer(body, says_close))


@dataclass
class Arrival:
    """What a way of arriving works with.

    :param form: form of the request
    :param caller: its connection
    :param listener: the listener of the connection
    :param tables: the table in force of the listener
    :param release: lets the request with a path be answered
    """

    form: RequestForm
    caller: Caller
    listener: CallerListener
    tables: TableStore
    release: Callable[[str], None]

    def head(self, *, expects: bool = False) -> bytes:
        """Encode the head of the request with the short body."""
        return self.form.head("/body", len(SHORT_BODY), expects=expects)

    def body(self) -> bytes:
        """Encode the short body."""
        return self.form.body(SHORT_BODY)

    async def send_split(self, at: int) -> None:
        """Send the head, then the short body in two parts."""
        body = self.body()
        await self.caller.send(self.head(), body[:at], body[at:])

    def check_timeouts(self, now_seconds: float) -> None:
        """Let the listener check the timeouts of its connections at a moment."""
        for connection in self.listener._connections:
            connection.check_timeouts(now_seconds)

    async def send_long(self, parts: int) -> None:
        """Send the head, then the long body in parts."""
        body = self.form.body(LONG_BODY, LONG_CHUNK_BYTES)
        size = -(-len(body) // parts)
        split = [body[start : start + size] for start in range(0, len(body), size)]
        await self.caller.send(self.form.head("/body", len(LONG_BODY)), *split)


Send = Callable[[Arrival], Awaitable[None]]


@dataclass(frozen=True)
class ArrivalKind:
    """A way in which a request arrives.

    :param send: sends the request
    :param paths: paths of the requests that are answered, in this order
    """

    send: Send
    paths: tuple[str, ...]


ARRIVALS: dict[str, ArrivalKind] = {}


def arrival(name: str, *paths_before: str) -> Callable[[Send], Send]:
    """Register a way of arriving.

    :param name: its name in the feature
    :param paths_before: paths of requests that are answered before the one with a body
    """

    def register(send: Send) -> Send:
        ARRIVALS[name] = ArrivalKind(send, (*paths_before, "/body"))
        return send

    return register


def _get(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: s\r\n\r\n".encode()


@arrival("with its head")
async def _with_head(case: Arrival) -> None:
    await case.caller.send(case.head() + case.body())


@arrival("after its head")
async def _after_head(case: Arrival) -> None:
    await case.caller.send(case.head(), case.body())


@arrival("byte by byte")
async def _byte_by_byte(case: Arrival) -> None:
    data = case.head() + case.body()
    for index in range(len(data)):
        case.caller.writer.write(data[index : index + 1])
        # Each byte gets a turn of the event loop, and with it a read of its own.
        await asyncio.sleep(0)


@arrival("split in its first bytes")
async def _split_first(case: Arrival) -> None:
    # Inside the size line of the first chunk, if there are chunks.
    await case.send_split(1)


@arrival("split in its data")
async def _split_data(case: Arrival) -> None:
    await case.send_split(len(case.body()) // 2)


@arrival("split before its last byte")
async def _split_last(case: Arrival) -> None:
    await case.send_split(len(case.body()) - 1)


@arrival("split in its last chunk")
async def _split_last_chunk(case: Arrival) -> None:
    await case.send_split(len(case.body()) - 4)


@arrival("split before its last chunk")
async def _split_before_last_chunk(case: Arrival) -> None:
    await case.send_split(len(case.body()) - 5)


@arrival("1.5 MB in one go")
async def _long_at_once(case: Arrival) -> None:
    await case.send_long(1)


@arrival("1.5 MB in trickles")
async def _long_trickles(case: Arrival) -> None:
    await case.send_long(LONG_PARTS)


@arrival("later than the header timeout")
async def _late(case: Arrival) -> None:
    await case.caller.send(case.head())
    later = asyncio.get_running_loop().time() + 2 * HEADER_TIMEOUT_SECONDS
    case.check_timeouts(later)
    await case.caller.send(case.body()[:10])
    case.check_timeouts(later)
    await case.caller.send(case.body()[10:])


@arrival("after an interim answer")
async def _expect(case: Arrival) -> None:
    await case.caller.send(case.head(expects=True))
    if case.form.version == "1.1":
        head = await case.caller.read_head()
        assert head.startswith(b"HTTP/1.1 100 "), head
    await case.caller.send(case.body())


@arrival("after an interim answer behind an earlier answer", "/earlier")
async def _expect_behind(case: Arrival) -> None:
    # The interim answer must not precede the earlier answer.
    await case.caller.send(_get("/earlier"), case.head(expects=True))
    case.release("/earlier")
    await case.caller.read_answer()
    if case.form.version == "1.1":
        head = await case.caller.read_head()
        assert head.startswith(b"HTTP/1.1 100 "), head
    await case.caller.send(case.body())


@arrival("with the head of a request answered before it", "/earlier")
async def _behind_answered(case: Arrival) -> None:
    case.release("/earlier")
    await case.caller.send(_get("/earlier") + case.head())
    await case.caller.send(case.body())


@arrival("while an earlier request is answered", "/earlier")
async def _behind_between(case: Arrival) -> None:
    body = case.body()
    await case.caller.send(_get("/earlier"), case.head(), body[:10])
    case.release("/earlier")
    await case.caller.send(body[10:])


@arrival("before an earlier request is answered", "/earlier")
async def _behind_unanswered(case: Arrival) -> None:
    await case.caller.send(_get("/earlier"), case.head(), case.body())
    case.release("/earlier")


@arrival("while the node starts to drain")
async def _draining(case: Arrival) -> None:
    await case.caller.send(case.head())
    case.listener.announce_close()
    await case.caller.send(case.body())


@arrival("while the listener stops listening")
async def _stopping(case: Arrival) -> None:
    await case.caller.send(case.head(), case.body()[:10])
    case.listener.announce_close()
    await case.listener.stop_listening()
    await case.caller.send(case.body()[10:])


@arrival("while a table comes into force")
async def _new_table(case: Arrival) -> None:
    await case.caller.send(case.head())
    case.tables.put_in_force(Table(version=TableVersion(2)))
    await case.caller.send(case.body())
