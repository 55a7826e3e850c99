"""State shared by the parts of the replication core."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .effects import Apply
from .effects import Role
from .effects import RoleChanged
from .outbox import Outbox
from .replica_log import EMPTY_SNAPSHOT
from .replica_log import ReplicaLog
from .voter_policy import TARGET_VOTERS


if TYPE_CHECKING:
    from random import Random

    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import ReplicaId

    from .effects import Effect
    from .entry import Entry
    from .entry import Snapshot


@dataclass(frozen=True)
class Timing:
    """Time-outs in milliseconds of monotonic time.

    The heartbeat interval is well below the election time-out, so that a few lost
    messages do not trigger an election.

    :param heartbeat_ms: interval of the heartbeats to voters and to learners that are
        catching up
    :param learner_heartbeat_ms: interval of the heartbeats to the other learners
    :param election_min_ms: shortest election time-out
    :param election_max_ms: longest election time-out
    :param start_election_min_ms: shortest time-out after a start, until this replica
        hears a leader or votes
    :param start_election_max_ms: longest time-out after a start
    :param lost_voter_ms: silence after which a learner takes the place of a voter
    :param commit_write_delay_ms: time after which a commit index is written that no
        other write contained
    """

    heartbeat_ms: float = 100.0
    learner_heartbeat_ms: float = 1_000.0
    election_min_ms: float = 500.0
    election_max_ms: float = 1_000.0
    # After a restart of all VMs there is no leader to wait for. If there is one, the
    # other voters refuse the pre-vote.
    start_election_min_ms: float = 100.0
    start_election_max_ms: float = 400.0
    lost_voter_ms: float = 4_000.0
    commit_write_delay_ms: float = 200.0


@dataclass(frozen=True)
class Limits:
    """Limits of voters, and of messages, whose frames have at most 2 MiB.

    :param batch_entries: maximum number of entries in one message
    :param batch_bytes: maximum payload bytes in one message with several entries
    :param snapshot_part_bytes: maximum snapshot bytes in one message
    :param payload_bytes: maximum bytes of one proposal
    :param kept_entries: number of entries covered by the snapshot that stay in memory
        for followers that are slightly behind
    :param target_voters: learners become voters while fewer voters than this answer
    """

    batch_entries: int = 1_024
    batch_bytes: int = 256 * 1024
    snapshot_part_bytes: int = 256 * 1024
    payload_bytes: int = 1024 * 1024
    kept_entries: int = 4_096
    target_voters: int = TARGET_VOTERS


@dataclass(frozen=True)
class StoredState:
    """Durable state that a replica loads from its data folder.

    :param term: latest term
    :param voted_for: candidate voted for in that term, if any
    :param snapshot: latest snapshot
    :param entries: entries directly after the snapshot
    :param commit_index: highest index known to be committed; the replica applies
        entries up to it before it finds a leader
    """

    term: int = 0
    voted_for: ReplicaId | None = None
    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: tuple[Entry, ...] = field(default=())
    commit_index: int = 0


class ReplicaState:
    """Term, vote, log and role of one replica.

    :param replica_id: id of this replica
    :param stored: state loaded from the data folder
    :param clock: time source
    :param rng: random generator for election time-outs
    :param timing: time-outs
    :param limits: size limits
    """

    def __init__(
        self,
        replica_id: ReplicaId,
        stored: StoredState,
        clock: Clock,
        rng: Random,
        timing: Timing,
        limits: Limits,
    ) -> None:
        self.replica_id = replica_id
        self.clock = clock
        self.rng = rng
        self.timing = timing
        self.limits = limits
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.log = ReplicaLog(stored.snapshot, stored.entries)
        self.outbox = Outbox(stored.term, self.log.last_index, stored.commit_index)
        self.role = Role.FOLLOWER
        self.leader_id: ReplicaId | None = None
        self.commit_index = stored.snapshot.last_index
        self.applied_index = stored.snapshot.last_index
        self.last_leader_contact_ms: float | None = None
        self.election_deadline_ms = 0.0
        self._is_starting = True
        self._reported_role = RoleChanged(self.role, self.term, None)
        self.reset_election_deadline()
        self._commit_advanced_ms = clock.now_ms()
        self.advance_commit(min(stored.commit_index, self.log.last_index))

    def reset_election_deadline(self) -> None:
        """Restart the election timer with a new random time-out."""
        timing = self.timing
        lowest_ms, highest_ms = timing.election_min_ms, timing.election_max_ms
        if self._is_starting:
            lowest_ms = timing.start_election_min_ms
            highest_ms = timing.start_election_max_ms
        wait_ms = self.rng.uniform(lowest_ms, highest_ms)
        self.election_deadline_ms = self.clock.now_ms() + wait_ms

    def restart_election_timer(self) -> None:
        """Wait a full election time-out, because a leader or a candidate is active."""
        self._is_starting = False
        self.reset_election_deadline()

    def become_follower(self, term: int, leader_id: ReplicaId | None) -> None:
        """Become a follower in a term; also used to enter a new term.

        :param term: current term, or a higher one, which clears the vote
        :param leader_id: leader of the term, if known
        """
        if term > self.term:
            self.term = term
            self.voted_for = None
            self.outbox.mark_term_or_vote_changed()
        self.role = Role.FOLLOWER
        self.leader_id = leader_id

    def has_recent_leader(self) -> bool:
        """Return whether the leader was heard within the minimum election time-out."""
        if self.role is Role.LEADER:
            return True
        contact_ms = self.last_leader_contact_ms
        now_ms = self.clock.now_ms()
        return (
            contact_ms is not None and now_ms - contact_ms < self.timing.election_min_ms
        )

    def has_heard_leader_as_learner(self) -> bool:
        """Return whether the leader was heard within two heartbeats to learners."""
        contact_ms = self.last_leader_contact_ms
        limit_ms = 2 * self.timing.learner_heartbeat_ms + self.timing.election_max_ms
        return contact_ms is not None and self.clock.now_ms() - contact_ms < limit_ms

    def advance_commit(self, index: int) -> None:
        """Advance the commit index and apply entries that are committed and durable.

        :param index: index known to be committed; a lower one has no effect
        """
        if index > self.commit_index:
            self.commit_index = index
            self._commit_advanced_ms = self.clock.now_ms()
        last = min(self.commit_index, self.outbox.synced_index)
        if last > self.applied_index:
            entries = self.log.slice(self.applied_index + 1, last)
            self.applied_index = last
            self.outbox.emit(Apply(entries))

    def flush(self) -> list[Effect]:
        """Return the effects collected since the last call.

        :return: effects in order
        """
        current = RoleChanged(self.role, self.term, self.leader_id)
        if current != self._reported_role:
            self._reported_role = current
            self.outbox.emit(current)
        return self.outbox.flush(
            self.term,
            self.voted_for,
            self.log,
            self.commit_index,
            is_commit_due=self._is_commit_write_due(),
        )

    def _is_commit_write_due(self) -> bool:
        # Without the index in the data folder, a restarted replica cannot serve the
        # last change before it finds a leader.
        if self.commit_index <= self.outbox.written_commit_index:
            return False
        waited_ms = self.clock.now_ms() - self._commit_advanced_ms
        return waited_ms >= self.timing.commit_write_delay_ms
