"""Tracks when a replica last had contact with a quorum."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from marjoramstep_wire.messages import AppendReply
from marjoramstep_wire.messages import AppendRequest
from marjoramstep_wire.messages import SnapshotReply


if TYPE_CHECKING:
    from marjoramstep_consensus.replica_core import ReplicaCore
    from marjoramstep_consensus.replica_state import Timing
    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import ReplicaId
    from marjoramstep_wire.messages import Message


class QuorumContact:
    """Records when the other replicas last answered.

    Role and match indexes can be out of date, e.g. after the process was suspended.

    :param core: the replica's core
    :param clock: clock of the process
    :param timing: time-outs of the core
    """

    def __init__(self, core: ReplicaCore, clock: Clock, timing: Timing) -> None:
        self._core = core
        self._clock = clock
        self._timing = timing
        self._replied_at_ms: dict[ReplicaId, float] = {}
        self._role_since_ms = clock.now_ms()
        self._leader_contact_ms = float("-inf")
        self._last_index_at_role_change = 0
        self._commit_history: deque[tuple[float, int]] = deque()

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and a quorum has answered it recently.

        A process that was suspended keeps the role until its next time-out.
        """
        contact_ms = self._core.quorum_contact_ms()
        if contact_ms is None:
            return False
        return self._clock.now_ms() - contact_ms < self._timing.election_min_ms

    @property
    def leader_address(self) -> str:
        """Peer address of the leader, empty when it is not known."""
        if self._core.leader_id == self._core.replica_id and not self.is_leader:
            return ""
        return self._core.leader_address

    def reachable_members(self) -> set[ReplicaId]:
        """Return the members that answered within the longest election time-out.

        :return: ids, including that of this replica
        """
        oldest_ms = self._clock.now_ms() - self._timing.election_max_ms
        replied = {
            peer for peer, at_ms in self._replied_at_ms.items() if at_ms >= oldest_ms
        }
        return {self._core.replica_id, *replied}

    def since_heard_ms(self) -> dict[ReplicaId, float]:
        """Return the time since the last reply of each other member.

        Only meaningful at the leader. For a new leader, the time starts with its
        leadership.

        :return: milliseconds by id
        """
        now_ms = self._clock.now_ms()
        return {
            peer: now_ms - max(self._replied_at_ms.get(peer, 0.0), self._role_since_ms)
            for peer in self._core.membership.members
            if peer != self._core.replica_id
        }

    def required_index(self) -> int:
        """Return the index up to which a member must hold the log to count as synced.

        Under load each member is always some entries behind the commit index, so this
        is the commit index at the shortest election time-out ago.

        :return: a commit index reached since this replica began to lead, or the current
            one if there is none that old
        """
        before_ms = self._clock.now_ms() - self._timing.election_min_ms
        while len(self._commit_history) > 1 and self._commit_history[1][0] <= before_ms:
            self._commit_history.popleft()
        if self._commit_history and self._commit_history[0][0] <= before_ms:
            return self._commit_history[0][1]
        return self._core.commit_index

    def confirmed_age_ms(self) -> float:
        """Return a bound on the time since the state here was known to be the newest.

        A follower may have heard from a leader that had just lost its quorum. Such a
        leader steps down within the longest election time-out, which is therefore
        added.

        :return: milliseconds; negative if not known, because there was no contact yet
            or this leader has not applied the entries of earlier leaders
        """
        now_ms = self._clock.now_ms()
        contact_ms = self._core.quorum_contact_ms()
        if contact_ms is not None:
            if self._core.applied_index < self._last_index_at_role_change:
                # Entries of an earlier leader, not applied yet, may hold a newer table.
                return -1.0
            return max(now_ms - contact_ms, 0.0) if contact_ms > 0 else -1.0
        if self._leader_contact_ms < 0:
            return -1.0
        return now_ms - self._leader_contact_ms + self._timing.election_max_ms

    def on_received(self, sender: ReplicaId, message: Message) -> None:
        """Record the contact after the core has processed a message.

        :param sender: id of the other replica
        :param message: the message
        """
        if isinstance(message, AppendReply | SnapshotReply):
            self._replied_at_ms[sender] = self._clock.now_ms()
            self._record_commit_index()
        elif (
            isinstance(message, AppendRequest)
            and message.term == self._core.term
            and message.commit_index <= self._core.applied_index
        ):
            # A replica that lags behind the commit index may have an old table.
            self._leader_contact_ms = self._clock.now_ms()

    def on_role_change(self) -> None:
        """Reset the contact after a change of role or term."""
        self._replied_at_ms.clear()
        self._role_since_ms = self._clock.now_ms()
        self._commit_history.clear()
        self._last_index_at_role_change = self._core.last_index

    def _record_commit_index(self) -> None:
        now_ms = self._clock.now_ms()
        if (
            self._commit_history
            and now_ms - self._commit_history[-1][0] < self._timing.heartbeat_ms
        ):
            return
        self._commit_history.append((now_ms, self._core.commit_index))
        oldest_ms = now_ms - 2 * self._timing.election_max_ms
        while self._commit_history[0][0] < oldest_ms:
            self._commit_history.popleft()
