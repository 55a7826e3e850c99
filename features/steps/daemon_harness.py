"""Fakes and builders for tests of single components on a running event loop."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_core.clock import SystemClock
from marjoramstep_core.ids import RequestKey
from marjoramstep_core.ids import RootId
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.ids import ZoneName
from marjoramstep_core.states import ConnectionClass
from marjoramstep_core.states import Role
from marjoramstep_core.states import SizeClass
from marjoramstep_core.table import Row
from marjoramstep_core.table import Table
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.calls import Call
from marjoramstep_daemon.control.table_store import TableStore
from marjoramstep_daemon.log import EventLog
from marjoramstep_daemon.nodes.conversion import UNKNOWN_LOAD
from marjoramstep_daemon.nodes.link import NodeLink
from marjoramstep_daemon.nodes.session import NodeSession
from marjoramstep_wire.connection import PeerConnection
from marjoramstep_wire.connection import connect
from marjoramstep_wire.handshake import make_hello
from marjoramstep_wire.messages import AnswerStart
from marjoramstep_wire.messages import CallStart
from marjoramstep_wire.messages import Hello
from marjoramstep_wire.messages import Refusal
from marjoramstep_wire.messages import TableReply


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

KEY = b"key of the test's deployment"
LIMIT_SECONDS = 20.0
CLOCK = SystemClock()


def run(coroutine: Any) -> Any:
    """Run a coroutine with a time limit that detects hangs."""
    return asyncio.run(asyncio.wait_for(coroutine, LIMIT_SECONDS))


async def wait_until(condition: Callable[[], Any], what: str = "the condition") -> Any:
    """Wait until a condition is true and return its value.

    The limit is half of that of ``run``, so that the error names what is missing.
    """
    deadline_ms = CLOCK.now_ms() + LIMIT_SECONDS * 500
    while not (found := condition()):
        assert CLOCK.now_ms() < deadline_ms, f"timed out waiting for {what}"
        await asyncio.sleep(0.005)
    return found


def node_hello() -> Hello:
    """Create the ``Hello`` message of a node."""
    return make_hello("n", Role.NODE, ZoneName("a"), 1, ConnectionClass.INTERACTIVE)


def make_row(**cells: Any) -> Row:
    """Create a row for service ``s``."""
    return Row.from_cells({"name": "r", "service": "s", "method": "*", **cells})


def make_call(key: str = "k", deadline_ms: float = 5_000.0, **fields: Any) -> Call:
    """Create a call whose deadline is ``deadline_ms`` from now."""
    row = fields.pop("row", None) or make_row(repeatable=True)
    body = fields.pop("body", None) or Body(key.encode(), length=len(key))
    call = Call(
        service=ServiceName("s"),
        method="POST",
        path="/p",
        headers=[],
        body=body,
        request_key=RequestKey(key),
        root_id=RootId(key),
        row=row,
        weight=1,
        depth=0,
        deadline_ms=CLOCK.now_ms() + deadline_ms,
        retry_tokens=0,
        size_class=SizeClass.SHORT,
    )
    for name, value in fields.items():
        setattr(call, name, value)
    return call


def call_start(stream_id: int, **fields: Any) -> CallStart:
    """Create the first message of a call."""
    values = {
        "service_name": "s",
        "method": "POST",
        "path": "/p",
        "headers": [],
        "body": b"",
        "body_complete": True,
        "request_key": f"k{stream_id}",
        "root_id": "root",
        "row_name": "r",
        "weight": 1,
        "depth": 0,
        "budget_ms": 5_000.0,
        "retry_tokens": 0,
        "table_version": 1,
        "size_class": "short",
        "repeatable": True,
        "body_length": 0,
    }
    return CallStart(stream_id=stream_id, **{**values, **fields})


def answer_start(stream_id: int, body: bytes, **fields: Any) -> AnswerStart:
    """Create the first message of an answer."""
    values = {
        "status": 200,
        "headers": [],
        "body_complete": True,
        "outcome": "done",
        "reason": "",
        "retry_tokens": 0,
        "load": UNKNOWN_LOAD,
        "table_version": 1,
    }
    return AnswerStart(stream_id=stream_id, body=body, **{**values, **fields})


def refusal(stream_id: int, reason: str) -> Refusal:
    """Create a refusal."""
    return Refusal(
        stream_id=stream_id,
        reason=reason,
        detail="",
        retry_tokens=0,
        load=UNKNOWN_LOAD,
        table_version=1,
        retry_after_ms=0.0,
        reached_server=False,
    )


def make_tables() -> TableStore:
    """Create the table state of a node that has version 1 of the table."""
    tables = TableStore(CLOCK, EventLog(CLOCK, "test"))
    document = json.dumps(Table().to_json()).encode()
    tables.receive(TableReply(version=1, table_json=document, confirmed_ms=0.0))
    return tables


class FakePeer:
    """Remote end of a connection that records messages and replies with ``answer``."""

    def __init__(self) -> None:
        self.messages: list[Any] = []
        self.closed: list[Any] = []
        self.connection: PeerConnection | None = None
        self.answer: Callable[[PeerConnection, Any], None] = lambda _c, _m: None

    def on_message(self, connection: PeerConnection, message: Any) -> None:
        """Record a message and pass it to ``answer``."""
        self.connection = connection
        self.messages.append(message)
        self.answer(connection, message)

    def on_closed(self, _connection: PeerConnection, error: Any) -> None:
        """Record the end of the connection."""
        self.closed.append(error)

    def of_type(self, kind: type) -> list[Any]:
        """Return the messages of one type."""
        return [message for message in self.messages if isinstance(message, kind)]


@asynccontextmanager
async def link_to(peer: FakePeer) -> AsyncIterator[NodeLink]:
    """Open a ``NodeLink`` to a fake peer."""
    server = await asyncio.get_running_loop().create_server(
        lambda: PeerConnection(
            KEY, node_hello(), False, peer.on_message, peer.on_closed
        ),
        "127.0.0.1",
        0,
    )
    link = NodeLink(CLOCK, lambda: 1, lambda _: None)
    connection = await connect(
        server.sockets[0].getsockname(),
        lambda: PeerConnection(
            KEY, node_hello(), True, link.on_message, link.on_closed
        ),
    )
    link.attach(connection)
    try:
        yield link
    finally:
        link.close()
        server.close()


@asynccontextmanager
async def session_for(
    call_executor: Any, peer: FakePeer
) -> AsyncIterator[tuple[PeerConnection, Callable[[], NodeSession]]]:
    """Open a connection from a fake peer to a ``NodeSession``."""
    sessions: dict[PeerConnection, NodeSession] = {}

    def on_open(connection: PeerConnection) -> None:
        sessions[connection] = NodeSession(
            connection,
            call_executor,
            make_tables(),
            CLOCK,
            EventLog(CLOCK, "test"),
            lambda _: None,
        )

    server = await asyncio.get_running_loop().create_server(
        lambda: PeerConnection(
            KEY,
            node_hello(),
            False,
            lambda connection, message: sessions[connection].on_message(message),
            lambda connection, error: sessions[connection].on_closed(error),
            on_open,
        ),
        "127.0.0.1",
        0,
    )
    connection = await connect(
        server.sockets[0].getsockname(),
        lambda: PeerConnection(
            KEY, node_hello(), True, peer.on_message, peer.on_closed
        ),
    )
    try:
        yield connection, lambda: next(iter(sessions.values()))
    finally:
        connection.close()
        server.close()
