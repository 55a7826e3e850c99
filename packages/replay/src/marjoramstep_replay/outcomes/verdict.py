"""The verdict on all stated outcomes over all runs of one variant."""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from .checks import Finding
    from .result import RunResult
    from .stated import StatedCheck
    from .stated import StatedOutcomes


@dataclass(frozen=True)
class CheckResult:
    """Result of one stated outcome over all runs.

    :param kind: kind of check
    :param groups: groups of requests; none means all
    :param findings: one finding for each run
    """

    kind: str
    groups: tuple[str, ...]
    findings: tuple[Finding, ...]

    @property
    def passed(self) -> bool:
        """Whether the outcome was met in every run, of which there is at least one."""
        return bool(self.findings) and all(f.passed for f in self.findings)

    @property
    def measured(self) -> list[float]:
        """What was measured in the runs that allowed it."""
        return [f.measured for f in self.findings if f.measured is not None]

    @property
    def detail(self) -> str:
        """Detail of the first run that failed, else of the first run."""
        failed = [f.detail for f in self.findings if not f.passed]
        return (failed or [f.detail for f in self.findings] or ["no run"])[0]


def judge(
    outcomes: StatedOutcomes,
    runs: Sequence[RunResult],
    baseline: Sequence[RunResult] = (),
) -> list[CheckResult]:
    """Check all stated outcomes.

    :param outcomes: the stated outcomes
    :param runs: runs to judge
    :param baseline: runs of the baseline; the median of their p99 is used
    :return: one result for each stated outcome
    """
    return [_judge_check(stated, runs, baseline) for stated in outcomes.checks]


def _judge_check(
    stated: StatedCheck, runs: Sequence[RunResult], baseline: Sequence[RunResult]
) -> CheckResult:
    values = [run.p99_ms(stated.groups) for run in baseline]
    values = [value for value in values if not math.isnan(value)]
    baseline_p99_ms = statistics.median(values) if values else None
    findings = [stated.check.apply(run, stated.groups, baseline_p99_ms) for run in runs]
    return CheckResult(stated.kind, stated.groups, tuple(findings))
