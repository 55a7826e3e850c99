"""Steps for malformed input to the listeners of running nodes."""

from __future__ import annotations

import asyncio
import json
import struct
import time
from typing import Any

from behave import then
from behave import when
from daemon_test_deployment import TestDeployment
from daemon_test_deployment import new_key
from marjoramstep_core.ids import ZoneName
from marjoramstep_core.states import ConnectionClass
from marjoramstep_core.states import Role
from marjoramstep_wire.codec import encode_frame
from marjoramstep_wire.handshake import make_hello
from marjoramstep_wire.messages import HelloProof


ENTRY = "node-store-1"
LIMIT_SECONDS = 5.0
PAUSE_SECONDS = 0.2
KEYED = f"Host: leaf\r\nMarjoramstep-Key: {new_key()}\r\n".encode()
HEAD = b"POST /malformed HTTP/1.1\r\n" + KEYED
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CALLER_INPUT = {
    "an oversized head": HEAD + b"X: " + b"x" * 100_000 + b"\r\n\r\n",
    "a body over the limit": HEAD + b"Content-Length: 3000000\r\n\r\n" + bytes(70_000),
    "chunks over the limit": CHUNKED + (b"10000\r\n" + bytes(65_536) + b"\r\n") * 30,
    "a negative length": HEAD + b"Content-Length: -5\r\n\r\n",
    "a malformed chunk": CHUNKED + b"zz\r\nabc\r\n",
    "a target with a host": b"GET http://leaf/x HTTP/1.1\r\n" + KEYED + b"\r\n",
    "garbage": bytes(range(256)) * 4 + b"\r\n\r\n",
}


async def _exchange(address: str, data: bytes, *, to_end: bool = False) -> bytes:
    """Send bytes and return the response, up to a pause or the end.

    :param to_end: wait for the end of the connection and fail if it stays open
    """
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    received = b""
    try:
        writer.write(data)
        while True:
            # A pause ends the answer only after its first bytes.
            limit = LIMIT_SECONDS if to_end or not received else PAUSE_SECONDS
            part = await asyncio.wait_for(reader.read(65_536), limit)
            if not part:
                break
            received += part
    except TimeoutError:
        assert not to_end, "the connection was not closed"
        assert received, "the node neither answered nor closed the connection"
    except OSError:
        pass
    finally:
        writer.close()
    return received


async def _count_refusals(deployment: TestDeployment) -> float:
    """Return the number of refusals that the node has logged or counted."""
    kinds = ("malformed request", "request refused")
    logged = sum(len(deployment.log_lines(ENTRY, kind)) for kind in kinds)
    reasons = ("body-too-large", "cancelled", "bad-request")
    return logged + sum(
        [
            await deployment.metric_sum(ENTRY, "replies_total", reason)
            for reason in reasons
        ]
    )


async def _wait_for_refusal(deployment: TestDeployment, earlier: float) -> None:
    """Wait until a refusal is logged or counted; lines are written with a delay."""
    until = time.monotonic() + LIMIT_SECONDS
    while await _count_refusals(deployment) <= earlier:
        assert time.monotonic() < until, "the refusal was neither logged nor counted"
        await asyncio.sleep(PAUSE_SECONDS)


@when("a raw caller sends {kind}")
def step_caller(context: Any, kind: str) -> None:
    deployment: TestDeployment = context.deployment
    context.refusals = deployment.run(_count_refusals(deployment))
    context.received = deployment.run(
        _exchange(deployment.address(ENTRY), CALLER_INPUT[kind])
    )


@then(
    "that caller gets status {status:d} or its connection ends, and the refusal is "
    "logged or counted"
)
def step_status(context: Any, status: int) -> None:
    line = context.received.split(b"\r\n")[0]
    assert not line or line.split()[1] == str(status).encode(), line
    deployment: TestDeployment = context.deployment
    deployment.run(_wait_for_refusal(deployment, context.refusals))


@then("other callers are served")
def step_other_callers(context: Any) -> None:
    deployment: TestDeployment = context.deployment
    reply = deployment.run(deployment.call(ENTRY, "leaf", "/x", key=new_key()))
    assert (reply.status, reply.outcome) == (200, "done"), reply
    status = json.loads(
        deployment.run(
            deployment.get_text(deployment.address(ENTRY, "metrics_address"), "/status")
        )
    )
    assert status["requests_in_progress"] == 0, status


@when("a raw caller stops in the middle of its body and leaves")
def step_stops(context: Any) -> None:
    deployment: TestDeployment = context.deployment
    context.key = new_key()

    async def scenario() -> None:
        host, port = deployment.address(ENTRY).split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        key = f"Marjoramstep-Key: {context.key}\r\n".encode()
        writer.write(HEAD + key + b"Content-Length: 50\r\n\r\nhalf")
        await asyncio.sleep(0.2)
        writer.close()
        await asyncio.sleep(0.2)

    deployment.run(scenario())


@then("its request has not run")
def step_not_run(context: Any) -> None:
    assert context.deployment.runs(context.key) == []


def _announcement(context: Any, fault: str) -> bytes:
    document: dict[str, Any] = {
        "service": "store",
        "address": "127.0.0.1:9",
        "slots": 1,
        "connections": 1,
        "state": "ready",
        "incarnation": 2**61,
    }
    changes: dict[str, dict[str, Any]] = {
        "a service of bad text": {"service": "\ud800 store"},
        "a port out of range": {"address": "127.0.0.1:70000"},
        "an older incarnation": {"incarnation": 1},
    }
    texts = {
        "no JSON": "{",
        "a body over its limit": json.dumps({"x": "x" * 100_000}),
        "deeply nested JSON": "[" * 50_000,
    }
    return texts.get(fault, json.dumps({**document, **changes.get(fault, {})})).encode()


@when("an announcement is sent with {fault}")
def step_announce(context: Any, fault: str) -> None:
    deployment: TestDeployment = context.deployment
    address = deployment.address(ENTRY, "announce_address")

    async def scenario() -> int:
        data = _announcement(context, fault)
        async with deployment.session.post(
            f"http://{address}/announce", data=data
        ) as answer:
            return answer.status

    context.status = deployment.run(scenario())


@then("the announcement is refused with a client error")
def step_announce_refused(context: Any) -> None:
    assert 400 <= context.status < 500, context.status


@then("the announced backend server still serves")
def step_still_serves(context: Any) -> None:
    deployment: TestDeployment = context.deployment

    async def scenario() -> None:
        # Waits for a heartbeat, so that a corrupted registration would be noticed.
        await asyncio.sleep(0.3)
        reply = await deployment.call(
            "node-mid-1", "store", "/x", key=new_key(), data=b"1"
        )
        assert (reply.status, reply.outcome) == (200, "done"), reply
        address = deployment.address(ENTRY, "metrics_address")
        status = json.loads(await deployment.get_text(address, "/status"))
        assert (status["service"], status["server_state"]) == ("store", "ready"), status

    deployment.run(scenario())


@when("a raw peer sends {frames} to a node's peer address")
def step_frames(context: Any, frames: str) -> None:
    deployment: TestDeployment = context.deployment
    hello = make_hello("x", Role.NODE, ZoneName("a"), 1, ConnectionClass.INTERACTIVE)
    inputs = {
        "garbage": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 20,
        "an oversized frame": struct.pack("!IB", 1 << 30, 1) + bytes(100),
        "an unknown message type": struct.pack("!IB", 5, 250) + bytes(4),
        "a wrong proof": encode_frame(hello) + encode_frame(HelloProof(mac=bytes(32))),
    }
    context.logged = len(deployment.log_lines(ENTRY, "connection refused"))

    async def scenario() -> None:
        address = deployment.address(ENTRY, "peer_address")
        context.received = await _exchange(address, inputs[frames], to_end=True)
        await deployment.wait_until(
            lambda: (
                len(deployment.log_lines(ENTRY, "connection refused")) > context.logged
            ),
            "the log line",
        )

    deployment.run(scenario())


@then("the node closes that connection and logs it")
def step_closed(context: Any) -> None:
    assert (
        len(context.deployment.log_lines(ENTRY, "connection refused")) > context.logged
    )


@then("the log of the node names its build, event loop and parser once")
def step_build_line(context: Any) -> None:
    (line,) = context.deployment.log_lines(ENTRY, "build")
    assert line["build_id"] == "source", line
    assert line["event_loop"] == "uvloop", line
    assert line["http_parser"] == "native", line
