"""Traces with faults drawn at random, for a soak of the promises."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..trace import FaultAction
from ..trace import TraceFault
from .measures import ALWAYS_CHECKS
from .measures import MEASURES
from .measures import Scenario
from .measures import base_load


if TYPE_CHECKING:
    from random import Random

    from .sizing import SizedWorkload

LOAD = 0.4
RESENDS = 2
# Faults begin once the first requests have run, and end before the last ones are sent.
FIRST_FAULT_SHARE = 0.1
LAST_FAULT_SHARE = 0.75
LEAST_GAP_MS = 200.0
MOST_GAP_MS = 1_500.0
LEAST_LENGTH_MS = 300.0
MOST_LENGTH_MS = 3_000.0
# A process that has been started again is left alone until it serves.
START_PAUSE_MS = 4_000.0
SLOW_FACTOR = 8.0
REPLICA_NAMES = ("replica-1", "replica-2", "replica-3")
# Of three replicas one may be lost at a time.
REPLICA_LOCK = "replicas"


class _FaultPlan:
    """Draws faults so that no process gets one while it is down.

    :param rng: source of randomness
    :param servers: names of the stand-in backend servers
    """

    def __init__(self, rng: Random, servers: list[str]) -> None:
        self._rng = rng
        self._servers = servers
        self._busy_until_ms: dict[str, float] = {}
        self.faults: list[TraceFault] = []

    def add(self, at_ms: float) -> None:
        """Add a fault of a random kind for a random process.

        :param at_ms: time of the fault in milliseconds
        """
        kind = self._rng.choice([self._slow, self._crash, self._freeze])
        length_ms = self._rng.uniform(LEAST_LENGTH_MS, MOST_LENGTH_MS)
        target = self._rng.choice(self._targets(kind == self._slow))
        lock = REPLICA_LOCK if target in REPLICA_NAMES else target
        if at_ms < self._busy_until_ms.get(lock, 0.0):
            return
        self._busy_until_ms[lock] = at_ms + length_ms + START_PAUSE_MS
        kind(target, at_ms, length_ms)

    def _targets(self, servers_only: bool) -> list[str]:
        if servers_only:
            return self._servers
        nodes = [f"node-{server}" for server in self._servers]
        return [*self._servers, *nodes, *REPLICA_NAMES]

    def _slow(self, target: str, at_ms: float, length_ms: float) -> None:
        fault = TraceFault(at_ms, target, FaultAction.SLOW, SLOW_FACTOR, length_ms)
        self.faults.append(fault)

    def _crash(self, target: str, at_ms: float, length_ms: float) -> None:
        self.faults.append(TraceFault(at_ms, target, FaultAction.CRASH))
        self.faults.append(TraceFault(at_ms + length_ms, target, FaultAction.START))

    def _freeze(self, target: str, at_ms: float, length_ms: float) -> None:
        self.faults.append(TraceFault(at_ms, target, FaultAction.STOP))
        self.faults.append(TraceFault(at_ms + length_ms, target, FaultAction.CONTINUE))


@MEASURES.register("soak")
def make_soak(sized: SizedWorkload, rng: Random, duration_ms: float) -> Scenario:
    """Build a steady load with crashes, freezes and slowdowns at random.

    :param sized: the workload
    :param rng: source of randomness
    :param duration_ms: length of the trace
    :return: the scenario; only promises are checked, no service level
    """
    services = [service.name for service in sized.workload.services]
    servers = [name for service in services for name in sized.server_names(service)]
    plan = _FaultPlan(rng, servers)
    at_ms = FIRST_FAULT_SHARE * duration_ms
    while at_ms < LAST_FAULT_SHARE * duration_ms:
        plan.add(at_ms)
        at_ms += rng.uniform(LEAST_GAP_MS, MOST_GAP_MS)
    faults = sorted(plan.faults, key=lambda fault: fault.at_ms)
    requests = base_load(sized, rng, duration_ms, LOAD, lambda _: LOAD, RESENDS)
    return Scenario(requests, faults, [*ALWAYS_CHECKS])
