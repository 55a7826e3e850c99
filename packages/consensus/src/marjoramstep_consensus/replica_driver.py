"""Dispatches the effects of a replica core and matches proposals to their results."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

from .effects import Apply
from .effects import InstallSnapshot
from .effects import Persist
from .effects import Proposed
from .effects import ReadFailed
from .effects import ReadReady
from .effects import Role
from .effects import RoleChanged
from .effects import Send
from .entry import EntryKind


if TYPE_CHECKING:
    from collections.abc import Callable

    from .effects import Effect
    from .entry import Entry
    from .entry import Snapshot
    from .replica_core import ReplicaCore


class ProposalOutcome(Enum):
    """Outcome of a proposal.

    ``LOST`` means that it will never take effect, ``UNKNOWN`` that it may still do so.
    """

    APPLIED = "applied"
    LOST = "lost"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class ProposalResult:
    """Result of one proposal.

    :param token: object that the caller passed with the proposal, returned unchanged
    :param state: outcome
    :param value: return value of the state machine if the proposal was applied
    """

    token: object
    state: ProposalOutcome
    value: object = None


@dataclass(frozen=True)
class StateMachineCallbacks:
    """Callbacks of the replicated state machine.

    :param apply: applies a committed entry of kind ``NORMAL``
    :param restore: replaces the state with the data of a snapshot
    :param snapshot: returns the state as bytes
    :param begin_snapshot: begins a snapshot that is encoded incrementally; used
        instead of ``snapshot`` if given
    :param end_snapshot: called when an incremental snapshot is complete or abandoned
    """

    apply: Callable[[Entry], object]
    restore: Callable[[bytes], None]
    snapshot: Callable[[], bytes]
    begin_snapshot: Callable[[], Callable[[], bytes | None]] | None = None
    end_snapshot: Callable[[], None] | None = None


@dataclass
class DriverOutput:
    """I/O and notifications to perform after an input.

    The messages need not wait for the write: those that depend on it are returned only
    after it is reported as synced.

    :param write: pass it to ``DataFolder.persist``, then call ``ReplicaCore.on_synced``
    :param sends: messages to other replicas
    :param results: results of proposals
    :param ready_reads: reads that may be answered from the state machine now
    :param failed_reads: reads that must be retried at the new leader
    """

    write: Persist | None = None
    sends: list[Send] = field(default_factory=list)
    results: list[ProposalResult] = field(default_factory=list)
    ready_reads: list[int] = field(default_factory=list)
    failed_reads: list[int] = field(default_factory=list)


class ReplicaDriver:
    """Executes the effects that need no I/O and collects the others.

    :param core: the replica
    :param machine: callbacks of the state machine, whose state is at the core's
        ``applied_index``
    :param snapshot_entries: number of applied entries between two snapshots
    """

    def __init__(
        self, core: ReplicaCore, machine: StateMachineCallbacks, snapshot_entries: int
    ) -> None:
        self.core = core
        self._machine = machine
        self.snapshot_entries = snapshot_entries
        self._last_snapshot_index = core.applied_index
        self._pending_proposals: dict[int, tuple[int, object]] = {}
        self._snapshot_step: Callable[[], bytes | None] | None = None
        # Index of the state that is being encoded.
        self._encoding_index = 0

    def propose(self, proposals: list[tuple[object, bytes]]) -> DriverOutput:
        """Propose a batch of payloads.

        :param proposals: token and payload of each
        :return: output; a :class:`ProposalResult` follows for each token
        :raises NotLeaderError: if this replica is not the leader
        :raises InvalidInputError: if a payload is too long; then none is proposed
        """
        effects = self.core.propose(*(payload for _, payload in proposals))
        appended = [effect for effect in effects if isinstance(effect, Proposed)]
        for effect, (token, _) in zip(appended, proposals, strict=True):
            self._pending_proposals[effect.index] = (effect.term, token)
        return self.handle(effects)

    def handle(self, effects: list[Effect]) -> DriverOutput:
        """Handle the effects of an input to the core.

        :param effects: effects that the core returned
        :return: I/O and notifications to perform
        """
        output = DriverOutput()
        self._dispatch(effects, output)
        index = self.core.applied_index
        if index - self._last_snapshot_index >= self.snapshot_entries:
            self._begin_snapshot(index, output)
        return output

    @property
    def is_encoding_snapshot(self) -> bool:
        """Whether :meth:`encode_snapshot_step` must be called again."""
        return self._snapshot_step is not None

    def encode_snapshot_step(self) -> DriverOutput:
        """Encode the next part of the incremental snapshot.

        :return: I/O to perform; after the last step, the write of the snapshot
        """
        output = DriverOutput()
        data = self._snapshot_step() if self._snapshot_step is not None else None
        if data is not None:
            self._end_snapshot()
            self._dispatch(self.core.store_snapshot(data, self._encoding_index), output)
        return output

    def _begin_snapshot(self, index: int, output: DriverOutput) -> None:
        if self._machine.begin_snapshot is None:
            self._last_snapshot_index = index
            self._dispatch(self.core.store_snapshot(self._machine.snapshot()), output)
        elif self._snapshot_step is None:
            self._last_snapshot_index = self._encoding_index = index
            self._snapshot_step = self._machine.begin_snapshot()

    def _end_snapshot(self) -> None:
        self._snapshot_step = None
        if self._machine.end_snapshot is not None:
            self._machine.end_snapshot()

    def _dispatch(self, effects: list[Effect], output: DriverOutput) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                output.sends.append(effect)
            elif isinstance(effect, Persist):
                output.write = effect
            elif isinstance(effect, Apply):
                for entry in effect.entries:
                    self._apply(entry, output)
            elif isinstance(effect, InstallSnapshot):
                self._install(effect.snapshot, output)
            elif isinstance(effect, ReadReady):
                output.ready_reads.append(effect.read_id)
            elif isinstance(effect, ReadFailed):
                output.failed_reads.append(effect.read_id)
            elif isinstance(effect, RoleChanged) and effect.role is not Role.LEADER:
                self._report_unknown(output)

    def _apply(self, entry: Entry, output: DriverOutput) -> None:
        value = None
        if entry.kind is EntryKind.NORMAL:
            value = self._machine.apply(entry)
        term, token = self._pending_proposals.pop(entry.index, (0, None))
        if term == entry.term:
            result = ProposalResult(token, ProposalOutcome.APPLIED, value)
            output.results.append(result)
        elif term:
            output.results.append(ProposalResult(token, ProposalOutcome.LOST))

    def _install(self, snapshot: Snapshot, output: DriverOutput) -> None:
        self._end_snapshot()
        self._machine.restore(snapshot.data)
        self._last_snapshot_index = snapshot.last_index
        self._report_unknown(output)

    def _report_unknown(self, output: DriverOutput) -> None:
        output.results += [
            ProposalResult(token, ProposalOutcome.UNKNOWN)
            for _, token in self._pending_proposals.values()
        ]
        self._pending_proposals = {}
