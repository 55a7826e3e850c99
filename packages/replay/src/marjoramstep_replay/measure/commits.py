"""Edits and claims a second, and how long it takes until they are in force."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from .claim_session import ClaimSession
from .claim_session import new_key
from .control_cluster import POLL_SECONDS
from .control_cluster import ControlCluster
from .control_cluster import set_cell


if TYPE_CHECKING:
    from collections.abc import Sequence

SECOND_MS = 1_000.0
PARALLEL_CLAIMS = 64
IN_FORCE_LIMIT_SECONDS = 30.0


def summarize(values_ms: Sequence[float]) -> dict[str, float]:
    """Return quantiles of durations.

    :param values_ms: at least one duration in milliseconds
    :return: p50, p99 and maximum in milliseconds
    """
    ordered = sorted(values_ms)
    last = len(ordered) - 1
    return {
        "p50_ms": round(ordered[last // 2], 3),
        "p99_ms": round(ordered[round(last * 0.99)], 3),
        "max_ms": round(ordered[last], 3),
    }


async def measure_commits(
    command: Sequence[str], edits: int, claims: int
) -> dict[str, Any]:
    """Measure edits, one after the other, and claims, 64 at a time.

    :param command: start of the command line of the replicas
    :param edits: number of edits
    :param claims: number of claims
    :return: rate per second and latency of each
    """
    with tempfile.TemporaryDirectory() as folder:
        cluster = ControlCluster(Path(folder), command=command)
        try:
            await cluster.start()
            leader = await cluster.wait_for_leader()
            # The first claims wait for the links of the session.
            session = ClaimSession(
                list(cluster.peer_addresses.values()), cluster.key, "measuring-node"
            )
            await session.claim(new_key(), "warm-up")
            result = {
                "edits": await _edits(cluster, leader, edits),
                "claims": await _claims(session, claims),
            }
            await session.close()
            return result
        finally:
            await cluster.close()


async def _edits(cluster: ControlCluster, leader: str, count: int) -> dict[str, Any]:
    durations_ms = []
    started = time.perf_counter()
    for number in range(count):
        before = time.perf_counter()
        document = {
            "edit_key": f"edit-{number}",
            "base_version": number + 1,
            "operations": [set_cell(1_000 + number % 1_000)],
        }
        status, verdict = await cluster.request(leader, "POST", "/v1/edits", document)
        if status != 200:
            raise RuntimeError(f"edit {number}: {status} {verdict}")
        durations_ms.append((time.perf_counter() - before) * SECOND_MS)
    rate = count / (time.perf_counter() - started)
    return {"count": count, "per_second": round(rate, 1), **summarize(durations_ms)}


async def _claims(session: ClaimSession, count: int) -> dict[str, Any]:
    durations_ms: list[float] = []
    numbers = iter(range(count))

    async def work() -> None:
        for number in numbers:
            before = time.perf_counter()
            verdict = await session.claim(new_key(), f"attempt-{number}")
            if verdict != "granted":
                raise RuntimeError(f"claim {number}: {verdict}")
            durations_ms.append((time.perf_counter() - before) * SECOND_MS)

    started = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(PARALLEL_CLAIMS)))
    rate = count / (time.perf_counter() - started)
    return {"count": count, "per_second": round(rate, 1), **summarize(durations_ms)}


async def measure_in_force(nodes: int, edits: int) -> dict[str, Any]:
    """Measure from the acceptance of an edit until the last node has its table.

    The end is read from the log of each node, which writes the wall time.

    :param nodes: number of nodes
    :param edits: number of edits
    :return: quantiles over the edits, for the last node of each
    """
    with tempfile.TemporaryDirectory() as folder:
        cluster = ControlCluster(Path(folder))
        names = [f"node-{number}" for number in range(nodes)]
        try:
            await cluster.start()
            # Ten at a time, so that the starts do not compete for the processors.
            for first in range(0, nodes, 10):
                starts = map(cluster.start_node, names[first : first + 10])
                await asyncio.gather(*starts)
            accepted: dict[int, float] = {}
            for number in range(edits):
                _, verdict = await cluster.edit(
                    f"edit-{number}", number + 1, [set_cell(1_000 + number)]
                )
                accepted[verdict["version"]] = time.time()
                await _wait_for_nodes(cluster, names, verdict["version"])
            return {"nodes": nodes, "edits": edits, **_delays(cluster, names, accepted)}
        finally:
            await cluster.close()


async def _wait_for_nodes(
    cluster: ControlCluster, names: Sequence[str], version: int
) -> None:
    until = time.monotonic() + IN_FORCE_LIMIT_SECONDS
    for name in names:
        while not any(
            event["version"] == version
            for event in cluster.processes[name].log_events("table in force")
        ):
            if time.monotonic() > until:
                raise RuntimeError(f"{name} has no version {version}")
            await asyncio.sleep(POLL_SECONDS)


def _delays(
    cluster: ControlCluster, names: Sequence[str], accepted: dict[int, float]
) -> dict[str, float]:
    last = dict.fromkeys(accepted, 0.0)
    for name in names:
        for event in cluster.processes[name].log_events("table in force"):
            version = int(str(event["version"]))
            if version in accepted:
                delay = float(str(event["timestamp"])) - accepted[version]
                last[version] = max(last[version], delay * SECOND_MS)
    return summarize(list(last.values()))
