"""Builds and sends the leader's messages to a member."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_wire.messages import AppendRequest
from marjoramstep_wire.messages import SnapshotPart


if TYPE_CHECKING:
    from marjoramstep_core.ids import ReplicaId

    from .entry import Entry
    from .progress import Progress
    from .replica_state import ReplicaState


class ReplicationSender:
    """Sends batches of entries, heartbeats and snapshot parts.

    At most one batch or part per member is unacknowledged. Later entries are sent
    together in the next batch.

    :param state: state of the leader
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state

    def send_next(
        self, peer: ReplicaId, progress: Progress, round_id: int, *, heartbeat: bool
    ) -> None:
        """Send what the member needs next.

        :param peer: the member
        :param progress: its replication progress
        :param round_id: current heartbeat round
        :param heartbeat: send a message even if there are no new entries
        """
        state = self._state
        now_ms = state.clock.now_ms()
        unacknowledged = progress.sent_last_index > 0
        # A batch or part that is not acknowledged in this time is treated as lost.
        if (
            unacknowledged
            and now_ms - progress.sent_ms >= state.timing.election_min_ms / 2
        ):
            progress.sent_last_index = 0
            unacknowledged = False
        if state.log.term_at(progress.next_index - 1) is None:
            if not unacknowledged:
                self._send_part(peer, progress)
            if heartbeat:
                # Any log matches index 0; the member only acknowledges the round.
                self._send_append(peer, 0, (), round_id)
            return
        entries = () if unacknowledged else self._batch(progress.next_index)
        if entries:
            progress.sent_last_index = entries[-1].index
            progress.sent_ms = now_ms
        if entries or heartbeat:
            self._send_append(peer, progress.next_index - 1, entries, round_id)

    def _batch(self, first: int) -> tuple[Entry, ...]:
        limits = self._state.limits
        entries = self._state.log.slice(first, first + limits.batch_entries - 1)
        size = 0
        for count, entry in enumerate(entries):
            size += len(entry.payload)
            if count and size > limits.batch_bytes:
                return entries[:count]
        return entries

    def _send_append(
        self,
        peer: ReplicaId,
        previous: int,
        entries: tuple[Entry, ...],
        round_id: int,
    ) -> None:
        state = self._state
        request = AppendRequest(
            term=state.term,
            leader_id=state.replica_id,
            previous_index=previous,
            previous_term=state.log.term_at(previous) or 0,
            entries=[entry.to_wire() for entry in entries],
            commit_index=state.commit_index,
            round_id=round_id,
        )
        state.outbox.send(peer, request)

    def _send_part(self, peer: ReplicaId, progress: Progress) -> None:
        state = self._state
        if progress.snapshot is None:
            progress.end_snapshot()
            progress.snapshot = state.log.snapshot
        snapshot = progress.snapshot
        offset = progress.snapshot_offset_bytes
        end = offset + state.limits.snapshot_part_bytes
        progress.sent_last_index = snapshot.last_index
        progress.sent_ms = state.clock.now_ms()
        part = SnapshotPart(
            term=state.term,
            leader_id=state.replica_id,
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            membership=snapshot.membership.to_bytes(snapshot.time_ms),
            offset_bytes=offset,
            data=snapshot.data[offset:end],
            last=end >= len(snapshot.data),
        )
        state.outbox.send(peer, part)
