"""Deterministic schedules of faults over a simulated deployment."""

from __future__ import annotations

import contextlib
import heapq
import itertools
from random import Random
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

from marjoramstep_consensus.effects import Role
from marjoramstep_consensus.leadership import Leadership
from marjoramstep_consensus.membership import Membership
from marjoramstep_consensus.replica_driver import ProposalResult
from marjoramstep_consensus.replica_driver import ProposalState
from marjoramstep_consensus.replica_state import Limits
from marjoramstep_consensus.replica_state import Timing
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.ids import ReplicaId
from marjoramstep_wire.codec import FrameDecoder
from marjoramstep_wire.codec import encode_frame

from .consensus_checker import Checker
from .consensus_checker import ViolationError
from .consensus_faults import FaultActions
from .consensus_replica import PlantedFaults
from .consensus_replica import SimulatedReplica


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_consensus.effects import Send

TICK_MS = 20.0
FAULTS_MS = 3_000.0
SETTLE_MS = 30_000.0
# Unsettled proposals above this number are only retried.
OPEN_LIMIT = 30


class Schedule(FaultActions):
    """One run from a seed."""

    def __init__(
        self, seed: int, faults: PlantedFaults | None = None, rotate: bool = False
    ) -> None:
        self.rng = rng = Random(seed)
        self.seed = seed
        self.faults = faults or PlantedFaults()
        self.clock = ManualClock()
        self.checker = Checker()
        self.timing = Timing(40.0, 150.0, rng.choice([170.0, 300.0]))
        self.limits = Limits(
            batch_entries=rng.choice([1] if rotate else [1, 3, 64]),
            part_bytes=rng.choice([50, 4096]),
            kept_entries=rng.choice([0, 10]),
        )
        self.snapshot_entries = rng.choice([7, 40, 10_000])
        self.truncated = self.interrupted_writes = self.installed = 0
        self.confirmed_reads = self.wiped = self.admitted = self.removed = 0
        self._lines: list[tuple[float, str]] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._names = itertools.count()
        self._proposal_ids = itertools.count()
        self._open: set[str] = set()
        self._cuts: set[tuple[str, str]] = set()
        self._drop = rng.choice([0.0, 0.02, 0.15])
        self._delay_ms = rng.choice([3.0, 30.0])
        self._churn = rng.random() < 0.5
        self._rotate = rotate or rng.random() < 0.3
        self._crash_voters = rng.choice([0.0, 0.4])
        names = [f"r{next(self._names)}" for _ in range(rng.choice([1, 3, 3, 5]))]
        self._ghost: str | None = None
        self._healed = False
        self._first = Membership({ReplicaId(n): n for n in names})
        self.replicas = {n: SimulatedReplica(self, n, self._first) for n in names}

    def trace(self, line: str) -> None:
        """Note what happened, for a failing seed."""
        self._lines.append((self.clock.now_ms(), line))

    def trace_text(self) -> str:
        """Return the trace, one event a line."""
        return "\n".join(f"{ms:9.1f} ms  {line}" for ms, line in self._lines)

    def at(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Run a call later."""
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (due_ms, next(self._order), call))

    def later(
        self, delay_ms: float, replica: SimulatedReplica, call: Callable[..., None]
    ) -> None:
        """Run a call in the present life of a replica, when it is not frozen."""
        life = replica.life

        def run() -> None:
            if replica.life == life and replica.alive:
                if replica.frozen:
                    replica.paused.append(run)
                else:
                    call()

        self.at(delay_ms, run)

    def send(self, sender: SimulatedReplica, send: Send) -> None:
        """Carry a message: drop, duplicate, delay and reorder it."""
        rng = self.rng
        route = (sender.replica_id, send.receiver)
        target = self.replicas.get(send.receiver)
        self._crash_voter(sender, send.message)
        if target is None or route in self._cuts or rng.random() < self._drop:
            return
        message = send.message
        if rng.random() < 0.05:
            (message,) = FrameDecoder("test").feed(encode_frame(message))
        for _ in range(2 if rng.random() < 0.03 else 1):
            slow = 20.0 if rng.random() < 0.02 else 1.0
            delay_ms = rng.uniform(0.3, self._delay_ms) * slow
            self.at(delay_ms, lambda: self._deliver(target, route[0], message))

    def _deliver(
        self, target: SimulatedReplica, sender: ReplicaId, message: Any
    ) -> None:
        if target.alive and (sender, target.replica_id) not in self._cuts:
            self.later(0.0, target, lambda: target.receive(sender, message))

    def settled(self, result: ProposalResult) -> None:
        """Take the result of a proposal; retry under the same id unless applied."""
        proposal_id = str(result.token)
        if result.state is ProposalState.APPLIED:
            self.checker.acknowledged.add(proposal_id)
            self._open.discard(proposal_id)

    def run(self) -> None:
        """Run the faults, then heal everything and check the end.

        :raises ViolationError: if a property does not hold
        """
        with contextlib.ExitStack() as planted:
            if self.faults.commit_earlier_terms:
                planted.enter_context(
                    mock.patch.object(Leadership, "_may_commit", lambda *_: True)
                )
            if self.faults.unconfirmed_reads:
                confirmed = mock.patch.object(
                    Leadership, "_confirmed_round", lambda _: float("inf")
                )
                planted.enter_context(confirmed)
            try:
                self._tick()
                self._client()
                self._disturb()
                self._run_until(FAULTS_MS)
                self._heal()
                self._settle()
            except MarjoramstepError as error:
                raise ViolationError(f"{type(error).__name__}: {error}") from error

    def _run_until(self, end_ms: float) -> None:
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, call = heapq.heappop(self._events)
            self.clock.advance_ms(max(due_ms - self.clock.now_ms(), 0.0))
            call()

    def _tick(self) -> None:
        for replica in list(self.replicas.values()):
            if replica.alive and not replica.frozen:
                replica.tick()
        self.at(self.rng.uniform(0.5, 1.5) * TICK_MS, self._tick)

    def _leaders(self) -> list[SimulatedReplica]:
        """Return active leaders, the one of the newest term last."""
        found = [
            replica
            for replica in self.replicas.values()
            if replica.alive and not replica.frozen
            if replica.core.role is Role.LEADER
        ]
        return sorted(found, key=lambda replica: replica.core.term)

    def _client(self) -> None:
        rng = self.rng
        leaders = self._leaders()
        if leaders:
            replica = rng.choice(leaders)
            batch = [f"p{next(self._proposal_ids)}" for _ in range(rng.randint(1, 3))]
            if len(self._open) > OPEN_LIMIT:
                batch = []
            batch += rng.sample(sorted(self._open), min(len(self._open), 1))
            self._propose(replica, batch)
            if rng.random() < 0.3:
                self._read(replica)
        self.at(rng.uniform(5, 60), self._client)

    def _read(self, replica: SimulatedReplica) -> None:
        read_id, effects = replica.core.request_read()
        replica.reads[read_id] = set(self.checker.acknowledged)
        replica.handle(effects)

    def _propose(self, replica: SimulatedReplica, batch: list[str]) -> None:
        self._open.update(batch)
        with mock.patch.object(replica.core, "propose", self._observed(replica)):
            work = replica.driver.propose([(i, i.encode()) for i in batch])
        replica.carry_out(work)

    def _observed(self, replica: SimulatedReplica) -> Callable[..., Any]:
        propose = replica.core.propose
        return lambda *payloads: replica.observe(propose(*payloads))

    def _heal(self) -> None:
        self.trace("everything is healed")
        self._healed = True
        self._cuts.clear()
        self._drop = 0.0
        ended = (self._disturb, self._client)
        self._events = [e for e in self._events if e[2] not in ended]
        heapq.heapify(self._events)
        for replica in self.replicas.values():
            self._resume(replica)
            self._restart(replica)

    def _settle(self) -> None:
        """Wait until all open proposals are settled and all members agree."""
        self._open.add("final")
        next_submit_ms = 0.0
        while self.clock.now_ms() < FAULTS_MS + SETTLE_MS:
            self._run_until(self.clock.now_ms() + 300.0)
            leaders = self._leaders()
            if leaders and self._open and self.clock.now_ms() >= next_submit_ms:
                self._propose(leaders[-1], sorted(self._open))
                next_submit_ms = self.clock.now_ms() + 5_000.0
            if not self._open and self._members_agree():
                return
        raise ViolationError("no progress after everything is healed")

    def _members_agree(self) -> bool:
        leaders = self._leaders()
        if not leaders:
            return False
        core = leaders[-1].core
        members = [
            self.replicas[m] for m in core.membership.members if m != self._ghost
        ]
        if any(m.core.applied_index != core.last_index for m in members):
            return False
        self.checker.end({m.replica_id: m.machine for m in members})
        return True
