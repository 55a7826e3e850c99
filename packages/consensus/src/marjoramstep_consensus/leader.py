"""Leader side of replication, for one term."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.errors import UnavailableError
from marjoramstep_core.ids import ReplicaId

from .effects import Proposed
from .effects import Role
from .entry import Entry
from .entry import EntryKind
from .progress import Progress
from .reads import PendingReads
from .sender import ReplicationSender


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from marjoramstep_wire.messages import AppendReply
    from marjoramstep_wire.messages import SnapshotReply

    from .membership import Membership
    from .replica_state import ReplicaState


class ChangeRefusedError(UnavailableError):
    """A membership change is not valid, or cannot start now."""


class Leader:
    """Replicates entries, commits them, and changes the membership.

    A heartbeat round is one heartbeat to every other member. A reply names the round
    that it answers.

    :param state: state of the replica that has just won an election
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._sender = ReplicationSender(state)
        self._peers: dict[ReplicaId, Progress] = {}
        self._round_id = 0
        self._round_sent_ms: dict[int, float] = {}
        self._reads = PendingReads(state)
        self._next_heartbeat_ms = 0.0
        state.role = Role.LEADER
        state.leader_id = state.replica_id
        self._start_round()
        # Entries of earlier terms are committed only through an entry of this term.
        self.term_start_index = self._append(EntryKind.NOOP, (b"",))

    @property
    def peers(self) -> Mapping[ReplicaId, Progress]:
        """Return the replication progress of the other members."""
        return self._peers

    @property
    def next_heartbeat_ms(self) -> float:
        """Return the monotonic time of the next heartbeat."""
        return self._next_heartbeat_ms

    def catching_up(self) -> set[ReplicaId]:
        """Return the learners that have not caught up yet."""
        return {
            peer
            for peer in self._state.log.membership.learners
            if peer not in self._peers or not self._peers[peer].has_caught_up
        }

    def quorum_contact_ms(self) -> float:
        """Return when the newest round acknowledged by a quorum was sent.

        :return: monotonic milliseconds; this replica was the leader at that time
        """
        times = {peer: p.acked_round_sent_ms for peer, p in self._peers.items()}
        times[self._state.replica_id] = self._state.clock.now_ms()
        return self._state.log.membership.quorum_value(times)

    def tick(self) -> None:
        """Send due heartbeats, or step down if no quorum has answered in time."""
        state = self._state
        now_ms = state.clock.now_ms()
        if now_ms - self.quorum_contact_ms() >= state.timing.election_min_ms:
            self._step_down()
        elif now_ms >= self._next_heartbeat_ms:
            self._start_round()

    def propose(self, payloads: Sequence[bytes]) -> None:
        """Append payloads to the log; each yields a :class:`Proposed` effect.

        :param payloads: opaque bytes
        :raises InvalidInputError: if a payload is too long; then none is appended
        """
        limit = self._state.limits.payload_bytes
        for payload in payloads:
            if len(payload) > limit:
                raise InvalidInputError(
                    f"a proposal of {len(payload)} bytes is longer than {limit}",
                    step="propose",
                )
        last = self._append(EntryKind.NORMAL, payloads)
        for index in range(last - len(payloads) + 1, last + 1):
            self._state.outbox.emit(Proposed(index, self._state.term))

    def request_read(self, read_id: int) -> None:
        """Start to confirm leadership for a read; concurrent reads share a round.

        :param read_id: number of the read, reported back with its outcome
        """
        state = self._state
        index = max(state.commit_index, self.term_start_index)
        if self._reads.newest_round > self._confirmed_round():
            # The current round started before this read, so only the next one confirms
            # it.
            self._reads.add(read_id, self._round_id + 1, index)
            return
        self._reads.add(read_id, self._round_id + 1, index)
        self._start_round()
        self.commit_and_release_reads()

    def change_membership(self, membership: Membership) -> None:
        """Append a membership that differs from the current one by one replica.

        :param membership: the new membership
        :raises ChangeRefusedError: while another change or the first entry of the
            term is not committed, or if no voter would be left
        """
        state = self._state
        uncommitted_index = max(state.log.membership_index, self.term_start_index)
        if uncommitted_index > state.commit_index:
            raise ChangeRefusedError(
                "the previous membership change or the first entry of the term (entry"
                f" {uncommitted_index}) is not committed yet; try again",
                step="change membership",
            )
        if not membership.voters:
            raise ChangeRefusedError(
                "the last voter cannot be removed", step="change membership"
            )
        index = self._append(EntryKind.MEMBERSHIP, (membership.to_bytes(),))
        self._state.outbox.emit(Proposed(index, state.term))

    def receive_append_reply(self, reply: AppendReply) -> None:
        """Record what a member has stored.

        :param reply: the message, of this term
        """
        peer = ReplicaId(reply.follower_id)
        progress = self._peers.get(peer)
        if progress is None:
            return
        self._record_round(progress, reply.round_id)
        if reply.success:
            progress.record_match(reply.match_index)
        elif not progress.record_mismatch(reply.hint_index):
            # An immediate retry could loop for ever; the next heartbeat retries.
            return
        self.commit_and_release_reads()
        self._promote_if_caught_up(peer, progress)
        self._send_to(peer, progress)

    def receive_snapshot_reply(self, reply: SnapshotReply) -> None:
        """Record how much of the snapshot a member has stored.

        :param reply: the message, of this term
        """
        peer = ReplicaId(reply.follower_id)
        progress = self._peers.get(peer)
        snapshot = progress.snapshot if progress is not None else None
        if progress is None or snapshot is None:
            return
        size = len(snapshot.data)
        if reply.last_index != snapshot.last_index:
            return
        if not reply.accepted or not 0 <= reply.offset_bytes <= size:
            return
        progress.sent_last_index = 0
        progress.snapshot_offset_bytes = reply.offset_bytes
        if reply.offset_bytes == size:
            progress.record_match(reply.last_index)
        self._send_to(peer, progress)

    def commit_and_release_reads(self) -> None:
        """Commit what a quorum has stored, and report the reads that are ready.

        Also starts the next heartbeat round if a read waits for it, and steps down once
        the removal of this replica is committed.
        """
        state = self._state
        matches: dict[ReplicaId, float] = {
            peer: progress.match_index for peer, progress in self._peers.items()
        }
        matches[state.replica_id] = state.outbox.synced_index
        index = state.log.membership.quorum_value(matches)
        if index > state.commit_index and self._may_commit(int(index)):
            state.advance_commit(int(index))
        else:
            # Entries committed earlier may have become durable on this replica.
            state.advance_commit(state.commit_index)
        confirmed = self._confirmed_round()
        self._reads.release(confirmed)
        if self._reads.newest_round > self._round_id <= confirmed:
            self._start_round()
        if self._is_removed():
            self._step_down()

    def fail_pending_reads(self) -> None:
        """Report the pending reads as failed when this replica is no longer leader."""
        self._reads.fail()

    def _may_commit(self, index: int) -> bool:
        """Return whether an index may be committed by counting replicas.

        A later leader can still overwrite an entry of an earlier term that a majority
        has stored, so only entries of the current term are committed this way.
        """
        return self._state.log.term_at(index) == self._state.term

    def _is_removed(self) -> bool:
        log = self._state.log
        committed = log.membership_index <= self._state.commit_index
        return committed and self._state.replica_id not in log.membership.voters

    def _append(self, kind: EntryKind, payloads: Sequence[bytes]) -> int:
        state = self._state
        log = state.log
        # Log time never decreases, even if the wall clock of a new leader is behind.
        time_ms = max(state.clock.wall_ms(), log.last_time_ms)
        first = log.last_index + 1
        entries = [
            Entry(first + offset, state.term, kind, time_ms, payload)
            for offset, payload in enumerate(payloads)
        ]
        log.append(entries)
        if entries:
            state.outbox.mark_entries_changed(first)
        self._update_peers()
        for peer, progress in self._peers.items():
            self._send_to(peer, progress)
        return log.last_index

    def _update_peers(self) -> None:
        state = self._state
        members = state.log.membership.members
        for removed in set(self._peers) - set(members):
            del self._peers[removed]
        for peer in members:
            if peer != state.replica_id and peer not in self._peers:
                now_ms = state.clock.now_ms()
                self._peers[peer] = Progress(state.log.last_index, now_ms)

    def _send_to(self, peer: ReplicaId, progress: Progress) -> None:
        if self._state.role is Role.LEADER:
            self._sender.send_next(peer, progress, self._round_id, heartbeat=False)

    def _start_round(self) -> None:
        state = self._state
        now_ms = state.clock.now_ms()
        self._round_id += 1
        self._round_sent_ms[self._round_id] = now_ms
        # Contact proven by an older round is too old to prevent stepping down.
        oldest_ms = now_ms - 2 * state.timing.election_max_ms
        for round_id in list(self._round_sent_ms):
            if self._round_sent_ms[round_id] >= oldest_ms:
                break
            del self._round_sent_ms[round_id]
        self._next_heartbeat_ms = now_ms + state.timing.heartbeat_ms
        for peer, progress in self._peers.items():
            if self._is_heartbeat_due(peer, progress, now_ms):
                progress.heartbeat_sent_ms = now_ms
                self._sender.send_next(peer, progress, self._round_id, heartbeat=True)

    def _is_heartbeat_due(
        self, peer: ReplicaId, progress: Progress, now_ms: float
    ) -> bool:
        """Return whether a member gets a heartbeat in this round.

        A learner that holds the log neither confirms reads nor commits entries, so it
        only has to notice in time that it was removed.
        """
        if not progress.has_caught_up or peer in self._state.log.membership.voters:
            return True
        elapsed_ms = now_ms - progress.heartbeat_sent_ms
        return elapsed_ms >= self._state.timing.learner_heartbeat_ms

    def _record_round(self, progress: Progress, round_id: int) -> None:
        progress.acked_round = max(progress.acked_round, round_id)
        sent_ms = self._round_sent_ms.get(round_id)
        if sent_ms is not None:
            progress.acked_round_sent_ms = max(progress.acked_round_sent_ms, sent_ms)

    def _confirmed_round(self) -> float:
        rounds: dict[ReplicaId, float] = {
            peer: progress.acked_round for peer, progress in self._peers.items()
        }
        rounds[self._state.replica_id] = self._round_id
        return self._state.log.membership.quorum_value(rounds)

    def _promote_if_caught_up(self, peer: ReplicaId, progress: Progress) -> None:
        """Promote a learner that has caught up if too few voters answer."""
        state = self._state
        membership = state.log.membership
        if state.role is not Role.LEADER or peer not in membership.learners:
            return
        progress.has_caught_up = self._has_caught_up(progress)
        uncommitted_index = max(state.log.membership_index, self.term_start_index)
        if (
            progress.has_caught_up
            and uncommitted_index <= state.commit_index
            and self._count_answering_voters() < state.limits.target_voters
        ):
            self.change_membership(membership.with_promoted(peer))

    def _has_caught_up(self, progress: Progress) -> bool:
        """Return whether a learner holds the log or completes a fast catch-up round.

        A catch-up round ends when the learner has stored all entries that the log had
        at the start of the round. If the round takes an election time-out or longer,
        the learner is so far behind that it would delay commits, so another follows.
        """
        state = self._state
        now_ms = state.clock.now_ms()
        if progress.match_index >= state.log.last_index:
            progress.catch_up_target = 0
            return True
        has_caught_up = progress.has_caught_up
        if progress.match_index >= progress.catch_up_target > 0:
            catch_up_duration_ms = now_ms - progress.catch_up_start_ms
            has_caught_up = catch_up_duration_ms < state.timing.election_min_ms
        elif progress.catch_up_target:
            return has_caught_up
        progress.catch_up_target = state.log.last_index
        progress.catch_up_start_ms = now_ms
        return has_caught_up

    def _count_answering_voters(self) -> int:
        """Count the voters that answer and whose address no other member has.

        A replica whose data folder was emptied has a new id at the same address, so
        that its old id does not answer again.
        """
        state = self._state
        membership = state.log.membership
        oldest_ms = state.clock.now_ms() - state.timing.lost_voter_ms
        replaced = set(membership.learners.values())
        count = 0
        for voter, address in membership.voters.items():
            progress = self._peers.get(voter)
            answers = progress is None or progress.acked_round_sent_ms >= oldest_ms
            count += answers and address not in replaced
        return count

    def _step_down(self) -> None:
        state = self._state
        state.become_follower(state.term, None)
        state.restart_election_timer()
