"""Measures the memory of the state that a node holds for control.

Rows of the table and members with their routing state are measured by tracemalloc.
The memory of a connection, most of which the event loop allocates, is the growth of the
resident memory over many connected peers.
"""

from __future__ import annotations

import asyncio
import gc
import random
import statistics
import subprocess
import sys
import tracemalloc
from pathlib import Path
from typing import TYPE_CHECKING

import orjson
import uvloop
from marjoramstep_core.clock import SystemClock
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.ids import ZoneName
from marjoramstep_core.registry import Registry
from marjoramstep_core.states import ConnectionClass
from marjoramstep_core.states import Role
from marjoramstep_core.table import EditOperation
from marjoramstep_core.table import RowMatcher
from marjoramstep_core.table import Table
from marjoramstep_core.table import apply_operations
from marjoramstep_policy.membership import MembershipView
from marjoramstep_policy.routing import Router
from marjoramstep_wire.connection import PeerConnection
from marjoramstep_wire.connection import connect
from marjoramstep_wire.handshake import make_hello
from marjoramstep_wire.messages import Member
from marjoramstep_wire.messages import MemberUpdate


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_wire.messages import Hello

PAGE_BYTES = 4_096
ROWS = 4_000
MEMBERS = 8_000
MEMBERS_PER_SERVICE = 27
CONNECTIONS = 4_000

WARM_UP_CONNECTIONS = 50

SUBJECTS: Registry[Callable[[], float]] = Registry("measured state")


def resident_bytes() -> int:
    """Return the resident memory of this process.

    :return: bytes
    """
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * PAGE_BYTES


def traced_bytes() -> int:
    """Return the memory of all Python objects made since the first call.

    :return: bytes
    """
    if not tracemalloc.is_tracing():
        tracemalloc.start()
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


@SUBJECTS.register("row_bytes")
def measure_rows() -> float:
    """Return the memory of one row with its index.

    :return: bytes for each row
    """
    before = traced_bytes()
    operations = [
        EditOperation.from_json(
            {
                "kind": "add",
                "row": f"row-{number}",
                "cells": {"service": f"service-{number // 5}", "weight": 100},
            }
        )
        for number in range(ROWS)
    ]
    table = apply_operations(Table(), operations)
    matcher = RowMatcher(table)
    del operations
    used = traced_bytes() - before
    assert matcher.match(ServiceName("service-1"), "GET", "/").weight
    return used / ROWS


@SUBJECTS.register("member_bytes")
def measure_members() -> float:
    """Return the memory of one member in the view and the router.

    :return: bytes for each member
    """
    clock = SystemClock()
    view = MembershipView()
    router = Router(clock, random.Random(1), ZoneName("zone-1"))
    before = traced_bytes()
    for first in range(0, MEMBERS, MEMBERS_PER_SERVICE):
        service = ServiceName(f"service-{first}")
        members = [_member(service, first + k) for k in range(MEMBERS_PER_SERVICE)]
        update = MemberUpdate(service_name=service, full=True, members=members)
        view.apply(update, "replica")  # type: ignore[arg-type]
        router.update_members(service, view.members(service))
    count = sum(len(view.members(service)) for service in view.services())
    return (traced_bytes() - before) / count


@SUBJECTS.register("connection_bytes")
def measure_connections() -> float:
    """Return the memory of one end of a connection.

    :return: bytes for each end
    """
    return float(uvloop.run(_measure_connections()))


async def _measure_connections() -> float:
    servers: list[PeerConnection] = []

    def make(is_client: bool) -> PeerConnection:
        connection = PeerConnection(
            b"k" * 32,
            _hello(is_client),
            is_client,
            lambda _connection, _message: None,
            lambda _connection, _error: None,
        )
        if not is_client:
            servers.append(connection)
        return connection

    loop = asyncio.get_running_loop()
    listener = await loop.create_server(lambda: make(False), "127.0.0.1", 0)
    address = listener.sockets[0].getsockname()
    warm_up = [
        await connect(address, lambda: make(True)) for _ in range(WARM_UP_CONNECTIONS)
    ]
    before = resident_bytes()
    clients = [await connect(address, lambda: make(True)) for _ in range(CONNECTIONS)]
    used = resident_bytes() - before
    for connection in warm_up + clients + servers:
        connection.close()
    listener.close()
    return used / (2 * CONNECTIONS)


def _hello(is_client: bool) -> Hello:
    name = "client" if is_client else "server"
    return make_hello(name, Role.NODE, ZoneName("z"), 1, ConnectionClass.INTERACTIVE)


def _member(service: ServiceName, number: int) -> Member:
    return Member(
        server_id=f"server-{number}",
        node_id=f"server-{number}",
        service_name=service,
        address=f"10.0.{number // 250}.{number % 250}:7000",
        zone=f"zone-{number % 10}",
        slots=40,
        connections=350,
        state="ready",
        incarnation=1_700_000_000_000 + number,
        sequence=1,
    )


def measure_node_state(*, out: Path, runs: int = 5) -> int:
    """Measure each state several times, each in a process of its own.

    :param out: JSON file for the results
    :param runs: number of runs of each subject
    :return: exit status
    """
    results = {}
    for name in SUBJECTS:
        values = [_run_subject(name) for _ in range(runs)]
        results[name] = {
            "median": statistics.median(values),
            "low": min(values),
            "high": max(values),
            "runs": runs,
        }
    out.write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2) + b"\n")
    return 0


def _run_subject(name: str) -> float:
    command = [sys.executable, "-m", __spec__.name, name]
    done = subprocess.run(command, check=True, capture_output=True, text=True)
    return float(done.stdout)


if __name__ == "__main__":
    sys.stdout.write(f"{SUBJECTS.get(sys.argv[1])()}\n")
