"""Replays a trace against a deployment and judges the stated outcomes."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import uvloop
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.errors import UnavailableError

from .deployment import read_deployment
from .launch.cluster import default_daemon_command
from .outcomes import judge
from .outcomes import read_outcomes
from .outcomes.result import percentile
from .report import checks_to_json
from .report import checks_to_text
from .report import ending_counts
from .report import figures_over_runs
from .report import write_histograms
from .report import write_json
from .single_run import SingleRun
from .trace import read_trace


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from .deployment import Deployment
    from .outcomes import CheckResult
    from .outcomes import StatedOutcomes
    from .single_run import ObservedRun
    from .trace import Trace

DEFAULT_REQUEST_LIMIT = 200_000
DEFAULT_RUN_LIMIT_SECONDS = 600.0


@dataclass(frozen=True)
class Variant:
    """One side of a comparison.

    :param name: name in reports
    :param disabled: decisions that are turned off in the nodes
    """

    name: str
    disabled: tuple[str, ...]


@dataclass(frozen=True)
class ReplayOptions:
    """Options of a replay.

    :param deployment: deployment file
    :param trace: trace file
    :param outcomes: file with stated outcomes
    :param output: folder for the summary and the histogram logs
    :param runs: number of runs of each variant
    :param baseline_disabled: decisions that the baseline turns off; none means that
        no baseline runs
    :param seed: seed of the stand-in backend servers
    :param request_limit: largest number of requests in the trace
    :param run_limit_seconds: longest time of one run
    :param keep_files: whether settings and logs of all processes are kept
    :param daemon_command: command that takes a settings file; none means
        ``marjoramstepd`` beside the interpreter
    """

    deployment: Path
    trace: Path
    outcomes: Path
    output: Path
    runs: int = 1
    baseline_disabled: tuple[str, ...] = ()
    seed: int = 1
    request_limit: int = DEFAULT_REQUEST_LIMIT
    run_limit_seconds: float = DEFAULT_RUN_LIMIT_SECONDS
    keep_files: bool = False
    daemon_command: tuple[str, ...] = ()


def replay(options: ReplayOptions) -> bool:
    """Replay a trace, print the verdict and write the results.

    The verdict goes to standard output, progress to standard error.

    :param options: options
    :return: whether the variant with all decisions on met every stated outcome
    :raises MarjoramstepError: if an input is not valid or a run could not be made
    """
    deployment = read_deployment(options.deployment)
    trace = read_trace(options.trace)
    outcomes = read_outcomes(options.outcomes)
    check_bounds(options, trace, deployment, outcomes)
    options.output.mkdir(parents=True, exist_ok=True)
    runs = uvloop.run(Replay(options, deployment, trace).run_all())
    return _conclude(options, outcomes, runs)


def check_bounds(
    options: ReplayOptions,
    trace: Trace,
    deployment: Deployment,
    outcomes: StatedOutcomes,
) -> None:
    """Check a trace against the bounds, the services and the stated groups.

    :param options: options
    :param trace: the trace
    :param deployment: what will be started
    :param outcomes: the stated outcomes
    :raises InvalidInputError: if a bound is exceeded, or a service of the trace or a
        group of the outcomes does not exist
    """
    count = len(trace.requests)
    if count > options.request_limit:
        problem = f"{count} requests exceed the limit of {options.request_limit}"
    elif trace.duration_ms / 1000.0 > options.run_limit_seconds:
        problem = f"{trace.duration_ms:g} ms exceed the time limit of a run"
    elif options.runs < 1:
        problem = f"runs must be at least 1, found {options.runs}"
    else:
        known = {service.name for service in deployment.services}
        services = {request.service for request in trace.requests} - known
        groups = {group for check in outcomes.checks for group in check.groups}
        groups -= {request.group for request in trace.requests}
        if not services and not groups:
            return
        names = ", ".join(sorted(services or groups))
        kind = "services of the trace" if services else "groups of the outcomes"
        problem = f"{kind} that do not exist: {names}"
    raise InvalidInputError(problem, step="check trace", peer=str(options.trace))


class Replay:
    """All runs of a replay, variants in turn.

    :param options: options
    :param deployment: what to start
    :param trace: the trace
    """

    def __init__(
        self, options: ReplayOptions, deployment: Deployment, trace: Trace
    ) -> None:
        self._options = options
        self._deployment = deployment
        self._trace = trace
        self.variants = [Variant("on", ())]
        if options.baseline_disabled:
            self.variants.append(Variant("off", options.baseline_disabled))

    async def run_all(self) -> dict[str, list[ObservedRun]]:
        """Run every variant as often as the options say.

        :return: runs by name of the variant
        :raises MarjoramstepError: if a run could not be made
        """
        task = asyncio.current_task()
        if task is not None:
            # The processes of the run must be ended before this process ends.
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        observed: dict[str, list[ObservedRun]] = {v.name: [] for v in self.variants}
        for number in range(1, self._options.runs + 1):
            # The order changes with each round, so that a drift of the machine's speed
            # does not favour one variant.
            turn = 1 if number % 2 else -1
            for variant in self.variants[::turn]:
                observed[variant.name].append(await self._run(variant, number))
        return observed

    async def _run(self, variant: Variant, number: int) -> ObservedRun:
        title = f"run {number} of {self._options.runs}, decisions {variant.name}"

        def report(text: str) -> None:
            sys.stderr.write(f"{title}: {text}\n")
            sys.stderr.flush()

        with _run_folder(self._options.keep_files, report) as folder:
            command = self._options.daemon_command or default_daemon_command()
            run = SingleRun(
                self._deployment,
                self._trace,
                folder,
                command,
                variant.disabled,
                self._options.seed + number,
                report,
            )
            try:
                async with asyncio.timeout(self._options.run_limit_seconds):
                    observed = await run.run()
            except TimeoutError as error:
                raise UnavailableError(
                    f"the run took longer than {self._options.run_limit_seconds:g} s",
                    step="replay",
                    peer=title,
                ) from error
            except ExceptionGroup as group:
                raise _first_error(group) from group
        path = self._options.output / f"{variant.name}-{number}.hlog"
        write_histograms(path, observed.result, observed.started_seconds)
        return observed


def _first_error(group: ExceptionGroup) -> Exception:
    for error in group.exceptions:
        if isinstance(error, MarjoramstepError):
            return error
    return group.exceptions[0]


@contextlib.contextmanager
def _run_folder(keep: bool, report: Any) -> Iterator[Path]:
    if keep:
        folder = Path(tempfile.mkdtemp(prefix="marjoramstep-replay-"))
        report(f"files are kept in {folder}")
        yield folder
        return
    with tempfile.TemporaryDirectory(prefix="marjoramstep-replay-") as name:
        yield Path(name)


def _conclude(
    options: ReplayOptions,
    outcomes: StatedOutcomes,
    runs: dict[str, list[ObservedRun]],
) -> bool:
    baseline = [run.result for run in runs.get("off", [])]
    verdicts = {
        name: judge(outcomes, [run.result for run in observed], baseline)
        for name, observed in runs.items()
    }
    passed = all(check.passed for check in verdicts["on"])
    write_json(options.output / "summary.json", _summary(options, runs, verdicts))
    for name, checks in verdicts.items():
        sys.stdout.write(f"decisions {name}, {len(runs[name])} runs:\n")
        sys.stdout.write(checks_to_text(checks))
    sys.stdout.write(f"verdict: {'passed' if passed else 'failed'}\n")
    return passed


def _summary(
    options: ReplayOptions,
    runs: dict[str, list[ObservedRun]],
    verdicts: dict[str, list[CheckResult]],
) -> dict[str, Any]:
    disabled: dict[str, Sequence[str]] = {"off": options.baseline_disabled}
    return {
        "deployment": str(options.deployment),
        "trace": str(options.trace),
        "outcomes": str(options.outcomes),
        "seed": options.seed,
        "runs": options.runs,
        "passed": all(check.passed for check in verdicts["on"]),
        "variants": {
            name: {
                "disabled_decisions": list(disabled.get(name, ())),
                "figures": figures_over_runs([run.result for run in observed]),
                "endings": [ending_counts(run.result) for run in observed],
                "checks": checks_to_json(verdicts[name]),
                "send_lag_p99_ms": [
                    round(percentile(run.send_lags_ms, 99.0), 3) for run in observed
                ],
                "killed_processes": [run.killed for run in observed],
            }
            for name, observed in runs.items()
        },
    }
