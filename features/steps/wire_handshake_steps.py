"""Steps for the handshake and the frame decoder."""

from __future__ import annotations

import random
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.ids import ZoneName
from marjoramstep_core.states import ConnectionClass
from marjoramstep_core.states import Role
from marjoramstep_wire.codec import FrameDecoder
from marjoramstep_wire.handshake import Handshake
from marjoramstep_wire.handshake import make_hello


def _side(key: str, is_client: bool) -> Handshake:
    name = "client" if is_client else "server"
    hello = make_hello(name, Role.NODE, ZoneName("a"), 1, ConnectionClass.INTERACTIVE)
    return Handshake(key.encode(), hello, is_client, "test")


@given('a handshake between keys "{client_key}" and "{server_key}"')
def step_handshake(context: Any, client_key: str, server_key: str) -> None:
    context.client = _side(client_key, is_client=True)
    context.server = _side(server_key, is_client=False)
    to_server, to_client = context.client.start(), []
    try:
        while to_server or to_client:
            for message in to_server:
                to_client.extend(context.server.receive(message))
            to_server = []
            for message in to_client:
                to_server.extend(context.client.receive(message))
            to_client = []
    except ProtocolError as error:
        context.error = error


@given("a handshake whose client reflects the server's proof")
def step_reflection(context: Any) -> None:
    context.server = _side("alpha", is_client=False)
    hello = _side("other", is_client=True).start()[0]
    proof = context.server.receive(hello)[1]
    context.error = None
    try:
        context.server.receive(proof)
    except ProtocolError as error:
        context.error = error


@then("both sides of the handshake are complete")
def step_complete(context: Any) -> None:
    assert context.client.is_complete
    assert context.server.is_complete


@then("neither side of the handshake is complete")
def step_incomplete(context: Any) -> None:
    assert not context.client.is_complete
    assert not context.server.is_complete
    assert context.error.step == "handshake"


@then("the server's side of the handshake fails")
def step_server_fails(context: Any) -> None:
    assert context.error is not None
    assert not context.server.is_complete


@when("{count:d} random byte strings are fed to frame decoders with seed {seed:d}")
def step_random_bytes(context: Any, count: int, seed: int) -> None:
    rng = random.Random(seed)
    context.refused = 0
    for number in range(count):
        decoder = FrameDecoder("test")
        body = rng.randbytes(rng.randint(0, 60))
        code = bytes([rng.choice([1, 10, 13, 14, 72])])
        framed = (len(body) + 1).to_bytes(4, "big") + code + body
        try:
            list(decoder.feed(framed if number % 2 else body))
        except ProtocolError:
            # Any other error fails this step.
            context.refused += 1


@then("at least one frame decoder reports a protocol error")
def step_refused_some(context: Any) -> None:
    assert context.refused > 0
