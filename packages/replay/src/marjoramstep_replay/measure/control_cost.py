"""Processor time, memory and bytes that control costs nodes and replicas."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
from marjoramstep_core.table import Table
from marjoramstep_core.table import apply_operations
from marjoramstep_core.table.delta import TableDelta
from marjoramstep_core.table.edit import EditOperation
from marjoramstep_wire.codec import encode_frame
from marjoramstep_wire.messages import Member
from marjoramstep_wire.messages import MemberUpdate
from marjoramstep_wire.messages import Ping
from marjoramstep_wire.messages import RegisterReply
from marjoramstep_wire.messages import RegisterServer
from marjoramstep_wire.messages import TableGet
from marjoramstep_wire.messages import TableNotice
from marjoramstep_wire.messages import TableReply

from .control_cluster import ControlCluster


if TYPE_CHECKING:
    from collections.abc import Iterable

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ANNOUNCE_SECONDS = 1.0
START_TOGETHER = 10
ROWS = 1_700
FIRST_WEIGHT = 100


def processor_ms(process_id: int) -> float:
    """Return the processor time that a process has used.

    :param process_id: id at the operating system
    :return: milliseconds
    """
    text = Path(f"/proc/{process_id}/stat").read_text(encoding="ascii")
    fields = text.rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks * 1_000.0 / CLOCK_TICKS_PER_SECOND


def resident_mib(process_id: int) -> float:
    """Return the resident memory of a process.

    :param process_id: id at the operating system
    :return: MiB
    """
    text = Path(f"/proc/{process_id}/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


async def measure_control_cost(nodes: int, seconds: float) -> dict[str, Any]:
    """Measure nodes that serve nothing, first idle and then during edits.

    :param nodes: number of nodes, each with an announced backend server
    :param seconds: length of each of the two phases
    :return: processor time in ms for each second and process, memory in MiB
    """
    with tempfile.TemporaryDirectory() as folder:
        cluster = ControlCluster(Path(folder))
        try:
            return await _measure(cluster, nodes, seconds)
        finally:
            await cluster.close()


async def _measure(
    cluster: ControlCluster, nodes: int, seconds: float
) -> dict[str, Any]:
    await cluster.start()
    names = [f"node-{number}" for number in range(nodes)]
    for first in range(0, nodes, START_TOGETHER):
        batch = names[first : first + START_TOGETHER]
        await asyncio.gather(*map(cluster.start_node, batch))
    async with aiohttp.ClientSession() as session:
        announcing = asyncio.create_task(_announce(session, cluster, names))
        try:
            await asyncio.sleep(3 * ANNOUNCE_SECONDS)
            idle = await _observe(cluster, names, asyncio.sleep(seconds), seconds)
            edits = int(seconds)
            busy = await _observe(cluster, names, _edit(cluster, edits), seconds)
        finally:
            announcing.cancel()
    return {"nodes": nodes, "seconds": seconds, "idle": idle, "edits": busy}


async def _announce(
    session: aiohttp.ClientSession, cluster: ControlCluster, names: list[str]
) -> None:
    while True:
        for number, name in enumerate(names):
            document = {
                "service": f"service-{number % 5}",
                "address": "127.0.0.1:9",
                "slots": 10,
                "connections": 100,
                "state": "ready",
                "incarnation": 1,
            }
            address = cluster.processes[name].addresses["announce"]
            url = f"http://{address}/announce"
            async with session.post(url, json=document) as answer:
                answer.raise_for_status()
        await asyncio.sleep(ANNOUNCE_SECONDS)


async def _edit(cluster: ControlCluster, count: int) -> None:
    _, table = await cluster.ask("GET", "/v1/table")
    version = table["version"]
    for number in range(count):
        edit = _edit_of_weight(FIRST_WEIGHT + number)
        _, verdict = await cluster.edit(f"edit-cost-{number:06d}", version, [edit])
        version = verdict["version"]
        await asyncio.sleep(1.0)


async def _observe(
    cluster: ControlCluster, names: list[str], phase: Any, seconds: float
) -> dict[str, float]:
    groups = {"node": names, "replica": cluster.names}
    ids = {
        group: [cluster.processes[name].process_id for name in members]
        for group, members in groups.items()
    }
    before = {group: _sum(processor_ms, found) for group, found in ids.items()}
    await phase
    result: dict[str, float] = {}
    for group, found in ids.items():
        used_ms = _sum(processor_ms, found) - before[group]
        result[f"{group}_ms_per_second"] = round(used_ms / len(found) / seconds, 3)
        result[f"{group}_mib"] = round(_sum(resident_mib, found) / len(found), 1)
    return result


def _sum(function: Any, process_ids: Iterable[int]) -> float:
    return float(sum(map(function, process_ids)))


def frame_sizes() -> dict[str, int]:
    """Return the exact sizes of the frames of control.

    :return: bytes by message
    """
    member = Member(
        server_id="region-1-zone-01-vm-0001",
        node_id="region-1-zone-01-vm-0001",
        service_name="commission-booking",
        address="10.100.100.100:7000",
        zone="region-1-zone-01",
        slots=120,
        connections=800,
        state="ready",
        incarnation=1_796_377_447_562,
        sequence=1_796_377_447_562,
    )
    table = _table()
    edited = apply_operations(
        table, [EditOperation.from_json(_edit_of_weight(FIRST_WEIGHT))]
    )
    delta = TableDelta.between(table, edited)
    update = MemberUpdate(
        service_name=member.service_name, full=False, members=[member]
    )
    messages = {
        "register": RegisterServer(member=member, lease_ms=3_000.0),
        "register_reply": RegisterReply(
            server_id=member.server_id, sequence=member.sequence, table_version=2
        ),
        "member_update": update,
        "table_get": TableGet(have_version=1),
        "table_reply_same": _reply(b""),
        "table_reply_delta": _reply(_encode(delta)),
        "table_reply_whole": _reply(_encode(edited)),
        "table_notice": TableNotice(version=2),
        "ping": Ping(sequence=0),
    }
    return {name: len(encode_frame(message)) for name, message in messages.items()}


def _edit_of_weight(weight: int) -> dict[str, Any]:
    return {"kind": "set", "row": "default", "cells": {"weight": weight}}


def _reply(table_json: bytes) -> TableReply:
    return TableReply(version=2, table_json=table_json, confirmed_ms=1.0)


def _table() -> Table:
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
    return apply_operations(Table(), operations)


def _encode(document: Table | TableDelta) -> bytes:
    return json.dumps(document.to_json()).encode()
