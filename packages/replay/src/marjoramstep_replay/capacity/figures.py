"""Reads the measured figures."""

from __future__ import annotations

import json
import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True)
class Figures:
    """Measured figures, each the median of its runs.

    Times are in milliseconds, processor time in milliseconds for each second unless it
    is for each event.
    """

    row_bytes: float
    member_bytes: float
    connection_bytes: float
    frame_bytes: dict[str, float]
    node_idle_ms: float
    node_change_ms: float
    node_mib: float
    replica_idle_ms: float
    replica_node_ms: float
    replica_node_change_ms: float
    replica_mib: float
    claims_per_second: float
    snapshot_bytes_per_claim: float
    snapshot_ms_per_claim: float
    in_force_p50_ms: float
    in_force_max_ms: float
    in_force_nodes: int


def read_figures(folder: Path) -> Figures:
    """Read the results of all measurements.

    :param folder: folder with the JSON files of the measuring tools
    :return: the figures
    :raises OSError: if a file is missing
    :raises KeyError: if a result is missing
    """
    state = json.loads((folder / "node-state.json").read_text("utf-8"))
    small, large = _cost(folder, 4), _cost(folder, 40)
    node_step = large["nodes"] - small["nodes"]
    snapshot = _runs(folder, "control-snapshot-100000.json")
    in_force = _runs(folder, "control-in-force-20.json")
    replica_node_ms = (
        large["idle.replica_ms_per_second"] - small["idle.replica_ms_per_second"]
    ) / node_step
    change_ms = [
        cost["edits.replica_ms_per_second"] - cost["idle.replica_ms_per_second"]
        for cost in (small, large)
    ]
    return Figures(
        row_bytes=state["row_bytes"]["median"],
        member_bytes=state["member_bytes"]["median"],
        connection_bytes=state["connection_bytes"]["median"],
        frame_bytes=_runs(folder, "control-frames.json")[0],
        node_idle_ms=large["idle.node_ms_per_second"],
        node_change_ms=max(
            large["edits.node_ms_per_second"] - large["idle.node_ms_per_second"], 0.0
        ),
        node_mib=large["edits.node_mib"],
        replica_idle_ms=small["idle.replica_ms_per_second"]
        - replica_node_ms * small["nodes"],
        replica_node_ms=replica_node_ms,
        replica_node_change_ms=max((change_ms[1] - change_ms[0]) / node_step, 0.0),
        replica_mib=large["edits.replica_mib"],
        claims_per_second=_median(
            _runs(folder, "control-commits.json"), "claims", "per_second"
        ),
        snapshot_bytes_per_claim=_median(snapshot, "bytes") / 100_000,
        snapshot_ms_per_claim=_median(snapshot, "snapshot_ms") / 100_000,
        in_force_p50_ms=_median(in_force, "p50_ms"),
        in_force_max_ms=_median(in_force, "max_ms"),
        in_force_nodes=20,
    )


def _cost(folder: Path, nodes: int) -> dict[str, float]:
    runs = _runs(folder, f"control-cost-{nodes}.json")
    found: dict[str, float] = {"nodes": float(nodes)}
    for phase in ("idle", "edits"):
        for name in runs[0][phase]:
            found[f"{phase}.{name}"] = _median(runs, phase, name)
    return found


def _runs(folder: Path, name: str) -> list[dict[str, Any]]:
    document = json.loads((folder / name).read_text("utf-8"))
    return list(document["runs"])


def _median(runs: list[dict[str, Any]], *path: str) -> float:
    values = []
    for run in runs:
        value: Any = run
        for key in path:
            value = value[key]
        values.append(float(value))
    return statistics.median(values)
