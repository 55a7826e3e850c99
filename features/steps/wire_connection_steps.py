"""Steps for a connection between two processes."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.ids import ZoneName
from marjoramstep_core.states import ConnectionClass
from marjoramstep_core.states import Role
from marjoramstep_wire.codec import encode_frame
from marjoramstep_wire.connection import PeerConnection
from marjoramstep_wire.handshake import make_hello
from marjoramstep_wire.messages import Member
from marjoramstep_wire.messages import Ping
from marjoramstep_wire.messages import RegisterServer
from marjoramstep_wire.messages import TableNotice
from marjoramstep_wire.traffic import PROCESS_TRAFFIC


KEY = b"key of the test's deployment"
# More than the messages of a handshake and their answers.
LOOP_TURNS = 20


class MemoryTransport:
    """Passes what is written to the other side in the next turn of the loop."""

    def __init__(self) -> None:
        self.receiver: PeerConnection | None = None
        self.frames: list[bytes] = []
        self.is_closed = False

    def write(self, data: bytes) -> None:
        self.frames.append(data)
        assert self.receiver is not None
        asyncio.get_running_loop().call_soon(self.receiver.data_received, data)

    def set_write_buffer_limits(self, high: int) -> None:
        """Ignore the limit: nothing is buffered."""

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, _name: str) -> tuple[str, int]:
        return "127.0.0.1", 1

    def is_closing(self) -> bool:
        return self.is_closed

    def abort(self) -> None:
        self.is_closed = True

    close = abort


async def _run_loop() -> None:
    for _ in range(LOOP_TURNS):
        await asyncio.sleep(0)


async def _connect(
    context: Any, zone: str, peer_zone: str
) -> tuple[PeerConnection, MemoryTransport]:
    connections, transports = [], []
    for name, own_zone in (("client", zone), ("server", peer_zone)):
        hello = make_hello(
            name, Role.NODE, ZoneName(own_zone), 1, ConnectionClass.INTERACTIVE
        )
        connections.append(
            PeerConnection(
                KEY,
                hello,
                name == "client",
                lambda connection, message: context.received.append(
                    (connection, message)
                ),
                lambda *_: None,
            )
        )
        transports.append(MemoryTransport())
    transports[0].receiver, transports[1].receiver = connections[1], connections[0]
    # The server waits for the client's first message.
    connections[1].connection_made(transports[1])
    connections[0].connection_made(transports[0])
    await _run_loop()
    return connections[0], transports[0]


def _account() -> dict[tuple[str, bool], tuple[int, int]]:
    return {
        (sent.message_type, sent.crosses_zones): (sent.frames, sent.sent_bytes)
        for sent in PROCESS_TRAFFIC.sent()
    }


@given("a connection within a zone and a connection between two zones")
def step_connections(context: Any) -> None:
    async def connect() -> None:
        context.own, context.own_transport = await _connect(context, "a", "a")
        context.other, context.other_transport = await _connect(context, "a", "b")

    context.received = []

    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.loop.run_until_complete(connect())
    assert context.own.is_open
    assert context.other.is_open
    context.before = _account()


@when(
    "{pings:d} pings are sent on the first connection and {notices:d} table notices on "
    "the second"
)
def step_send(context: Any, pings: int, notices: int) -> None:
    async def send() -> None:
        for number in range(pings):
            context.own.send(Ping(sequence=number))
        for number in range(notices):
            context.other.send(TableNotice(version=number))
        await _run_loop()

    context.loop.run_until_complete(send())
    context.written = {
        ("Ping", False): context.own_transport.frames[-pings:],
        ("TableNotice", True): context.other_transport.frames[-notices:],
    }


def _sent_since(context: Any, key: tuple[str, bool]) -> tuple[int, int]:
    frames, sent_bytes = _account()[key]
    frames_before, bytes_before = context.before.get(key, (0, 0))
    return frames - frames_before, sent_bytes - bytes_before


@then("the sender of the pings got no message and its connection is open")
def step_open(context: Any) -> None:
    received = [m for connection, m in context.received if connection is context.own]
    assert received == [], received
    assert context.own.is_open


@then(
    "the account has {pings:d} pings within the zone and {notices:d} table notices "
    "between zones"
)
def step_frames(context: Any, pings: int, notices: int) -> None:
    assert _sent_since(context, ("Ping", False))[0] == pings
    assert _sent_since(context, ("TableNotice", True))[0] == notices


@then("the bytes in the account are those that were written")
def step_bytes(context: Any) -> None:
    for key, frames in context.written.items():
        assert _sent_since(context, key)[1] == sum(map(len, frames)), key


@then("encoding a member with {slots:d} slots raises a protocol error")
def step_out_of_range(context: Any, slots: int) -> None:
    member = Member(
        server_id="s",
        node_id="n",
        service_name="x",
        address="10.0.0.1:80",
        zone="a",
        slots=slots,
        connections=1,
        state="ready",
        incarnation=1,
        sequence=1,
    )
    try:
        encode_frame(RegisterServer(member=member, lease_ms=1_000.0))
    except ProtocolError:
        return
    raise AssertionError("the message was encoded")
