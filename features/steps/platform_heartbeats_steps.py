"""Steps for heartbeats of the platform's servers."""

from __future__ import annotations

import json
from typing import Any

import aiohttp
from behave import given
from behave import then
from behave import when
from daemon_harness import CLOCK
from daemon_harness import run
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.ids import NodeId
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.ids import TableVersion
from marjoramstep_core.table import Row
from marjoramstep_core.table import Table
from marjoramstep_daemon.backend_servers.local_server import LocalServer
from marjoramstep_daemon.control.services_in_use import ServicesInUse
from marjoramstep_daemon.control.table_store import TableStore
from marjoramstep_daemon.http.server import HttpServer
from marjoramstep_daemon.log import EventLog
from marjoramstep_platform.heartbeats import HeartbeatApi


def _heartbeat(state: str = "ready", born: int = 100, sequence: Any = 1) -> Any:
    return {
        "address": "10.1.0.8:8301",
        "born": born,
        "info": {"service": "huvo11a", "version": "v1", "zone": "a", "slots": 4},
        "status": {"state": state, "seq": sequence, "warmup_left": "0ms"},
    }


def _malformed_heartbeat(fault: str) -> bytes:
    document = _heartbeat(sequence=5)
    if fault == "no JSON":
        return b"\xff{"
    if fault == "an unknown state":
        document["status"]["state"] = "asleep"
    elif fault == "a text as sequence":
        document["status"]["seq"] = "five"
    elif fault == "no service":
        del document["info"]["service"]
    elif fault == "a list as info":
        document["info"] = []
    elif fault == "a faulty address":
        document["address"] = "nowhere"
    elif fault.startswith("the port "):
        document["address"] = "10.1.0.8:" + fault.removeprefix("the port ")
    elif fault == "a port of 5000 digits":
        document["address"] = "10.1.0.8:" + "9" * 5_000
    elif fault == "too many slots":
        document["info"]["slots"] = 2**31
    elif fault == "a start above 64 bits":
        document["born"] = 2**63
    elif fault == "a sequence above 64 bits":
        document["status"]["seq"] = 2**63
    elif fault == "a control character in its service":
        document["info"]["service"] = "a\r\nb"
    elif fault == "deep nesting":
        return b'{"info":' + b"[" * 30_000 + b"]" * 30_000 + b"}"
    return json.dumps(document).encode()


async def _send(context: Any, method: str, instance: str, data: bytes) -> int:
    """Send one request to the heartbeat interface and return its status."""
    server = HttpServer(context.heartbeats.make_app(), 10_000)
    host, port = await server.start(("127.0.0.1", 0))
    url = f"http://{host}:{port}/-/instances/{instance}"
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, data=data) as response,
        ):
            return response.status
    finally:
        await server.close()


@given("a node whose heartbeat interface has received nothing")
def step_node(context: Any) -> None:
    context.clock = ManualClock(wall_start_ms=250)
    context.local_server = LocalServer(context.clock, NodeId("n"))
    context.heartbeats = HeartbeatApi(context.local_server, EventLog(CLOCK, "test"))


@when('server "{name}" born at {born:d} sends heartbeat {sequence:d} as "{state}"')
def step_heartbeat(
    context: Any, name: str, born: int, sequence: int, state: str
) -> None:
    data = json.dumps(_heartbeat(state, born, sequence)).encode()
    status = run(_send(context, "PUT", name, data))
    assert status == 200, status


@when('server "{name}" deregisters')
def step_deregister(context: Any, name: str) -> None:
    assert run(_send(context, "DELETE", name, b"")) == 200


@when("{seconds:d} s pass")
def step_pass(context: Any, seconds: int) -> None:
    context.clock.advance_ms(seconds * 1_000)


@when("a heartbeat with {fault} arrives")
def step_malformed(context: Any, fault: str) -> None:
    context.status = run(_send(context, "PUT", "i-1", _malformed_heartbeat(fault)))


@then("the heartbeat is answered with {status:d}")
def step_status(context: Any, status: int) -> None:
    assert context.status == status, context.status


@then('the node knows a "{state}" server "{name}"')
def step_known(context: Any, state: str, name: str) -> None:
    local_server = context.local_server
    assert local_server.state.value == state, local_server.state
    assert local_server.announcement.instance == name, local_server.announcement


@when("it cannot be reached")
def step_unreachable(context: Any) -> None:
    context.local_server.mark_gone()


@then('the replicas are told that it is "{state}" and has {left}')
def step_member(context: Any, state: str, left: str) -> None:
    member = context.local_server.to_member("zone")
    assert member.state == state, member
    assert bool(member.has_left) is (left == "left"), member


@then("the node knows no server")
def step_no_server(context: Any) -> None:
    assert context.local_server.announcement is None, context.local_server.announcement


@when("a heartbeat of an instance with a control character in its id arrives")
def step_malformed_instance(context: Any) -> None:
    data = json.dumps(_heartbeat(sequence=5)).encode()
    context.status = run(_send(context, "PUT", "i%01", data))


def _put_table_in_force(context: Any, services: list[str]) -> None:
    """Let the node's table name some services; there is no table before."""
    tables = TableStore(context.clock, EventLog(CLOCK, "test"))
    rows = [
        Row.from_cells({"name": f"r-{name}", "service": name, "method": "*"})
        for name in services
    ]
    by_name = {row.name: row for row in rows}
    tables.put_in_force(Table(TableVersion(1), {**Table().rows, **by_name}))
    context.local_server.known_services = ServicesInUse(tables, ServiceName("own"))


@given('the table in force names the services "{first}" and "{second}"')
def step_two_services(context: Any, first: str, second: str) -> None:
    _put_table_in_force(context, [first, second])


@when('the table in force names the service "{name}" only')
def step_one_service(context: Any, name: str) -> None:
    _put_table_in_force(context, [name])


@when('a heartbeat of service "{service}" born at {born:d} arrives')
def step_other_service(context: Any, service: str, born: int) -> None:
    document = _heartbeat(born=born)
    document["info"]["service"] = service
    data = json.dumps(document).encode()
    context.status = run(_send(context, "PUT", "i-9", data))
