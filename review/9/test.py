"""After a kill of two processes, a late heartbeat puts a departed server back into use."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from fleet import CONTACT_SECONDS
from fleet import DRAIN_SECONDS
from fleet import Fleet
from fleet import configuration
from fleet import http
from fleet import run_case
from server import Server
from server import answer

DELETE_AFTER_SECONDS = 0.3
KILL_AFTER_SECONDS = 1.0
DOWN_SECONDS = 0.5
HEARTBEAT_LATE_SECONDS = 4.0
# The server serves on for `drain` after the acknowledgement and some seconds.
SERVE_ON_SECONDS = 12.0
CLIENTS = 4
PAUSE_SECONDS = 0.1
# Acknowledgement and arrival are read off two clients of this process.
MARGIN_SECONDS = 0.1


async def main() -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = Fleet(["alpha", "alpha", "alpha", "beta", "beta"])

    async def handle(request, writer) -> None:
        await asyncio.sleep(0.05)
        writer.write(answer(request, b"done"))
        await writer.drain()

    servers = [
        Server(fleet, node, node.fields["service"], handle) for node in fleet.nodes
    ]
    leaving = servers[-1]
    try:
        await fleet.start()
        routes = [
            {"name": "to-beta", "prefix": "/b/", "type": "safe", "service": "beta"}
        ]
        if (
            await fleet.put_config(configuration(1, 0, routes, ["alpha", "beta"]))
            != 200
        ):
            fleet.note("the configuration was not accepted")
            return 2
        for core in fleet.cores:
            core.fields["bootstrap"] = False
        for server in servers:
            await server.start()
        if not await fleet.wait_ready():
            fleet.note("the nodes are not ready")
            return 2
        await asyncio.sleep(CONTACT_SECONDS + 1.0)
        clients = [
            asyncio.create_task(run_client(fleet, number)) for number in range(CLIENTS)
        ]
        await asyncio.sleep(1.0)
        acknowledged, late = await leave(fleet, leaving)
        back = acknowledged
        if trouble:
            await asyncio.sleep(KILL_AFTER_SECONDS - DELETE_AFTER_SECONDS)
            back = await kill_two(fleet, leaving)
        await late
        await asyncio.sleep(
            max(acknowledged + SERVE_ON_SECONDS - time.monotonic(), 0.0)
        )
        await leaving.close()
        fleet.note("the server that has left ends")
        for client in clients:
            client.cancel()
        if not any(request.at < acknowledged for request in leaving.ran):
            fleet.note("the server that leaves got no request before it left")
            return 2
        in_touch = max(acknowledged + DRAIN_SECONDS, back + CONTACT_SECONDS)
        wrong = [r for r in leaving.ran if r.at > in_touch + MARGIN_SECONDS]
        for request in wrong[:20]:
            fleet.note(
                f"{request.attempt_id} reached the server that had left"
                f" {request.at - acknowledged:.2f} s after the acknowledgement,"
                f" {request.at - back:.2f} s after the last start of a process"
            )
        fleet.note(
            f"{len(leaving.ran)} requests reached the server that left, {len(wrong)} of them"
            f" later than {DRAIN_SECONDS:g} s after the acknowledgement and from machines in"
            " touch"
        )
        return 1 if wrong else 0
    finally:
        for server in servers:
            await server.close()
        await fleet.close()
        (FOLDER / "record.txt").write_text("\n".join(fleet.record) + "\n")


async def leave(fleet: Fleet, leaving: Server) -> tuple[float, asyncio.Task[None]]:
    """Send a heartbeat that arrives late and, before it does, DELETE.

    :return: time of the acknowledgement, and the task of the late heartbeat
    """
    leaving.stop_heartbeats()
    leaving.seq += 1
    control = leaving.node.fields["listen"]["control"]
    path, document = f"/-/instances/{leaving.instance}", leaving.document()
    json_type = {"Content-Type": "application/json"}

    async def arrive_late() -> None:
        await asyncio.sleep(HEARTBEAT_LATE_SECONDS)
        status, _, _ = await http(control, "PUT", path, json_type, document, 1.0)
        fleet.note(
            f"the heartbeat arrives, {HEARTBEAT_LATE_SECONDS:g} s late: status {status}"
        )

    fleet.note(f"{leaving.instance} sends its last heartbeat, which is delayed")
    late = asyncio.create_task(arrive_late())
    await asyncio.sleep(DELETE_AFTER_SECONDS)
    status, _, _ = await http(control, "DELETE", path, {}, b"", 1.0)
    fleet.note(f"{leaving.instance} sends DELETE: status {status}")
    if status != 200:
        raise RuntimeError("DELETE was not acknowledged")
    return time.monotonic(), late


async def kill_two(fleet: Fleet, leaving: Server) -> float:
    """Kill one replica and the node of the server, 2 of 8 processes, and start them."""
    killed = [fleet.cores[-1], leaving.node]
    for process in killed:
        process.send_signal(signal.SIGKILL)
    fleet.note(f"SIGKILL to {' '.join(process.name for process in killed)}")
    for process in killed:
        await process.stop()
    await asyncio.sleep(DOWN_SECONDS)
    for process in killed:
        await process.start()
    fleet.note("all of them are started again")
    return time.monotonic()


async def run_client(fleet: Fleet, number: int) -> None:
    """Send requests one after the other to a node that is not killed."""
    address = fleet.nodes[number % 3].fields["listen"]["outbound"]
    turn = 0
    while True:
        turn += 1
        headers = {
            "Host": "fleet.example",
            "Attempt-Id": f"c{number}-{turn}",
            "Timeout-Ms": "3000",
        }
        await http(address, "GET", "/b/1", headers, b"", 4.0)
        await asyncio.sleep(PAUSE_SECONDS)


if __name__ == "__main__":
    sys.exit(run_case(main))
