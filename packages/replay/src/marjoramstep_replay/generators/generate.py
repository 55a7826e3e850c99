"""Writes deployment, trace and stated outcomes into a folder."""

from __future__ import annotations

import json
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError

from ..outcomes import StatedOutcomes
from ..trace import write_trace
from . import atelier as atelier
from . import regulator as regulator
from . import soak as soak
from .measures import MEASURES
from .sizing import Scale
from .sizing import SizedWorkload
from .workload import WORKLOADS


if TYPE_CHECKING:
    from pathlib import Path

DEFAULT_DURATION_MS = 30_000.0
LEAST_DURATION_MS = 1_000.0


@dataclass(frozen=True)
class GenerateOptions:
    """Options of a generator.

    :param workload: ``atelier`` or ``regulator``
    :param measure: ``overload``, ``swing``, ``uploads``, ``slow-servers`` or
        ``soak``
    :param output: folder that takes the files
    :param seed: seed of all random choices
    :param duration_ms: length of the trace
    :param scale: how the workload is made smaller
    :param replicas: number of control replicas
    """

    workload: str
    measure: str
    output: Path
    seed: int = 1
    duration_ms: float = DEFAULT_DURATION_MS
    scale: Scale = Scale()
    replicas: int = 3


def generate(options: GenerateOptions) -> None:
    """Write ``deployment.json``, ``trace.jsonl`` and ``outcomes.json``.

    Equal options give equal files.

    :param options: options
    :raises InvalidInputError: if a name is unknown or a number is out of bounds
    :raises OSError: if a file cannot be written
    """
    scale = options.scale
    if min(scale.servers, scale.slots, scale.capacity_per_s) <= 0:
        raise InvalidInputError("scales must be above 0", step="generate")
    if options.duration_ms < LEAST_DURATION_MS:
        raise InvalidInputError(
            f"duration_ms must be at least {LEAST_DURATION_MS:g}, found "
            f"{options.duration_ms:g}",
            step="generate",
        )
    make_scenario = MEASURES.get(options.measure)
    sized = SizedWorkload(WORKLOADS.get(options.workload)(), scale)
    name = f"{options.seed} {options.workload} {options.measure}"
    scenario = make_scenario(sized, Random(name), options.duration_ms)
    outcomes = {"checks": scenario.checks}
    StatedOutcomes.from_json(outcomes)
    deployment = sized.deployment(options.replicas).to_json()
    folder = options.output
    folder.mkdir(parents=True, exist_ok=True)
    for file_name, document in (("deployment", deployment), ("outcomes", outcomes)):
        text = json.dumps(document, indent=1) + "\n"
        (folder / f"{file_name}.json").write_text(text, encoding="utf-8")
    write_trace(folder / "trace.jsonl", [*scenario.requests, *scenario.faults])
