"""Sub-command that measures the time added to a call."""

from __future__ import annotations

from pathlib import Path

from ..latency import LatencyOptions
from ..latency import measure_latency


def latency(
    output: Path,
    *,
    calls: int = 2000,
    runs: int = 5,
    disabled: list[str] | None = None,
    replicas: int = 1,
) -> int:
    """Measure the time that the path through the nodes adds to a call.

    :param output: JSON file for the figures
    :param calls: calls of each kind in one run
    :param runs: number of runs, each with new processes
    :param disabled: decisions that are turned off on a second path, all after one
        option: a repeated option replaces the names before it
    :param replicas: number of control replicas
    :return: exit status 0
    """
    measure_latency(
        LatencyOptions(
            output=output,
            calls=calls,
            runs=runs,
            disabled=tuple(disabled or ()),
            replicas=replicas,
        )
    )
    return 0
