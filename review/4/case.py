"""A heartbeat that arrives late puts a server that has left back into use."""

from __future__ import annotations

import asyncio
from pathlib import Path

from lib.case import run_case
from lib.client import fetch
from lib.deployment import HOST
from lib.deployment import Deployment
from lib.deployment import Record
from lib.deployment import make_config
from lib.relay import Relay
from lib.server import Server


SERVICES = ["archive", "archive", "lookup"]
DRAIN_S = 2.0
# The server goes on to serve for this long after the acknowledgement: "drain" and a
# little longer, at times many seconds.
SERVES_ON_S = 6.0
HEARTBEAT_DELAY_S = 2.5
REQUEST_INTERVAL_S = 0.05


async def case(record: Record, trouble: bool) -> bool:
    deployment = Deployment(record, SERVICES)
    servers: list[Server] = []
    relay = None
    try:
        await deployment.start_all()
        route = {
            "name": "read",
            "path_prefix": "/read/",
            "route_type": "safe",
            "service": "archive",
        }
        status = await deployment.put_config(make_config(1, 0, [route], SERVICES[1:]))
        assert status == 200, status
        for number, node in enumerate(deployment.nodes):
            server = Server(record, node, deployment.ports["control"], f"i-{number}")
            servers.append(server)
        leaving = servers[0]
        relay = Relay(leaving.heartbeats_to)
        leaving.heartbeats_to = await relay.start(leaving.machine.ip)
        for server in servers:
            await server.start()
        await deployment.wait_ready()
        await asyncio.sleep(5.0)
        clients = asyncio.create_task(send_requests(record, deployment))
        await asyncio.sleep(3.0)
        acknowledged = await leave(record, leaving, relay, trouble)
        await asyncio.sleep(SERVES_ON_S)
        await leaving.stop()
        record.write(f"server {leaving.instance}: ended")
        await asyncio.sleep(0.5)
        clients.cancel()
        deployment.check_running()
        return report(record, leaving, acknowledged)
    finally:
        for server in servers:
            await server.stop()
        if relay is not None:
            await relay.stop()
        deployment.close()


async def leave(record: Record, server: Server, relay: Relay, trouble: bool) -> float:
    """Deregister; returns when that was acknowledged."""
    server.stop_heartbeats()
    relay.delay_s = HEARTBEAT_DELAY_S if trouble else 0.0
    record.write(
        f"server {server.instance}: sends heartbeat {server.sequence + 1} (ready)"
        + (f", which takes {HEARTBEAT_DELAY_S} s on its way" if trouble else "")
    )
    status = await server.put_heartbeat()
    record.write(
        f"server {server.instance}: that heartbeat got {status or 'no answer'}"
    )
    relay.delay_s = 0.0
    status = await server.call_node("DELETE")
    record.write(f"server {server.instance}: DELETE was answered {status}")
    assert status == 200, status
    return record.now()


async def send_requests(record: Record, deployment: Deployment) -> None:
    """Send requests at the machine of the other service."""
    number = 0
    tasks: set[asyncio.Task[None]] = set()
    while True:
        number += 1
        task = asyncio.create_task(send(record, deployment, f"{number:016x}"))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def send(record: Record, deployment: Deployment, attempt: str) -> None:
    node = deployment.nodes[2]
    headers = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Timeout-Ms": "4000",
        "Connection": "close",
    }
    address = (node.ip, deployment.ports["outbound"])
    try:
        answer = await fetch(address, "GET", f"/read/{attempt}", headers)
        text = f"{answer.status} {answer.body.decode().strip()}"
    except (OSError, TimeoutError, EOFError, ValueError) as error:
        text = repr(error)
    record.write(f"client: {attempt} -> {text}")


def report(record: Record, server: Server, acknowledged: float) -> bool:
    late = [run for run in server.runs if run.at_s > acknowledged + DRAIN_S]
    before = [run for run in server.runs if run.at_s <= acknowledged]
    record.write(
        f"server {server.instance} got {len(before)} requests before the "
        f"acknowledgement, {len(server.runs) - len(before)} after it, {len(late)} of "
        f"these more than {DRAIN_S} s later"
    )
    if not before:
        raise RuntimeError("the server got no request before it left")
    for run in late[:5]:
        record.write(
            f"late: {run.headers['attempt-id']} reached it "
            f"{run.at_s - acknowledged:.3f} s after the acknowledgement"
        )
    return bool(late)


run_case(Path(__file__).resolve().parent, case)
