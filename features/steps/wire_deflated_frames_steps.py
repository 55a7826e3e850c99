"""Steps for deflated frames."""

from __future__ import annotations

import asyncio
import random
import zlib
from typing import Any

from behave import given
from behave import then
from behave import when
from daemon_harness import call_start
from daemon_harness import run
from daemon_harness import wait_until
from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.ids import ZoneName
from marjoramstep_core.states import ConnectionClass
from marjoramstep_core.states import Role
from marjoramstep_wire.codec import DEFLATE_WINDOW_BITS
from marjoramstep_wire.codec import DEFLATED_FLAG
from marjoramstep_wire.codec import DEFLATED_LENGTH
from marjoramstep_wire.codec import FRAME_HEADER
from marjoramstep_wire.codec import DeflatingEncoder
from marjoramstep_wire.codec import FrameDecoder
from marjoramstep_wire.codec import encode_frame
from marjoramstep_wire.connection import PeerConnection
from marjoramstep_wire.connection import connect
from marjoramstep_wire.handshake import make_hello
from marjoramstep_wire.messages import TYPE_CODES
from marjoramstep_wire.messages import CallStart
from marjoramstep_wire.messages import Header


KEY = b"key of the test's deployment"
SEED = 5


def _calls(count: int, longest_body: int) -> list[CallStart]:
    rng = random.Random(SEED)
    return [
        call_start(
            number,
            request_key=f"{rng.getrandbits(64):016x}",
            headers=[
                Header(name="Content-Type", value="application/octet-stream"),
                Header(name="X-Request", value=f"{rng.getrandbits(64):016x}"),
            ],
            body=rng.randbytes(rng.randint(0, longest_body)),
        )
        for number in range(1, count + 1)
    ]


@given("a deflating encoder and a decoder whose peer {state} authenticated")
def step_encoder_and_decoder(context: Any, state: str) -> None:
    context.encoder = DeflatingEncoder()
    context.decoder = FrameDecoder("test")
    context.decoder.accepts_deflated = state == "is"
    context.error = None
    context.received = []


def _feed(context: Any, frames: bytes) -> None:
    try:
        context.received = list(context.decoder.feed(frames))
    except ProtocolError as error:
        context.error = error


@when("{count:d} call with bodies of 0 to {longest:d} bytes is sent")
@when("{count:d} calls with bodies of 0 to {longest:d} bytes are sent")
def step_send(context: Any, count: int, longest: int) -> None:
    context.calls = _calls(count, longest)
    context.frames = [context.encoder.encode(call) for call in context.calls]
    _feed(context, b"".join(context.frames))


@when("a frame that inflates to {size:d} MiB is sent")
def step_decompression_bomb(context: Any, size: int) -> None:
    deflater = zlib.compressobj(9, zlib.DEFLATED, DEFLATE_WINDOW_BITS)
    data = deflater.compress(bytes(size * 1024 * 1024))
    data += deflater.flush(zlib.Z_SYNC_FLUSH)[:-4]
    payload = DEFLATED_LENGTH.pack(len(data)) + data
    code = TYPE_CODES[CallStart] | DEFLATED_FLAG
    _feed(context, FRAME_HEADER.pack(len(payload) + 1, code) + payload)


@then("the decoder returns the same calls")
def step_same(context: Any) -> None:
    assert context.error is None, context.error
    assert context.received == context.calls


@then("they took less than half of the bytes of plain frames without counting bodies")
def step_smaller(context: Any) -> None:
    bodies = sum(len(call.body) for call in context.calls)
    plain = sum(len(encode_frame(call)) for call in context.calls) - bodies
    deflated = sum(len(frame) for frame in context.frames) - bodies
    assert deflated < plain / 2, (deflated, plain)


@then("the decoder reports a protocol error")
def step_refused(context: Any) -> None:
    assert context.error is not None
    assert context.error.step == "read frame"


@when("{count:d} damaged deflated frames are decoded with seed {seed:d}")
def step_damaged(context: Any, count: int, seed: int) -> None:
    rng = random.Random(seed)
    context.refused = 0
    for call in _calls(count, 40):
        frame = bytearray(DeflatingEncoder().encode(call))
        frame[rng.randrange(FRAME_HEADER.size, len(frame))] ^= 1 << rng.randrange(8)
        decoder = FrameDecoder("test")
        decoder.accepts_deflated = True
        try:
            list(decoder.feed(bytes(frame)))
        except ProtocolError:
            # Any other error fails this step.
            context.refused += 1


@then("at least one of them is refused")
def step_some_refused(context: Any) -> None:
    assert context.refused > 0


@given('two connected peers, one in zone "{own}" and one in zone "{other}"')
def step_zones(context: Any, own: str, other: str) -> None:
    context.zones = (own, other)


@when("one sends the other {count:d} calls")
def step_connect_and_send(context: Any, count: int) -> None:
    context.calls = _calls(count, 0)
    context.received = []
    context.received_bytes = 0

    class CountingConnection(PeerConnection):
        """Counts the bytes that arrive."""

        def data_received(self, data: bytes) -> None:
            context.received_bytes += len(data)
            super().data_received(data)

    def make(side: int) -> PeerConnection:
        zone = ZoneName(context.zones[side])
        return CountingConnection(
            KEY,
            make_hello(f"n{side}", Role.NODE, zone, 1, ConnectionClass.INTERACTIVE),
            side == 0,
            lambda _connection, message: context.received.append(message),
            lambda _connection, _error: None,
        )

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: make(1), "127.0.0.1", 0)
        connection = await connect(server.sockets[0].getsockname(), lambda: make(0))
        context.received_bytes = 0
        for call in context.calls:
            connection.send(call)
        await wait_until(lambda: len(context.received) == len(context.calls))
        connection.close()
        server.close()

    run(scenario())


@then("the calls arrive in order, and the bytes were {form}")
def step_form(context: Any, form: str) -> None:
    assert context.received == context.calls
    plain = sum(len(encode_frame(call)) for call in context.calls)
    is_plain = context.received_bytes >= plain
    assert is_plain == (form == "plain"), (context.received_bytes, plain)
