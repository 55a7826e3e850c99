"""Runs the measuring tools of the control replicas."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import defopt

from .commits import measure_commits
from .commits import measure_in_force
from .control_cluster import DAEMON
from .control_cost import frame_sizes
from .control_cost import measure_control_cost
from .snapshot_block import measure_snapshot


SINGLE_SYNC = (sys.executable, "-m", "marjoramstep_replay.measure.single_sync")


def run(
    measurement: str,
    *,
    output: Path,
    runs: int = 3,
    count: int = 1000,
    nodes: int = 4,
) -> int:
    """Measure and write all runs as JSON.

    :param measurement: commits, single-sync, in-force, control-cost, frames or snapshot
    :param output: file for the results
    :param runs: number of runs
    :param count: number of edits, or of claims for commits and snapshot, or seconds of
        each phase for control-cost
    :param nodes: number of nodes for in-force and control-cost
    :return: exit status
    """
    results: list[dict[str, Any]] = []
    for _ in range(runs):
        if measurement == "commits":
            found = asyncio.run(measure_commits((str(DAEMON),), count // 10, count))
        elif measurement == "single-sync":
            found = asyncio.run(measure_commits(SINGLE_SYNC, count // 10, count))
        elif measurement == "in-force":
            found = asyncio.run(measure_in_force(nodes, count))
        elif measurement == "control-cost":
            found = asyncio.run(measure_control_cost(nodes, float(count)))
        elif measurement == "frames":
            found = dict(frame_sizes())
        elif measurement == "snapshot":
            found = measure_snapshot(count)
        else:
            sys.stderr.write(f"unknown measurement {measurement!r}\n")
            return 2
        results.append(found)
    document = {"command": sys.argv[1:], "measurement": measurement, "runs": results}
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(run, short={}))
