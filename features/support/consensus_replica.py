"""One simulated replica: a core, its driver and its disk."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_consensus.data_folder import DataFolder
from marjoramstep_consensus.effects import Apply
from marjoramstep_consensus.effects import InstallSnapshot
from marjoramstep_consensus.effects import Persist
from marjoramstep_consensus.effects import Role
from marjoramstep_consensus.effects import RoleChanged
from marjoramstep_consensus.replica_core import ReplicaCore
from marjoramstep_consensus.replica_driver import DriverOutput
from marjoramstep_consensus.replica_driver import ReplicaDriver
from marjoramstep_consensus.replica_driver import StateMachineCallbacks
from marjoramstep_core.ids import ReplicaId

from .consensus_checker import ListMachine
from .consensus_disk import MemoryDisk
from .consensus_disk import SimulatedCrashError


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_consensus.effects import Effect
    from marjoramstep_consensus.membership import Membership


@dataclass(frozen=True)
class InjectedBugs:
    """Bugs to inject, which the checker must detect."""

    unsynced_vote: bool = False
    reuse_identity: bool = False
    commit_earlier_terms: bool = False
    unconfirmed_reads: bool = False


class SkewedClock:
    """Clock with shared monotonic time and a skewed wall clock."""

    def __init__(self, shared: Any, skew_ms: int) -> None:
        self._shared = shared
        self._skew_ms = skew_ms

    def now_ms(self) -> float:
        return float(self._shared.now_ms())

    def wall_ms(self) -> int:
        return int(self._shared.wall_ms()) + self._skew_ms


class SimulatedReplica:
    """A replica that can crash and be restarted from its disk."""

    def __init__(
        self, schedule: Any, replica_id: str, membership: Membership | None
    ) -> None:
        self._schedule = schedule
        self.replica_id = ReplicaId(replica_id)
        self.disk = MemoryDisk()
        self._rng = Random(schedule.rng.random())
        self._clock = SkewedClock(schedule.clock, schedule.rng.randint(-5000, 5000))
        folder = DataFolder(self.disk, replica_id)
        folder.create(self.replica_id, membership)
        self.incarnation = 0
        self.alive = False
        self.is_paused = False
        self.deferred_calls: list[Callable[[], None]] = []
        self.write: Persist | None = None
        self.reads: dict[int, set[str]] = {}
        self.start()

    def start(self) -> None:
        """Start the process from the state on disk."""
        schedule = self._schedule
        self._folder = DataFolder(self.disk, self.replica_id)
        stored = self._folder.load()
        schedule.truncated += self._folder.truncated_bytes > 0
        self.machine = ListMachine()
        if stored.snapshot.last_index:
            self.machine.restore(stored.snapshot.data)
        self.core = ReplicaCore(
            self.replica_id,
            stored,
            self._clock,
            self._rng,
            schedule.timing,
            schedule.limits,
        )
        callbacks = StateMachineCallbacks(self._apply, self._restore, self._snapshot)
        self.driver = ReplicaDriver(self.core, callbacks, schedule.snapshot_entries)
        self.alive, self.write = True, None
        self.reads = {}
        self.incarnation += 1

    def crash(self) -> None:
        """Crash the process, possibly during a write."""
        if self.write is not None and self._rng.random() < 0.7:
            self.disk.operations_left = self._rng.randint(0, 8)
            try:
                self._folder.persist(self.write)
            except SimulatedCrashError:
                self._schedule.interrupted_writes += 1
        self.disk.lose_unsynced(self._rng)
        self.alive = self.is_paused = False
        self.incarnation += 1

    def handle(self, effects: list[Effect]) -> None:
        """Check effects and execute them."""
        self.execute(self.driver.handle(self.check_effects(effects)))

    def check_effects(self, effects: list[Effect]) -> list[Effect]:
        """Report new leaders and applied entries to the checker."""
        schedule = self._schedule
        for effect in effects:
            if isinstance(effect, RoleChanged):
                if effect.role is Role.LEADER:
                    schedule.checker.check_single_leader(self.replica_id, effect.term)
                    schedule.trace(f"{self.replica_id} leads term {effect.term}")
                    schedule.on_elected(self)
            elif isinstance(effect, Apply):
                for entry in effect.entries:
                    schedule.checker.check_applied(self.replica_id, entry)
            elif isinstance(effect, InstallSnapshot):
                schedule.installed += 1
        return effects

    def execute(self, output: DriverOutput) -> None:
        """Start the write, send messages and report results."""
        schedule = self._schedule
        if output.write is not None:
            self.write = output.write
            # If the leader's disk is slow, followers answer before the leader's sync.
            delay_factor = 20.0 if self._rng.random() < 0.1 else 1.0
            schedule.call_on_replica(
                self._rng.uniform(0.5, 15) * delay_factor, self, self.on_write_done
            )
        for send in output.sends:
            schedule.send(self, send)
        for result in output.results:
            schedule.on_result(result)
        for read_id in output.ready_reads:
            expected = self.reads.pop(read_id)
            schedule.checker.check_read(self.replica_id, self.machine, expected)
            schedule.confirmed_reads += 1

    def on_write_done(self) -> None:
        """Complete the write in progress."""
        write = self.write
        assert write is not None
        skip = self._schedule.bugs.unsynced_vote and not write.entries
        if not skip or write.snapshot is not None:
            self._folder.persist(write)
        self.write = None
        self.handle(self.core.on_synced(write.write_number))

    def tick(self) -> None:
        """Call the core's tick if it is due."""
        if self._clock.now_ms() >= self.core.next_wakeup_ms():
            self.handle(self.core.tick())

    def receive(self, sender: ReplicaId, message: Any) -> None:
        """Pass a message to the core."""
        self.handle(self.core.receive(sender, message))

    def _apply(self, entry: Any) -> int:
        return self.machine.apply(entry)

    def _restore(self, data: bytes) -> None:
        self.machine.restore(data)

    def _snapshot(self) -> bytes:
        return self.machine.snapshot()
