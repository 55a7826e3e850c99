"""Linearizable reads that wait until a quorum has confirmed the leader."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .effects import ReadFailed
from .effects import ReadReady


if TYPE_CHECKING:
    from .replica_state import ReplicaState


@dataclass(frozen=True)
class _Read:
    read_id: int
    round_id: int
    index: int


class PendingReads:
    """Pending reads of one leader term, in the order of their requests.

    :param state: state of the leader
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._reads: list[_Read] = []

    @property
    def newest_round(self) -> int:
        """Return the newest round that a read waits for, or 0."""
        return self._reads[-1].round_id if self._reads else 0

    def add(self, read_id: int, round_id: int, index: int) -> None:
        """Add a read.

        :param read_id: number of the read
        :param round_id: heartbeat round that must be confirmed; it must not have
            started before the read was requested
        :param index: index that must be applied
        """
        self._reads.append(_Read(read_id, round_id, index))

    def release(self, confirmed_round: float) -> None:
        """Report the reads that are ready.

        :param confirmed_round: newest round that a quorum has acknowledged
        """
        applied = self._state.applied_index
        waiting = []
        for read in self._reads:
            if read.round_id <= confirmed_round and read.index <= applied:
                self._state.outbox.emit(ReadReady(read.read_id))
            else:
                waiting.append(read)
        self._reads = waiting

    def fail(self) -> None:
        """Report all pending reads as failed."""
        for read in self._reads:
            self._state.outbox.emit(ReadFailed(read.read_id))
        self._reads = []
