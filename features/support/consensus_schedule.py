"""Deterministic fault schedules for a simulated deployment."""

from __future__ import annotations

import contextlib
import heapq
import itertools
from random import Random
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

from marjoramstep_consensus.effects import Role
from marjoramstep_consensus.leader import Leader
from marjoramstep_consensus.membership import Membership
from marjoramstep_consensus.replica_driver import ProposalOutcome
from marjoramstep_consensus.replica_driver import ProposalResult
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
from .consensus_replica import InjectedBugs
from .consensus_replica import SimulatedReplica


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_consensus.effects import Send

TICK_MS = 20.0
FAULTS_MS = 3_000.0
SETTLE_MS = 30_000.0
# Above this number of pending proposals no new ones are made, only retries.
MAX_PENDING_PROPOSALS = 30


class Schedule(FaultActions):
    """One simulation run, determined by its seed."""

    def __init__(
        self, seed: int, bugs: InjectedBugs | None = None, isolate_leaders: bool = False
    ) -> None:
        self.rng = rng = Random(seed)
        self.seed = seed
        self.bugs = bugs or InjectedBugs()
        self.clock = ManualClock()
        self.checker = Checker()
        # Drawn separately, so that a seed keeps its schedule of faults.
        voters_rng = Random(f"voters of {seed}")
        self.timing = Timing(
            heartbeat_ms=40.0,
            learner_heartbeat_ms=voters_rng.choice([40.0, 400.0]),
            election_min_ms=150.0,
            election_max_ms=rng.choice([170.0, 300.0]),
            lost_voter_ms=voters_rng.choice([200.0, 1_000.0]),
        )
        self.limits = Limits(
            batch_entries=rng.choice([1] if isolate_leaders else [1, 3, 64]),
            snapshot_part_bytes=rng.choice([50, 4096]),
            kept_entries=rng.choice([0, 10]),
            target_voters=voters_rng.choice([2, 3, 5]),
        )
        self.snapshot_entries = rng.choice([7, 40, 10_000])
        self.truncated = self.interrupted_writes = self.installed = 0
        self.confirmed_reads = self.wiped = self.admitted = self.removed = 0
        self._trace_lines: list[tuple[float, str]] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._name_numbers = itertools.count()
        self._proposal_numbers = itertools.count()
        self._pending: set[str] = set()
        self._cut_links: set[tuple[str, str]] = set()
        self._drop_probability = rng.choice([0.0, 0.02, 0.15])
        self._max_delay_ms = rng.choice([3.0, 30.0])
        self._target_leaders = rng.random() < 0.5
        self._isolate_leaders = isolate_leaders or rng.random() < 0.3
        self._voter_crash_probability = rng.choice([0.0, 0.4])
        names = [
            f"r{next(self._name_numbers)}" for _ in range(rng.choice([1, 3, 3, 5]))
        ]
        self._wiped_id: str | None = None
        self._healed = False
        self._initial_membership = Membership({ReplicaId(n): n for n in names})
        self.replicas = {
            n: SimulatedReplica(self, n, self._initial_membership) for n in names
        }

    def trace(self, line: str) -> None:
        """Record an event, printed if the seed fails."""
        self._trace_lines.append((self.clock.now_ms(), line))

    def trace_text(self) -> str:
        """Return the trace, one event per line."""
        return "\n".join(f"{ms:9.1f} ms  {line}" for ms, line in self._trace_lines)

    def call_after(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Run a call after a delay."""
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (due_ms, next(self._event_numbers), call))

    def call_on_replica(
        self, delay_ms: float, replica: SimulatedReplica, call: Callable[..., None]
    ) -> None:
        """Run a call after a delay unless the replica has crashed since.

        If the replica is paused, the call is deferred until it resumes.
        """
        incarnation = replica.incarnation

        def run() -> None:
            if replica.incarnation == incarnation and replica.alive:
                if replica.is_paused:
                    replica.deferred_calls.append(run)
                else:
                    call()

        self.call_after(delay_ms, run)

    def send(self, sender: SimulatedReplica, send: Send) -> None:
        """Deliver a message, possibly dropped, duplicated, delayed or reordered."""
        rng = self.rng
        link = (sender.replica_id, send.receiver)
        target = self.replicas.get(send.receiver)
        self._maybe_crash_voter(sender, send.message)
        if (
            target is None
            or link in self._cut_links
            or rng.random() < self._drop_probability
        ):
            return
        message = send.message
        if rng.random() < 0.05:
            (message,) = FrameDecoder("test").feed(encode_frame(message))
        for _ in range(2 if rng.random() < 0.03 else 1):
            delay_factor = 20.0 if rng.random() < 0.02 else 1.0
            delay_ms = rng.uniform(0.3, self._max_delay_ms) * delay_factor
            self.call_after(delay_ms, lambda: self._deliver(target, link[0], message))

    def _deliver(
        self, target: SimulatedReplica, sender: ReplicaId, message: Any
    ) -> None:
        if target.alive and (sender, target.replica_id) not in self._cut_links:
            self.call_on_replica(0.0, target, lambda: target.receive(sender, message))

    def on_result(self, result: ProposalResult) -> None:
        """Handle the result of a proposal; it is retried with its id unless applied."""
        proposal_id = str(result.token)
        if result.state is ProposalOutcome.APPLIED:
            self.checker.acknowledged.add(proposal_id)
            self._pending.discard(proposal_id)

    def run(self) -> None:
        """Run the faults, then heal them and check the final state.

        :raises ViolationError: if an invariant is violated
        """
        with contextlib.ExitStack() as patches:
            if self.bugs.commit_earlier_terms:
                patches.enter_context(
                    mock.patch.object(Leader, "_may_commit", lambda *_: True)
                )
            if self.bugs.unconfirmed_reads:
                confirmed = mock.patch.object(
                    Leader, "_confirmed_round", lambda _: float("inf")
                )
                patches.enter_context(confirmed)
            try:
                self._tick()
                self._run_client()
                self._inject_fault()
                self._run_until(FAULTS_MS)
                self._heal()
                self._wait_until_settled()
            except MarjoramstepError as error:
                raise ViolationError(f"{type(error).__name__}: {error}") from error

    def _run_until(self, end_ms: float) -> None:
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, call = heapq.heappop(self._events)
            self.clock.advance_ms(max(due_ms - self.clock.now_ms(), 0.0))
            call()

    def _tick(self) -> None:
        for replica in list(self.replicas.values()):
            if replica.alive and not replica.is_paused:
                replica.tick()
        self.call_after(self.rng.uniform(0.5, 1.5) * TICK_MS, self._tick)

    def _leaders(self) -> list[SimulatedReplica]:
        """Return running leaders in the order of their terms."""
        found = [
            replica
            for replica in self.replicas.values()
            if replica.alive and not replica.is_paused
            if replica.core.role is Role.LEADER
        ]
        return sorted(found, key=lambda replica: replica.core.term)

    def _run_client(self) -> None:
        rng = self.rng
        leaders = self._leaders()
        if leaders:
            replica = rng.choice(leaders)
            batch = [
                f"p{next(self._proposal_numbers)}" for _ in range(rng.randint(1, 3))
            ]
            if len(self._pending) > MAX_PENDING_PROPOSALS:
                batch = []
            batch += rng.sample(sorted(self._pending), min(len(self._pending), 1))
            self._propose(replica, batch)
            if rng.random() < 0.3:
                self._read(replica)
        self.call_after(rng.uniform(5, 60), self._run_client)

    def _read(self, replica: SimulatedReplica) -> None:
        read_id, effects = replica.core.request_read()
        replica.reads[read_id] = set(self.checker.acknowledged)
        replica.handle(effects)

    def _propose(self, replica: SimulatedReplica, batch: list[str]) -> None:
        self._pending.update(batch)
        with mock.patch.object(replica.core, "propose", self._checked_propose(replica)):
            output = replica.driver.propose([(i, i.encode()) for i in batch])
        replica.execute(output)

    def _checked_propose(self, replica: SimulatedReplica) -> Callable[..., Any]:
        propose = replica.core.propose
        return lambda *payloads: replica.check_effects(propose(*payloads))

    def _heal(self) -> None:
        self.trace("all faults are healed")
        self._healed = True
        self._cut_links.clear()
        self._drop_probability = 0.0
        ended = (self._inject_fault, self._run_client)
        self._events = [e for e in self._events if e[2] not in ended]
        heapq.heapify(self._events)
        for replica in self.replicas.values():
            self._resume(replica)
            self._restart(replica)

    def _wait_until_settled(self) -> None:
        """Wait until all pending proposals are applied and all members agree."""
        self._pending.add("final")
        next_submit_ms = 0.0
        while self.clock.now_ms() < FAULTS_MS + SETTLE_MS:
            self._run_until(self.clock.now_ms() + 300.0)
            leaders = self._leaders()
            if leaders and self._pending and self.clock.now_ms() >= next_submit_ms:
                self._propose(leaders[-1], sorted(self._pending))
                next_submit_ms = self.clock.now_ms() + 5_000.0
            if not self._pending and self._members_agree():
                return
        raise ViolationError("no progress after all faults are healed")

    def _members_agree(self) -> bool:
        leaders = self._leaders()
        if not leaders:
            return False
        core = leaders[-1].core
        members = [
            self.replicas[m] for m in core.membership.members if m != self._wiped_id
        ]
        if any(m.core.applied_index != core.last_index for m in members):
            return False
        self.checker.check_final_states({m.replica_id: m.machine for m in members})
        return True
