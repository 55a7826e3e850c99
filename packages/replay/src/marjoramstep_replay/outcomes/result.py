"""What a replay observed."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason


if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..backend_server.run_log import Run

SHED_REASONS = frozenset(
    {Reason.OVERLOAD, Reason.EVICTED, Reason.QUEUE_FULL, Reason.BACKPRESSURE}
)


@dataclass(frozen=True)
class Attempt:
    """What the client was told about one sending of a request.

    :param outcome: outcome in the answer; ``UNKNOWN`` when there was none
    :param reason: reason in the answer, empty when there was none
    :param status: HTTP status; 0 when there was no answer
    """

    outcome: Outcome
    reason: str
    status: int


@dataclass(frozen=True)
class RequestResult:
    """What became of one request with all of its resends.

    :param group: group of the request
    :param service: called service
    :param key: request key as sent
    :param weight: weight of the request's row
    :param repeatable: whether the row may be repeated
    :param retries: retries that the row allows for the whole request
    :param at_ms: time at which the trace sends it, after the start of the replay
    :param latency_ms: time from ``at_ms`` to the end of the last attempt
    :param deadline_ms: deadline of the row
    :param attempts: attempts in order
    :param is_answer_complete: whether the last answer was the whole answer to this
        request; None when it was no success
    """

    group: str
    service: str
    key: str
    weight: int
    repeatable: bool
    retries: int
    at_ms: float
    latency_ms: float
    deadline_ms: float
    attempts: tuple[Attempt, ...]
    is_answer_complete: bool | None

    @property
    def outcome(self) -> Outcome:
        """Outcome that the client is left with after its last attempt."""
        return self.attempts[-1].outcome

    @property
    def is_good(self) -> bool:
        """Whether the whole request succeeded within its deadline."""
        return (
            self.outcome is Outcome.DONE
            and 200 <= self.attempts[-1].status < 400
            and self.is_answer_complete is True
            and self.latency_ms <= self.deadline_ms
        )

    @property
    def is_shed(self) -> bool:
        """Whether the request was refused for overload in the end."""
        reasons = {reason.value for reason in SHED_REASONS}
        last = self.attempts[-1]
        return last.outcome is Outcome.NOT_RUN and last.reason in reasons


@dataclass(frozen=True)
class RunResult:
    """What one replay of a trace observed.

    :param requests: one entry for each request of the trace
    :param runs: all runs at the stand-in backend servers
    :param cause_end_ms: time at which the last fault was over
    :param duration_ms: length of the trace
    """

    requests: tuple[RequestResult, ...]
    runs: tuple[Run, ...]
    cause_end_ms: float
    duration_ms: float

    def of_groups(self, groups: Iterable[str]) -> list[RequestResult]:
        """Return the requests of some groups.

        :param groups: names; none means all
        :return: requests in order of time
        """
        names = frozenset(groups)
        return [r for r in self.requests if not names or r.group in names]

    def p99_ms(self, groups: Iterable[str]) -> float:
        """Return the 99th percentile of the time to a good answer.

        A request without one counts with its deadline, or its latency if longer.
        Otherwise a variant that refuses the slow requests would seem to be fast.

        :param groups: names; none means all
        :return: milliseconds; not a number without a request
        """
        times_ms = [
            r.latency_ms if r.is_good else max(r.latency_ms, r.deadline_ms)
            for r in self.of_groups(groups)
        ]
        return percentile(times_ms, 99.0)


def percentile(values: list[float], percent: float) -> float:
    """Return a percentile by the nearest-rank method.

    :param values: the values, in any order
    :param percent: from 0 to 100
    :return: one of the values; not a number when there is none
    """
    if not values:
        return math.nan
    rank = max(1, math.ceil(len(values) * percent / 100.0))
    return sorted(values)[rank - 1]
