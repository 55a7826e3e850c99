"""Sub-command that plays soaks with one seed after the other."""

from __future__ import annotations

import sys
from pathlib import Path

from marjoramstep_core.errors import MarjoramstepError

from ..generators import GenerateOptions
from ..generators import generate
from ..generators.sizing import Scale
from ..runner import ReplayOptions
from ..runner import replay


WORKLOADS = ("atelier", "regulator")
SCALE = Scale(servers=0.5, slots=0.1, capacity_per_s=60.0)


def soak(
    output: Path,
    *,
    first_seed: int = 1,
    seeds: int = 10,
    duration_ms: float = 20_000.0,
) -> int:
    """Play soaks and name the seeds that broke a promise.

    :param output: folder for traces, summaries, settings and logs; kept for each seed
        that failed
    :param first_seed: first seed; the workload changes with each one
    :param seeds: number of seeds
    :param duration_ms: length of each trace
    :return: exit status; 0 when every promise held for every seed, 1 otherwise
    """
    failed: list[str] = []
    for seed in range(first_seed, first_seed + seeds):
        folder = output / f"seed-{seed}"
        problem = _play(folder, WORKLOADS[seed % len(WORKLOADS)], seed, duration_ms)
        if problem:
            failed.append(f"seed {seed}: {problem}")
    sys.stdout.write(f"{seeds - len(failed)} of {seeds} seeds kept every promise\n")
    for line in failed:
        sys.stdout.write(f"{line}\n")
    return 1 if failed else 0


def _play(folder: Path, workload: str, seed: int, duration_ms: float) -> str:
    """Play one seed and return what was wrong, empty if nothing was."""
    generate(GenerateOptions(workload, "soak", folder, seed, duration_ms, SCALE))
    options = ReplayOptions(
        deployment=folder / "deployment.json",
        trace=folder / "trace.jsonl",
        outcomes=folder / "outcomes.json",
        output=folder,
        seed=seed,
        keep_files=True,
    )
    try:
        return "" if replay(options) else f"a promise broke, see {folder}"
    except MarjoramstepError as error:
        return f"the run could not be made: {error}"
