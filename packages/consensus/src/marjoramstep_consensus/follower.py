"""Follower side of replication: handles entries and snapshots from the leader."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.ids import ReplicaId
from marjoramstep_wire.messages import AppendReply
from marjoramstep_wire.messages import AppendRequest
from marjoramstep_wire.messages import SnapshotPart
from marjoramstep_wire.messages import SnapshotReply

from .effects import InstallSnapshot
from .entry import Entry
from .entry import Snapshot
from .membership import Membership
from .replica_log import LogConflictError


if TYPE_CHECKING:
    from .replica_state import ReplicaState


@dataclass
class _PartialSnapshot:
    """Snapshot parts received so far from one leader in one term.

    :param key: term of the leader, last index and last term of the snapshot
    :param data: data of the parts
    """

    key: tuple[int, int, int]
    data: bytearray = field(default_factory=bytearray)


class Follower:
    """Stores the leader's entries and snapshots.

    A reply that acknowledges data is sent only after the data is durable.

    :param state: state of the replica
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._partial_snapshot: _PartialSnapshot | None = None

    def receive_append(self, request: AppendRequest) -> None:
        """Append the leader's entries if the previous entry matches.

        :param request: the message
        :raises ProtocolError: if the entries are malformed
        :raises LogConflictError: if they conflict with a committed entry
        """
        state = self._state
        if not self._accept_leader(request.term, request.leader_id):
            self._reply_append(request, success=False, match=0, hint=0)
            return
        entries = self._decode(request)
        previous = request.previous_index
        if previous > state.log.last_index or self._conflicts(
            previous, request.previous_term
        ):
            hint = state.log.conflict_hint(previous)
            self._reply_append(request, success=False, match=0, hint=hint)
            return
        self._merge(entries)
        match = previous + len(entries)
        state.advance_commit(min(request.commit_index, match))
        outbox = state.outbox
        if not entries and outbox.synced_term == state.term:
            # Heartbeats are answered even during a slow write; otherwise the leader
            # would lose its quorum and step down. The reply acknowledges only what
            # is already durable.
            durable = min(match, outbox.synced_index)
            reply = self._append_reply(request, success=True, match=durable, hint=0)
            outbox.send(ReplicaId(request.leader_id), reply)
            return
        self._reply_append(request, success=True, match=match, hint=match)

    def receive_snapshot(self, part: SnapshotPart) -> None:
        """Store a snapshot part, and install the snapshot once it is complete.

        If this replica has already committed the entries that the snapshot covers, it
        answers with an ``AppendReply``, so that the leader goes on with later entries.

        :param part: the message
        :raises ProtocolError: if the membership in the snapshot is malformed
        """
        state = self._state
        if not self._accept_leader(part.term, part.leader_id):
            self._reply_snapshot(part, offset=0, accepted=False)
            return
        next_offset = part.offset_bytes + len(part.data)
        if state.log.term_at(part.last_index) == part.last_term:
            state.advance_commit(part.last_index)
        if part.last_index <= state.commit_index:
            self._partial_snapshot = None
            state.outbox.send_when_durable(
                ReplicaId(part.leader_id),
                AppendReply(
                    term=state.term,
                    follower_id=state.replica_id,
                    success=True,
                    match_index=part.last_index,
                    hint_index=part.last_index,
                    # Rounds start at 1, so that 0 acknowledges none.
                    round_id=0,
                ),
            )
            return
        key = (part.term, part.last_index, part.last_term)
        if self._partial_snapshot is None or self._partial_snapshot.key != key:
            self._partial_snapshot = _PartialSnapshot(key)
        data = self._partial_snapshot.data
        if part.offset_bytes == len(data):
            data += part.data
            if part.last:
                self._install(part, bytes(data))
        else:
            next_offset = len(data)
        self._reply_snapshot(part, offset=next_offset, accepted=True)

    def _accept_leader(self, term: int, leader_id: str) -> bool:
        state = self._state
        if term < state.term:
            return False
        state.become_follower(term, ReplicaId(leader_id))
        state.last_leader_contact_ms = state.clock.now_ms()
        state.restart_election_timer()
        return True

    def _conflicts(self, index: int, term: int) -> bool:
        """Return whether the entry at an index has another term in this log.

        Entries that are no longer in memory are committed, so they match.
        """
        own = self._state.log.term_at(index)
        return own is not None and own != term

    def _decode(self, request: AppendRequest) -> list[Entry]:
        entries = [Entry.from_wire(e, request.leader_id) for e in request.entries]
        first = request.previous_index + 1
        if [e.index for e in entries] != list(range(first, first + len(entries))):
            raise ProtocolError(
                f"entries do not follow index {request.previous_index} without a gap",
                step="receive entries",
                peer=request.leader_id,
            )
        return entries

    def _merge(self, entries: list[Entry]) -> None:
        state = self._state
        log = state.log
        for position, entry in enumerate(entries):
            known = entry.index <= log.last_index
            if known and not self._conflicts(entry.index, entry.term):
                continue
            if known:
                if entry.index <= state.commit_index:
                    raise LogConflictError(
                        f"entry {entry.index} from the leader has another term than the"
                        " committed one",
                        step="receive entries",
                        peer=str(state.leader_id),
                    )
                log.truncate_from(entry.index)
            log.append(entries[position:])
            state.outbox.mark_entries_changed(entry.index)
            return

    def _install(self, part: SnapshotPart, data: bytes) -> None:
        state = self._state
        self._partial_snapshot = None
        membership, time_ms = Membership.from_bytes(part.membership, part.leader_id)
        snapshot = Snapshot(part.last_index, part.last_term, time_ms, membership, data)
        state.log.reset(snapshot)
        state.outbox.queue_snapshot(snapshot, reset_log=True)
        state.commit_index = state.applied_index = snapshot.last_index
        state.outbox.emit(InstallSnapshot(snapshot))

    def _reply_append(
        self, request: AppendRequest, *, success: bool, match: int, hint: int
    ) -> None:
        reply = self._append_reply(request, success=success, match=match, hint=hint)
        self._state.outbox.send_when_durable(ReplicaId(request.leader_id), reply)

    def _append_reply(
        self, request: AppendRequest, *, success: bool, match: int, hint: int
    ) -> AppendReply:
        """Build a reply.

        :param request: the message to answer
        :param success: whether the previous entry matches
        :param match: index up to which the entries are acknowledged
        :param hint: previous index that the leader tries next after a mismatch; ignored
            on success
        :return: the reply
        """
        return AppendReply(
            term=self._state.term,
            follower_id=self._state.replica_id,
            success=success,
            match_index=match,
            hint_index=hint,
            round_id=request.round_id,
        )

    def _reply_snapshot(
        self, part: SnapshotPart, *, offset: int, accepted: bool
    ) -> None:
        state = self._state
        reply = SnapshotReply(
            term=state.term,
            follower_id=state.replica_id,
            last_index=part.last_index,
            offset_bytes=offset,
            accepted=accepted,
        )
        state.outbox.send_when_durable(ReplicaId(part.leader_id), reply)
