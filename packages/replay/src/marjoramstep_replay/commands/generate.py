"""Sub-command that writes a deployment, a trace and stated outcomes."""

from __future__ import annotations

from pathlib import Path

from ..generators import GenerateOptions
from ..generators import generate
from ..generators.sizing import Scale


def generate_trace(
    workload: str,
    measure: str,
    output: Path,
    *,
    seed: int = 1,
    duration_ms: float = 30_000.0,
    servers_scale: float = 1.0,
    slots_scale: float = 0.1,
    capacity_per_s: float = 150.0,
    replicas: int = 3,
) -> int:
    """Write deployment.json, trace.jsonl and outcomes.json into a folder.

    :param workload: atelier or regulator
    :param measure: overload, swing, uploads or slow-servers
    :param output: folder that takes the files
    :param seed: seed of all random choices
    :param duration_ms: length of the trace
    :param servers_scale: factor of the number of backend servers
    :param slots_scale: factor of the slots of each backend server
    :param capacity_per_s: root requests a second that the deployment can just run
    :param replicas: number of control replicas
    :return: exit status 0
    """
    scale = Scale(servers_scale, slots_scale, capacity_per_s)
    generate(
        GenerateOptions(
            workload=workload,
            measure=measure,
            output=output,
            seed=seed,
            duration_ms=duration_ms,
            scale=scale,
            replicas=replicas,
        )
    )
    return 0
