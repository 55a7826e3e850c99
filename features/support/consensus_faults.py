"""Faults that a schedule injects, and the operator's membership changes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_consensus.effects import Role
from marjoramstep_consensus.leadership import ChangeRefusedError
from marjoramstep_core.ids import ReplicaId
from marjoramstep_wire.messages import VoteReply

from .consensus_replica import SimulatedReplica


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random


class FaultActions:
    """Actions on the replicas of a schedule, which sets the attributes."""

    rng: Random
    replicas: dict[str, SimulatedReplica]
    trace: Callable[[str], None]
    at: Callable[[float, Callable[[], None]], None]
    later: Callable[..., None]

    def _crash_voter(self, voter: SimulatedReplica, message: Any) -> None:
        """Crash a voter as soon as its vote is out; a lost vote would count twice."""
        vote = isinstance(message, VoteReply) and not message.pre_vote
        if not vote or not message.granted or self._healed:
            return
        if self.rng.random() < self._crash_voters:
            self.later(0.0, voter, lambda: self._crash(voter, 1.0))

    def won(self, leader: SimulatedReplica) -> None:
        """Cut a new leader off early, and connect the one cut off before it.

        Entries then sit at few replicas in several terms, as in the case where an
        entry of an earlier term must not be committed by count.
        """
        if self._rotate and not self._healed and self.rng.random() < 0.8:
            delay_ms = self.rng.uniform(0, 4) * self._delay_ms
            self.at(delay_ms, lambda: self._isolate(leader.replica_id))

    def _isolate(self, name: str) -> None:
        if not self._healed:
            self._cuts = {(name, other) for other in self.replicas}
            self._cuts |= {(other, name) for other in self.replicas}
            self.trace(f"{name} alone is cut off")

    def _disturb(self) -> None:
        rng = self.rng
        actions = [
            self._crash,
            self._crash,
            self._crash_leader,
            self._freeze,
            self._freeze,
            self._cut,
            self._cut_leader,
            self._mend,
            self._mend,
            self._wipe,
            self._change,
            self._change,
        ]
        if self._churn:
            actions += [self._crash_leader, self._cut_leader, self._mend] * 3
        rng.choice(actions)()
        slower = 6.0 if self._rotate else 1.0
        self.at(rng.uniform(10, 150) * slower, self._disturb)

    def _pick(self) -> SimulatedReplica:
        return self.rng.choice(list(self.replicas.values()))

    def _crash(
        self, replica: SimulatedReplica | None = None, down_ms: float | None = None
    ) -> None:
        replica = replica or self._pick()
        if not replica.alive:
            return
        replica.crash()
        delay_ms = down_ms or self.rng.choice([1.0, 50.0, 500.0])
        self.trace(f"{replica.replica_id} crashes for {delay_ms} ms")
        self.at(delay_ms, lambda: self._restart(replica))

    def _restart(self, replica: SimulatedReplica) -> None:
        if not replica.alive and replica.replica_id in self.replicas:
            replica.start()
            self.trace(f"{replica.replica_id} starts")

    def _crash_leader(self) -> None:
        for replica in self._leaders()[-1:]:
            self._crash(replica)

    def _freeze(self) -> None:
        replica = self.rng.choice([self._pick(), *self._leaders()[-1:]])
        if replica.alive and not replica.frozen:
            replica.frozen = True
            delay_ms = self.rng.choice([50.0, 400.0, 1_200.0])
            self.trace(f"{replica.replica_id} is frozen for {delay_ms:.0f} ms")
            self.at(delay_ms, lambda: self._resume(replica))

    def _resume(self, replica: SimulatedReplica) -> None:
        """Resume a replica; one that still believes that it leads must not answer."""
        replica.frozen = False
        paused, replica.paused = replica.paused, []
        for call in paused:
            self.at(0.0, call)
        if replica.alive and replica.core.role is Role.LEADER:
            self._read(replica)

    def _cut(self) -> None:
        route = (self._pick().replica_id, self._pick().replica_id)
        self._cuts.add(route)
        self.trace(f"cut from {route[0]} to {route[1]}")

    def _cut_leader(self) -> None:
        for leader in self._leaders()[-1:]:
            for other in self.replicas:
                if self.rng.random() < 0.7:
                    self._cuts.add((leader.replica_id, other))
                    self._cuts.add((other, leader.replica_id))
            self.trace(f"leader {leader.replica_id} is cut off from some")

    def _mend(self) -> None:
        self._cuts.clear()
        self.trace("all cuts are mended")

    def _views_agree(self) -> bool:
        """Tell whether all replicas run with one membership that is committed."""
        cores = [r.core for r in self.replicas.values() if r.alive]
        views = [core.membership for core in cores]
        return (
            len(cores) == len(self.replicas)
            and all(view == views[0] for view in views)
            and set(views[0].voters) == set(self.replicas)
        )

    def _wipe(self) -> None:
        """Empty a data folder; a quorum of the others must keep their data."""
        if self._ghost is not None or len(self.replicas) < 3 or not self._views_agree():
            return
        replica = self._pick()
        replica.crash()
        old_id = replica.replica_id
        self.wiped += 1
        self.trace(f"{old_id} loses its data folder")
        del self.replicas[old_id]
        if self.faults.reuse_identity:
            self.replicas[old_id] = SimulatedReplica(self, old_id, self._first)
            return
        self._ghost = old_id
        self._start_new()

    def _start_new(self) -> str:
        name = f"r{next(self._names)}"
        self.replicas[name] = SimulatedReplica(self, name, None)
        self.trace(f"{name} starts with an empty folder")
        return name

    def _change(self) -> None:
        """Change the membership as an operator does, replacing a wiped replica."""
        for leader in self._leaders()[-1:]:
            members = leader.core.membership.members
            outside = [n for n in self.replicas if n not in members]
            try:
                if self._ghost is not None and self._ghost in members:
                    leader.handle(leader.core.remove(ReplicaId(self._ghost)))
                    self.trace(f"{leader.replica_id} removes wiped {self._ghost}")
                    self.removed += 1
                elif outside and len(members) < 6:
                    leader.handle(leader.core.admit(ReplicaId(outside[0]), "new"))
                    self.trace(f"{leader.replica_id} admits {outside[0]}")
                    self.admitted += 1
                    self._ghost = None
                elif self.rng.random() < 0.5 and len(self.replicas) < 7:
                    self._start_new()
                elif len(members) > 3:
                    target = self.rng.choice(sorted(members))
                    leader.handle(leader.core.remove(ReplicaId(target)))
                    self.trace(f"{leader.replica_id} removes {target}")
                    self.removed += 1
            except ChangeRefusedError:
                return
