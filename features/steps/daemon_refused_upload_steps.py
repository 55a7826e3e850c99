"""Steps for uploads through an in-process node to raw peers."""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
import zlib
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when
from daemon_harness import CLOCK
from daemon_harness import answer_start
from daemon_harness import node_hello
from daemon_harness import refusal
from daemon_harness import run
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason
from marjoramstep_core.table import Table
from marjoramstep_daemon.callers.entry_request import parse_request
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.factory import NodeFactory
from marjoramstep_daemon.log import EventLog
from marjoramstep_daemon.settings import read_settings
from marjoramstep_daemon.upload import Upload
from marjoramstep_replay.launch.settings_files import ReplicaPlan
from marjoramstep_replay.launch.settings_files import SettingsWriter
from marjoramstep_wire.connection import PeerConnection
from marjoramstep_wire.messages import BodyPart
from marjoramstep_wire.messages import CallStart
from marjoramstep_wire.messages import Credit
from marjoramstep_wire.messages import Member
from marjoramstep_wire.messages import MemberUpdate
from marjoramstep_wire.messages import TableReply


PART_BYTES = 65_536
CONTENT = random.Random(5).randbytes(16 * PART_BYTES)
WINDOW_BYTES = 4 * PART_BYTES


class RefusingPeers:
    """Peers that refuse the first call after a part of its body and accept later ones.

    :param refuse_after_bytes: bytes received after the first part before the refusal
    """

    def __init__(self, refuse_after_bytes: int) -> None:
        self.refuse_after_bytes = refuse_after_bytes
        self.bodies: dict[tuple[Any, int], bytes] = {}
        self.first: tuple[Any, int] | None = None

    def on_message(self, connection: Any, message: Any) -> None:
        """Receive a part; send credit until the refusal or for the whole call."""
        stream = (connection, getattr(message, "stream_id", 0))
        if isinstance(message, CallStart):
            self.first = self.first or stream
            self.bodies[stream] = message.body
        elif isinstance(message, BodyPart) and stream in self.bodies:
            self.bodies[stream] += message.data
            self._reply(connection, message, stream)

    def _reply(self, connection: Any, message: Any, stream: Any) -> None:
        body = self.bodies[stream]
        rest_bytes = len(body) - PART_BYTES
        if stream == self.first and rest_bytes >= self.refuse_after_bytes:
            connection.send(refusal(message.stream_id, "draining"))
            # Not reached by any upload, so that the call is refused only once.
            self.refuse_after_bytes = len(CONTENT) * 2
        elif message.last:
            checksum = str(zlib.crc32(body)).encode()
            connection.send(answer_start(message.stream_id, checksum))
        elif stream != self.first or self.refuse_after_bytes > WINDOW_BYTES:
            # Before a refusal after one window, the first call gets no credit.
            credit = Credit(stream_id=message.stream_id, credit_bytes=len(message.data))
            connection.send(credit)


def _member(number: int, port: int) -> Member:
    return Member(
        server_id=f"s-{number}",
        node_id=f"s-{number}",
        service_name="s",
        address=f"127.0.0.1:{port}",
        zone="a",
        slots=10,
        connections=10,
        state="ready",
        incarnation=1,
        sequence=1,
    )


@given("a node that knows two raw peers of a service")
def step_node(context: Any) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    replicas = [ReplicaPlan("r", "127.0.0.1:9")]
    path = SettingsWriter(folder, replicas).write_node("node-under-test", "a", [])
    context.settings = read_settings(path)


async def _upload(context: Any, peers: RefusingPeers) -> Any:
    settings = context.settings
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(
            lambda: PeerConnection(
                settings.deployment_key,
                node_hello(),
                False,
                peers.on_message,
                lambda _connection, _error: None,
            ),
            "127.0.0.1",
            0,
        )
        for _ in range(2)
    ]
    node = NodeFactory(settings, CLOCK, EventLog(CLOCK, "test")).build()
    table = Table().to_json()
    # The outcome of a row that is not repeatable would depend on a claim.
    table["rows"][0]["repeatable"] = True
    node.tables.receive(
        TableReply(version=1, table_json=json.dumps(table).encode(), confirmed_ms=0.0)
    )
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    members = [_member(number, port) for number, port in enumerate(ports)]
    update = MemberUpdate(service_name="s", full=True, members=members)
    node.entry._dispatcher._subscriber.on_update("replica", update)
    parts = iter(range(PART_BYTES, len(CONTENT), PART_BYTES))

    async def read() -> bytes:
        offset = next(parts, len(CONTENT))
        return CONTENT[offset : offset + PART_BYTES]

    upload = Upload(read, PART_BYTES)
    body = Body(
        CONTENT[:PART_BYTES], rest=upload.open(), length=len(CONTENT), upload=upload
    )
    headers = {"Marjoramstep-Service": "s", "Marjoramstep-Key": "upload"}
    try:
        return await node.entry.execute(parse_request("POST", "/up", headers, [], body))
    finally:
        node.links.close()
        for server in servers:
            server.close()


@when("an upload of 1 MiB is refused by the first peer after a full credit window")
def step_window(context: Any) -> None:
    context.peers = RefusingPeers(WINDOW_BYTES)
    context.result = run(_upload(context, context.peers))


@when("an upload of 1 MiB is refused by the first peer after it was consumed")
def step_consumed(context: Any) -> None:
    context.peers = RefusingPeers(8 * PART_BYTES)
    context.result = run(_upload(context, context.peers))


@then("the second peer gets the complete upload and its answer reaches the caller")
def step_complete(context: Any) -> None:
    bodies = context.peers.bodies
    assert len(bodies) == 2, len(bodies)
    assert len(bodies[context.peers.first]) >= PART_BYTES + WINDOW_BYTES
    (second,) = [body for key, body in bodies.items() if key != context.peers.first]
    assert second == CONTENT, len(second)
    assert isinstance(context.result.reply, Answer), context.result
    assert context.result.reply.body.data == str(zlib.crc32(CONTENT)).encode()


@then("the caller is told that the upload was refused and no other peer was tried")
def step_refused(context: Any) -> None:
    assert context.result.outcome is Outcome.NOT_RUN, context.result
    assert context.result.reply.reason is Reason.DRAINING, context.result
    assert len(context.peers.bodies) == 1
