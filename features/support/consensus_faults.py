"""Faults that a schedule injects, and simulated membership changes by an operator."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_consensus.effects import Role
from marjoramstep_consensus.leader import ChangeRefusedError
from marjoramstep_core.ids import ReplicaId
from marjoramstep_wire.messages import VoteReply

from .consensus_replica import SimulatedReplica


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random


class FaultActions:
    """Mixin of actions on the replicas of a schedule, which sets the attributes."""

    rng: Random
    replicas: dict[str, SimulatedReplica]
    trace: Callable[[str], None]
    call_after: Callable[[float, Callable[[], None]], None]
    call_on_replica: Callable[..., None]

    def _maybe_crash_voter(self, voter: SimulatedReplica, message: Any) -> None:
        """Sometimes crash a voter right after it sends a vote that it granted.

        If the vote is not durable, the voter can vote twice in the same term.
        """
        vote = isinstance(message, VoteReply) and not message.pre_vote
        if not vote or not message.granted or self._healed:
            return
        if self.rng.random() < self._voter_crash_probability:
            self.call_on_replica(0.0, voter, lambda: self._crash(voter, 1.0))

    def on_elected(self, leader: SimulatedReplica) -> None:
        """Isolate a new leader early, and reconnect the previously isolated one.

        A few replicas then have entries of several terms, which is the case in which
        an entry of an earlier term must not be committed by counting replicas.
        """
        if self._isolate_leaders and not self._healed and self.rng.random() < 0.8:
            delay_ms = self.rng.uniform(0, 4) * self._max_delay_ms
            self.call_after(delay_ms, lambda: self._isolate(leader.replica_id))

    def _isolate(self, name: str) -> None:
        if not self._healed:
            self._cut_links = {(name, other) for other in self.replicas}
            self._cut_links |= {(other, name) for other in self.replicas}
            self.trace(f"{name} is isolated")

    def _inject_fault(self) -> None:
        rng = self.rng
        actions = [
            self._crash,
            self._crash,
            self._crash_leader,
            self._pause,
            self._pause,
            self._cut_link,
            self._partition_leader,
            self._restore_links,
            self._restore_links,
            self._wipe,
            self._change,
            self._change,
        ]
        if self._target_leaders:
            actions += [
                self._crash_leader,
                self._partition_leader,
                self._restore_links,
            ] * 3
        rng.choice(actions)()
        interval_factor = 6.0 if self._isolate_leaders else 1.0
        self.call_after(rng.uniform(10, 150) * interval_factor, self._inject_fault)

    def _random_replica(self) -> SimulatedReplica:
        return self.rng.choice(list(self.replicas.values()))

    def _crash(
        self, replica: SimulatedReplica | None = None, down_ms: float | None = None
    ) -> None:
        replica = replica or self._random_replica()
        if not replica.alive:
            return
        replica.crash()
        delay_ms = down_ms or self.rng.choice([1.0, 50.0, 500.0])
        self.trace(f"{replica.replica_id} crashes for {delay_ms} ms")
        self.call_after(delay_ms, lambda: self._restart(replica))

    def _restart(self, replica: SimulatedReplica) -> None:
        if not replica.alive and replica.replica_id in self.replicas:
            replica.start()
            self.trace(f"{replica.replica_id} starts")

    def _crash_leader(self) -> None:
        for replica in self._leaders()[-1:]:
            self._crash(replica)

    def _pause(self) -> None:
        replica = self.rng.choice([self._random_replica(), *self._leaders()[-1:]])
        if replica.alive and not replica.is_paused:
            replica.is_paused = True
            delay_ms = self.rng.choice([50.0, 400.0, 1_200.0])
            self.trace(f"{replica.replica_id} is paused for {delay_ms:.0f} ms")
            self.call_after(delay_ms, lambda: self._resume(replica))

    def _resume(self, replica: SimulatedReplica) -> None:
        """Resume a replica, and request a read if it still takes itself for the leader.

        Such a read must not be confirmed if another leader was elected meanwhile.
        """
        replica.is_paused = False
        deferred_calls, replica.deferred_calls = replica.deferred_calls, []
        for call in deferred_calls:
            self.call_after(0.0, call)
        if replica.alive and replica.core.role is Role.LEADER:
            self._read(replica)

    def _cut_link(self) -> None:
        link = (self._random_replica().replica_id, self._random_replica().replica_id)
        self._cut_links.add(link)
        self.trace(f"link from {link[0]} to {link[1]} is cut")

    def _partition_leader(self) -> None:
        for leader in self._leaders()[-1:]:
            for other in self.replicas:
                if self.rng.random() < 0.7:
                    self._cut_links.add((leader.replica_id, other))
                    self._cut_links.add((other, leader.replica_id))
            self.trace(f"leader {leader.replica_id} is partitioned from some replicas")

    def _restore_links(self) -> None:
        self._cut_links.clear()
        self.trace("all cut links are restored")

    def _memberships_agree(self) -> bool:
        """Return whether all replicas run with the same, committed membership."""
        cores = [r.core for r in self.replicas.values() if r.alive]
        memberships = [core.membership for core in cores]
        return (
            len(cores) == len(self.replicas)
            and all(view == memberships[0] for view in memberships)
            and set(memberships[0].voters) == set(self.replicas)
        )

    def _wipe(self) -> None:
        """Empty the data folder of a replica; a quorum of the others keeps its data."""
        if (
            self._wiped_id is not None
            or len(self.replicas) < 3
            or not self._memberships_agree()
        ):
            return
        replica = self._random_replica()
        replica.crash()
        old_id = replica.replica_id
        self.wiped += 1
        self.trace(f"{old_id} loses its data folder")
        del self.replicas[old_id]
        if self.bugs.reuse_identity:
            self.replicas[old_id] = SimulatedReplica(
                self, old_id, self._initial_membership
            )
            return
        self._wiped_id = old_id
        self._start_new_replica()

    def _start_new_replica(self) -> str:
        name = f"r{next(self._name_numbers)}"
        self.replicas[name] = SimulatedReplica(self, name, None)
        self.trace(f"{name} starts with an empty folder")
        return name

    def _change(self) -> None:
        """Change the membership as an operator does, and replace a wiped replica."""
        for leader in self._leaders()[-1:]:
            members = leader.core.membership.members
            outside = [n for n in self.replicas if n not in members]
            try:
                if self._wiped_id is not None and self._wiped_id in members:
                    leader.handle(leader.core.remove(ReplicaId(self._wiped_id)))
                    self.trace(f"{leader.replica_id} removes wiped {self._wiped_id}")
                    self.removed += 1
                elif outside and len(members) < 6:
                    leader.handle(leader.core.admit(ReplicaId(outside[0]), "new"))
                    self.trace(f"{leader.replica_id} admits {outside[0]}")
                    self.admitted += 1
                    self._wiped_id = None
                elif self.rng.random() < 0.5 and len(self.replicas) < 7:
                    self._start_new_replica()
                elif len(members) > 3:
                    target = self.rng.choice(sorted(members))
                    leader.handle(leader.core.remove(ReplicaId(target)))
                    self.trace(f"{leader.replica_id} removes {target}")
                    self.removed += 1
            except ChangeRefusedError:
                return
