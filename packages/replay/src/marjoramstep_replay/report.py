"""Summary, verdict text and histogram logs of a replay."""

from __future__ import annotations

import json
import math
import statistics
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from hdrh.histogram import HdrHistogram
from hdrh.log import HistogramLogWriter
from marjoramstep_core.states import Outcome

from .outcomes.result import percentile


if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from .outcomes import CheckResult
    from .outcomes import RequestResult
    from .outcomes import RunResult

HISTOGRAM_LIMIT_US = 3_600_000_000
MICROSECONDS_PER_MS = 1000.0
SIGNIFICANT_DIGITS = 3
ALL_GROUPS = "all"


@dataclass(frozen=True)
class Spread:
    """Median, smallest and largest value over runs.

    :param median: median
    :param low: smallest value
    :param high: largest value
    :param runs: number of runs that gave a value
    """

    median: float
    low: float
    high: float
    runs: int

    @classmethod
    def of(cls, values: Sequence[float]) -> Spread | None:
        """Build the spread of values, leaving out those that are not numbers.

        :param values: one for each run
        :return: the spread, or None without a value
        """
        known = [value for value in values if not math.isnan(value)]
        if not known:
            return None
        return cls(statistics.median(known), min(known), max(known), len(known))

    def to_json(self) -> dict[str, float]:
        """Return the spread as JSON values, rounded to 4 digits.

        :return: ``median``, ``low``, ``high`` and ``runs``
        """
        return {
            "median": round(self.median, 4),
            "low": round(self.low, 4),
            "high": round(self.high, 4),
            "runs": self.runs,
        }

    def __str__(self) -> str:
        return f"{self.median:.4g} ({self.low:.4g} to {self.high:.4g})"


def group_figures(requests: Sequence[RequestResult]) -> dict[str, float]:
    """Return the figures of one group in one run.

    :param requests: requests of the group
    :return: shares from 0 to 1, and latencies of good requests in milliseconds
    """
    count = max(1, len(requests))
    latencies = [r.latency_ms for r in requests if r.is_good]
    unknown = sum(r.outcome is Outcome.UNKNOWN for r in requests)
    return {
        "requests": len(requests),
        "goodput_share": sum(r.is_good for r in requests) / count,
        "shed_share": sum(r.is_shed for r in requests) / count,
        "unknown_share": unknown / count,
        "attempts_per_request": sum(len(r.attempts) for r in requests) / count,
        "p50_ms": percentile(latencies, 50.0),
        "p99_ms": percentile(latencies, 99.0),
        "p99_9_ms": percentile(latencies, 99.9),
    }


def run_figures(run: RunResult) -> dict[str, dict[str, float]]:
    """Return the figures of all groups in one run.

    :param run: what was observed
    :return: figures by group; ``all`` holds those of all requests
    """
    groups = sorted({request.group for request in run.requests})
    figures = {group: group_figures(run.of_groups([group])) for group in groups}
    return {ALL_GROUPS: group_figures(run.requests), **figures}


def figures_over_runs(runs: Sequence[RunResult]) -> dict[str, dict[str, Any]]:
    """Return median and spread of each figure over runs.

    :param runs: runs of one variant
    :return: spreads as JSON values by group and figure
    """
    each = [run_figures(run) for run in runs]
    summary: dict[str, dict[str, Any]] = {}
    for group in each[0] if each else ():
        summary[group] = {}
        for name in each[0][group]:
            spread = Spread.of([figures[group][name] for figures in each])
            summary[group][name] = spread.to_json() if spread else None
    return summary


def ending_counts(run: RunResult) -> dict[str, dict[str, int]]:
    """Count how requests ended.

    :param run: what was observed
    :return: counts by group and by outcome, status and reason of the last attempt
    """
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for request in run.requests:
        last = request.attempts[-1]
        ending = f"{last.outcome.value} {last.status} {last.reason}".rstrip()
        counts[request.group][ending] += 1
    return {group: dict(endings.most_common()) for group, endings in counts.items()}


def checks_to_json(checks: Sequence[CheckResult]) -> list[dict[str, Any]]:
    """Return results of checks as JSON values.

    :param checks: results
    :return: one object for each
    """
    return [
        {
            "kind": check.kind,
            "groups": list(check.groups),
            "passed": check.passed,
            "measured": [round(value, 4) for value in check.measured],
            "detail": check.detail,
        }
        for check in checks
    ]


def checks_to_text(checks: Sequence[CheckResult]) -> str:
    """Return results of checks as lines for an operator.

    :param checks: results
    :return: one line for each
    """
    lines = []
    for check in checks:
        spread = Spread.of(check.measured)
        groups = ", ".join(check.groups) or "all groups"
        state = "met" if check.passed else "NOT MET"
        measured = str(spread) if spread else "nothing"
        lines.append(
            f"{state:8}{check.kind} [{groups}]: measured {measured}; {check.detail}\n"
        )
    return "".join(lines)


def write_histograms(path: Path, run: RunResult, start_seconds: float) -> None:
    """Write a histogram log of latencies, one tagged line for each group.

    :param path: file to write
    :param run: what was observed
    :param start_seconds: start of the run in seconds since the epoch
    """
    with path.open("w", encoding="utf-8") as file:
        writer = HistogramLogWriter(file)
        writer.output_log_format_version()
        writer.output_comment("latency of good requests in microseconds")
        # output_start_time of hdrhistogram 0.10.8 fails with an AttributeError.
        writer.output_comment(f"[StartTime: {start_seconds:f} (seconds since epoch)]")
        writer.output_legend()
        end_seconds = start_seconds + run.duration_ms / 1000.0
        for group in sorted({request.group for request in run.requests}):
            histogram = HdrHistogram(1, HISTOGRAM_LIMIT_US, SIGNIFICANT_DIGITS)
            for request in run.of_groups([group]):
                if request.is_good:
                    histogram.record_value(
                        max(1, int(request.latency_ms * MICROSECONDS_PER_MS))
                    )
            # The writer leaves tags out. A comma or a space would end the tag.
            file.write(f"Tag={group.replace(',', '_').replace(' ', '_')},")
            writer.output_interval_histogram(
                histogram, start_seconds, end_seconds, MICROSECONDS_PER_MS
            )


def write_json(path: Path, document: Any) -> None:
    """Write JSON values; numbers that are not finite become null.

    :param path: file to write
    :param document: the values
    """
    text = json.dumps(_finite(document), indent=1, allow_nan=False)
    path.write_text(text + "\n", encoding="utf-8")


def _finite(value: Any) -> Any:
    if isinstance(value, float) and not math.isfinite(value):
        return None
    if isinstance(value, dict):
        return {name: _finite(entry) for name, entry in value.items()}
    if isinstance(value, list):
        return [_finite(entry) for entry in value]
    return value
