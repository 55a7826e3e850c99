"""Sub-command that replays a trace."""

from __future__ import annotations

from pathlib import Path

from ..runner import DEFAULT_REQUEST_LIMIT
from ..runner import DEFAULT_RUN_LIMIT_SECONDS
from ..runner import ReplayOptions
from ..runner import replay


def replay_trace(
    folder: Path,
    output: Path,
    *,
    runs: int = 1,
    baseline_disabled: list[str] | None = None,
    seed: int = 1,
    request_limit: int = DEFAULT_REQUEST_LIMIT,
    run_limit_seconds: float = DEFAULT_RUN_LIMIT_SECONDS,
    keep_files: bool = False,
) -> int:
    """Replay a trace on this machine and judge its stated outcomes.

    :param folder: folder with deployment.json, trace.jsonl and outcomes.json
    :param output: folder for the summary and the histogram logs
    :param runs: number of runs of each variant
    :param baseline_disabled: decisions that a baseline turns off, all after one
        option: a repeated option replaces the names before it
    :param seed: seed of the stand-in backend servers
    :param request_limit: largest number of requests in the trace
    :param run_limit_seconds: longest time of one run
    :param keep_files: whether settings and logs of all processes are kept
    :return: exit status; 0 when every stated outcome was met, 1 otherwise
    """
    passed = replay(
        ReplayOptions(
            deployment=folder / "deployment.json",
            trace=folder / "trace.jsonl",
            outcomes=folder / "outcomes.json",
            output=output,
            runs=runs,
            baseline_disabled=tuple(baseline_disabled or ()),
            seed=seed,
            request_limit=request_limit,
            run_limit_seconds=run_limit_seconds,
            keep_files=keep_files,
        )
    )
    return 0 if passed else 1
