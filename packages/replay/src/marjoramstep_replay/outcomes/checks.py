"""Kinds of stated outcomes."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from marjoramstep_core.registry import Registry
from marjoramstep_core.states import Outcome


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from ..documents import Fields
    from .result import RequestResult
    from .result import RunResult

EXAMPLES_SHOWN_LIMIT = 3


@dataclass(frozen=True)
class Finding:
    """Result of one check on one run.

    :param passed: whether the outcome was met
    :param measured: what was measured, None when nothing could be
    :param detail: bound, and examples of what broke it
    """

    passed: bool
    measured: float | None
    detail: str


class Check(Protocol):
    """Compares a run with a stated outcome."""

    def apply(
        self, run: RunResult, groups: Sequence[str], baseline_p99_ms: float | None
    ) -> Finding:
        """Check one run.

        :param run: what was observed
        :param groups: groups of requests; none means all
        :param baseline_p99_ms: p99 of the same groups in the baseline, if there is one
        :return: the finding; never passes when there is nothing to judge
        """


CHECKS: Registry[Callable[[Fields], Check]] = Registry("check")


def _share(part: int, whole: int) -> float:
    return part / whole if whole else 0.0


def _nothing(what: str) -> Finding:
    return Finding(False, None, f"nothing to judge: {what}")


def _examples(names: Sequence[str]) -> str:
    shown = ", ".join(names[:EXAMPLES_SHOWN_LIMIT])
    return f"; for example {shown}" if shown else ""


@CHECKS.register("goodput-share")
class GoodputShareCheck:
    """Share of whole requests that succeed within their deadline.

    :param fields: ``minimum`` from 0 to 1
    """

    def __init__(self, fields: Fields) -> None:
        self._minimum = fields.number("minimum")

    def apply(
        self, run: RunResult, groups: Sequence[str], baseline_p99_ms: float | None
    ) -> Finding:
        """Check one run; see :meth:`Check.apply`."""
        requests = run.of_groups(groups)
        if not requests:
            return _nothing("no request in these groups")
        share = _share(sum(r.is_good for r in requests), len(requests))
        return Finding(share >= self._minimum, share, f"at least {self._minimum:g}")


@CHECKS.register("unknown-share")
class UnknownShareCheck:
    """Share of requests that end with the outcome ``unknown``.

    :param fields: ``maximum`` from 0 to 1
    """

    def __init__(self, fields: Fields) -> None:
        self._maximum = fields.number("maximum")

    def apply(
        self, run: RunResult, groups: Sequence[str], baseline_p99_ms: float | None
    ) -> Finding:
        """Check one run; see :meth:`Check.apply`."""
        requests = run.of_groups(groups)
        if not requests:
            return _nothing("no request in these groups")
        unknown = sum(r.outcome is Outcome.UNKNOWN for r in requests)
        share = _share(unknown, len(requests))
        return Finding(share <= self._maximum, share, f"at most {self._maximum:g}")


@CHECKS.register("at-most-one-run")
class AtMostOneRunCheck:
    """No call that may not be repeated runs twice, over all backend servers.

    Further calls count when the reader of the run logs knows their rows.

    :param fields: no bounds
    """

    def __init__(self, fields: Fields) -> None:
        pass

    def apply(
        self, run: RunResult, groups: Sequence[str], baseline_p99_ms: float | None
    ) -> Finding:
        """Check one run; see :meth:`Check.apply`."""
        requests = run.of_groups(groups)
        roots = {r.key for r in requests}
        once = {r.key for r in requests if not r.repeatable}
        counts = Counter(
            entry.key
            for entry in run.runs
            if entry.key in once
            or (entry.is_repeatable is False and entry.root_key in roots)
        )
        if not counts:
            return _nothing("no request that may not be repeated ran")
        twice = sorted(key for key, count in counts.items() if count > 1)
        return Finding(
            not twice, len(twice), f"requests that ran twice: none{_examples(twice)}"
        )


@CHECKS.register("not-run-never-ran")
class NotRunNeverRanCheck:
    """A request whose every attempt was answered ``not-run`` did not run anywhere.

    :param fields: no bounds
    """

    def __init__(self, fields: Fields) -> None:
        pass

    def apply(
        self, run: RunResult, groups: Sequence[str], baseline_p99_ms: float | None
    ) -> Finding:
        """Check one run; see :meth:`Check.apply`."""
        attempts: dict[str, list[Outcome]] = defaultdict(list)
        for request in run.of_groups(groups):
            attempts[request.key] += [a.outcome for a in request.attempts]
        refused = {
            key
            for key, outcomes in attempts.items()
            if all(outcome is Outcome.NOT_RUN for outcome in outcomes)
        }
        ran = sorted({entry.key for entry in run.runs} & refused)
        detail = f"runs of {len(refused)} refused requests: none{_examples(ran)}"
        return Finding(not ran, len(ran), detail)


@CHECKS.register("retries-bounded")
class RetriesBoundedCheck:
    """Repeated runs of a request and its further calls stay within the row's retries.

    Counts, for each request, the runs beyond the first of every key that is the
    request's or derived from it.

    :param fields: no bounds
    """

    def __init__(self, fields: Fields) -> None:
        pass

    def apply(
        self, run: RunResult, groups: Sequence[str], baseline_p99_ms: float | None
    ) -> Finding:
        """Check one run; see :meth:`Check.apply`."""
        allowed = {r.key: r.retries for r in run.of_groups(groups)}
        counts: Counter[str] = Counter()
        repeated: Counter[str] = Counter()
        for entry in run.runs:
            counts[entry.key] += 1
            if counts[entry.key] > 1:
                repeated[entry.root_key] += 1
        above = sorted(key for key, most in allowed.items() if repeated[key] > most)
        if not any(key in counts for key in allowed):
            return _nothing("none of these requests ran")
        detail = f"requests above their retries: none{_examples(above)}"
        return Finding(not above, len(above), detail)


@CHECKS.register("p99-relative")
class P99RelativeCheck:
    """99th percentile of the time to a good answer against the baseline's.

    A request without a good answer counts with its deadline on both sides.

    :param fields: ``maximum_ratio``
    """

    def __init__(self, fields: Fields) -> None:
        self._maximum_ratio = fields.number("maximum_ratio")

    def apply(
        self, run: RunResult, groups: Sequence[str], baseline_p99_ms: float | None
    ) -> Finding:
        """Check one run; see :meth:`Check.apply`."""
        if baseline_p99_ms is None or not baseline_p99_ms > 0.0:
            return _nothing("no baseline, or no request in it")
        ratio = run.p99_ms(groups) / baseline_p99_ms
        if ratio != ratio:
            return _nothing("no request in these groups")
        return Finding(
            ratio <= self._maximum_ratio,
            ratio,
            f"at most {self._maximum_ratio:g} times {baseline_p99_ms:.1f} ms",
        )


@CHECKS.register("recovery")
class RecoveryCheck:
    """Time after the end of the cause until the goodput stays at its level.

    :param fields: ``maximum_ms``; ``level`` as a share of requests, 0.95 by default;
        ``window_ms``, 500 by default
    """

    def __init__(self, fields: Fields) -> None:
        self._maximum_ms = fields.number("maximum_ms")
        self._level = fields.number("level", 0.95)
        self._window_ms = fields.number("window_ms", 500.0, 1.0)

    def apply(
        self, run: RunResult, groups: Sequence[str], baseline_p99_ms: float | None
    ) -> Finding:
        """Check one run; see :meth:`Check.apply`."""
        windows: dict[int, list[RequestResult]] = defaultdict(list)
        for request in run.of_groups(groups):
            age_ms = request.at_ms - run.cause_end_ms
            if age_ms >= 0:
                windows[int(age_ms / self._window_ms)].append(request)
        last_needed_ms = self._maximum_ms + self._window_ms
        if run.duration_ms - run.cause_end_ms < last_needed_ms or not windows:
            return _nothing("the trace ends before the recovery could be seen")
        low = [
            window
            for window, requests in windows.items()
            if _share(sum(r.is_good for r in requests), len(requests)) < self._level
        ]
        recovery_ms = (max(low) + 1) * self._window_ms if low else 0.0
        detail = f"at most {self._maximum_ms:g} ms to a goodput of {self._level:g}"
        return Finding(recovery_ms <= self._maximum_ms, recovery_ms, detail)


@CHECKS.register("weight-order")
class WeightOrderCheck:
    """No request is shed while one of lower weight to the same service is admitted.

    :param fields: ``window_ms``, 1000 by default; ``allowed_share`` of the shed
        requests that may break the order, 0 by default: a node lets probes of low
        weight through, and a window holds more than one moment
    """

    def __init__(self, fields: Fields) -> None:
        self._window_ms = fields.number("window_ms", 1000.0, 1.0)
        self._allowed_share = fields.number("allowed_share", 0.0)

    def apply(
        self, run: RunResult, groups: Sequence[str], baseline_p99_ms: float | None
    ) -> Finding:
        """Check one run; see :meth:`Check.apply`."""
        requests = run.of_groups(groups)
        lowest: dict[tuple[str, int], int] = {}
        for request in requests:
            if request.outcome is Outcome.DONE:
                place = (request.service, int(request.at_ms / self._window_ms))
                lowest[place] = min(request.weight, lowest.get(place, request.weight))
        shed = [r for r in requests if r.is_shed]
        wrong = [
            r.key
            for r in shed
            if lowest.get((r.service, int(r.at_ms / self._window_ms)), r.weight)
            < r.weight
        ]
        if not requests:
            return _nothing("no request in these groups")
        share = _share(len(wrong), len(shed))
        detail = f"at most {self._allowed_share:g} of {len(shed)} shed requests"
        return Finding(
            share <= self._allowed_share, share, f"{detail}{_examples(wrong)}"
        )


@CHECKS.register("all-complete")
class AllCompleteCheck:
    """Every request ends with success and its complete answer, as uploads must.

    :param fields: no bounds
    """

    def __init__(self, fields: Fields) -> None:
        pass

    def apply(
        self, run: RunResult, groups: Sequence[str], baseline_p99_ms: float | None
    ) -> Finding:
        """Check one run; see :meth:`Check.apply`."""
        requests = run.of_groups(groups)
        if not requests:
            return _nothing("no request in these groups")
        lost = [r.key for r in requests if not r.is_good]
        return Finding(
            not lost, len(lost), f"requests not complete: none{_examples(lost)}"
        )


@CHECKS.register("own-answers")
class OwnAnswersCheck:
    """Every successful answer is the complete answer to its own request.

    :param fields: no bounds
    """

    def __init__(self, fields: Fields) -> None:
        pass

    def apply(
        self, run: RunResult, groups: Sequence[str], baseline_p99_ms: float | None
    ) -> Finding:
        """Check one run; see :meth:`Check.apply`."""
        answered = [
            r for r in run.of_groups(groups) if r.is_answer_complete is not None
        ]
        if not answered:
            return _nothing("no successful answer in these groups")
        wrong = [r.key for r in answered if not r.is_answer_complete]
        return Finding(
            not wrong, len(wrong), f"wrong or partial answers: none{_examples(wrong)}"
        )
