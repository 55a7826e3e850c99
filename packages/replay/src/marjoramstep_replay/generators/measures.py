"""Traces and stated outcomes for each measure of the requirements.

Loads are relative to the capacity of the sized workload. The bounds of the stated
outcomes are the aims of the project; they are not taken from any run.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_core.registry import Registry

from ..trace import FaultAction
from ..trace import TraceFault
from .arrivals import make_request
from .arrivals import pick_flow
from .arrivals import poisson_times


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ..trace import TraceRequest
    from .sizing import SizedWorkload

CheckDocument = dict[str, Any]

# Without slots kept for short calls, one upload for each slot fills all slots too, but
# in a trial only for a third as long, because uploads arrive over a part of the trace.
UPLOADS_PER_SLOT = 2

ALWAYS_CHECKS: tuple[CheckDocument, ...] = (
    {"kind": "at-most-one-run"},
    {"kind": "not-run-never-ran"},
    {"kind": "retries-bounded"},
    {"kind": "own-answers"},
)


@dataclass(frozen=True)
class Scenario:
    """A generated trace with its stated outcomes.

    :param requests: the requests
    :param faults: the faults
    :param checks: stated outcomes as JSON values
    """

    requests: list[TraceRequest]
    faults: list[TraceFault]
    checks: list[CheckDocument]


MEASURES: Registry[Callable[[SizedWorkload, Random, float], Scenario]] = Registry(
    "measure"
)


def base_load(
    sized: SizedWorkload,
    rng: Random,
    duration_ms: float,
    peak_load: float,
    load: Callable[[float], float],
    retries: int = 0,
) -> list[TraceRequest]:
    """Draw requests of all flows.

    :param sized: the workload
    :param rng: source of randomness
    :param duration_ms: length of the trace
    :param peak_load: highest load as a share of the capacity
    :param load: load at a time in milliseconds, as a share of the capacity
    :param retries: resends by each client
    :return: requests in order of time
    """
    capacity = sized.scale.capacity_per_s
    times = poisson_times(
        rng, duration_ms, peak_load * capacity, lambda at_ms: load(at_ms) * capacity
    )
    return [
        make_request(rng, pick_flow(rng, sized.workload.flows), at_ms, number, retries)
        for number, at_ms in enumerate(times)
    ]


def _slow(target: str, at_ms: float, duration_ms: float, factor: float) -> TraceFault:
    return TraceFault(at_ms, target, FaultAction.SLOW, factor, duration_ms)


@MEASURES.register("overload")
def make_overload(sized: SizedWorkload, rng: Random, duration_ms: float) -> Scenario:
    """Build a slowdown of the deep service with a surge and clients that retry.

    :param sized: the workload
    :param rng: source of randomness
    :param duration_ms: length of the trace
    :return: the scenario; the cause lasts from a quarter to half of the trace
    """
    start_ms, length_ms = 0.25 * duration_ms, 0.25 * duration_ms

    def load(at_ms: float) -> float:
        return 2.0 if 0 <= at_ms - start_ms < length_ms else 0.5

    deep = sized.workload.deep_service
    important = list(sized.workload.important)
    return Scenario(
        base_load(sized, rng, duration_ms, 2.0, load, retries=4),
        [_slow(name, start_ms, length_ms, 4.0) for name in sized.server_names(deep)],
        [
            {"kind": "goodput-share", "groups": important, "minimum": 0.9},
            {"kind": "unknown-share", "maximum": 0.02},
            {
                "kind": "recovery",
                "maximum_ms": min(5000.0, 0.2 * duration_ms),
                "level": 0.9,
                "window_ms": 1000,
            },
            {"kind": "weight-order", "allowed_share": 0.05},
            *ALWAYS_CHECKS,
        ],
    )


@MEASURES.register("swing")
def make_swing(sized: SizedWorkload, rng: Random, duration_ms: float) -> Scenario:
    """Build a demand that swings between low load and overload within seconds.

    :param sized: the workload
    :param rng: source of randomness
    :param duration_ms: length of the trace, four swings
    :return: the scenario
    """
    period_ms = duration_ms / 4.0

    def load(at_ms: float) -> float:
        return 0.85 - 0.65 * math.cos(2.0 * math.pi * at_ms / period_ms)

    important = list(sized.workload.important)
    return Scenario(
        base_load(sized, rng, duration_ms, 1.5, load, retries=1),
        [],
        [
            {"kind": "goodput-share", "groups": important, "minimum": 0.97},
            {"kind": "unknown-share", "maximum": 0.01},
            {"kind": "p99-relative", "groups": important, "maximum_ratio": 1.0},
            {"kind": "weight-order", "allowed_share": 0.05},
            *ALWAYS_CHECKS,
        ],
    )


@MEASURES.register("uploads")
def make_uploads(sized: SizedWorkload, rng: Random, duration_ms: float) -> Scenario:
    """Build bursts of long uploads beside short lookups to the same service.

    :param sized: the workload
    :param rng: source of randomness
    :param duration_ms: length of the trace
    :return: the scenario; each burst has twice as many uploads as the service has slots
    """
    requests = base_load(sized, rng, duration_ms, 0.4, lambda _: 0.4)
    upload = sized.workload.upload
    service = sized.workload.service(upload.service)
    burst = UPLOADS_PER_SLOT * sized.servers(service) * sized.slots(service)
    starts_ms = (0.1 * duration_ms, 0.5 * duration_ms)
    for number in range(burst * len(starts_ms)):
        at_ms = starts_ms[number // burst] + rng.uniform(0.0, 0.1 * duration_ms)
        requests.append(make_request(rng, upload, at_ms, number, 2, 1000.0))
    lookups = list(sized.workload.lookups)
    return Scenario(
        requests,
        [],
        [
            {"kind": "all-complete", "groups": [upload.group]},
            {"kind": "goodput-share", "groups": lookups, "minimum": 0.98},
            {"kind": "p99-relative", "groups": lookups, "maximum_ratio": 0.8},
            *ALWAYS_CHECKS,
        ],
    )


@MEASURES.register("slow-servers")
def make_slow_servers(
    sized: SizedWorkload, rng: Random, duration_ms: float
) -> Scenario:
    """Build brief slowdowns of single backend servers.

    :param sized: the workload
    :param rng: source of randomness
    :param duration_ms: length of the trace
    :return: the scenario; one backend server of each service is slowed at a time
    """
    faults: list[TraceFault] = []
    for start in (0.15, 0.45, 0.75):
        for service in sized.workload.services:
            target = rng.choice(sized.server_names(service.name))
            at_ms = start * duration_ms + rng.uniform(0.0, 0.05 * duration_ms)
            faults.append(_slow(target, at_ms, 0.15 * duration_ms, 10.0))
    return Scenario(
        base_load(sized, rng, duration_ms, 0.5, lambda _: 0.5),
        faults,
        [
            {"kind": "goodput-share", "minimum": 0.97},
            {"kind": "unknown-share", "maximum": 0.01},
            {"kind": "p99-relative", "maximum_ratio": 0.8},
            *ALWAYS_CHECKS,
        ],
    )
