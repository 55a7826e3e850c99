"""Sans-I/O core of the replicated log: uses no sockets, files or event loop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.errors import UnavailableError
from marjoramstep_core.ids import ReplicaId
from marjoramstep_wire.messages import AppendReply
from marjoramstep_wire.messages import AppendRequest
from marjoramstep_wire.messages import JoinReply
from marjoramstep_wire.messages import JoinRequest
from marjoramstep_wire.messages import SnapshotPart
from marjoramstep_wire.messages import SnapshotReply
from marjoramstep_wire.messages import VoteReply
from marjoramstep_wire.messages import VoteRequest

from .effects import Role
from .election import Election
from .entry import Snapshot
from .follower import Follower
from .leader import ChangeRefusedError
from .leader import Leader
from .replica_state import Limits
from .replica_state import ReplicaState
from .replica_state import StoredState
from .replica_state import Timing


if TYPE_CHECKING:
    from random import Random

    from marjoramstep_core.clock import Clock
    from marjoramstep_wire.messages import Message

    from .effects import Effect
    from .membership import Membership

_SENDER_FIELDS = {
    VoteRequest: "candidate_id",
    VoteReply: "voter_id",
    AppendRequest: "leader_id",
    AppendReply: "follower_id",
    SnapshotPart: "leader_id",
    SnapshotReply: "follower_id",
    JoinRequest: "replica_id",
}


class NotLeaderError(UnavailableError):
    """The operation requires the leader.

    :param leader_id: the leader, if known
    """

    def __init__(self, step: str, leader_id: ReplicaId | None) -> None:
        super().__init__(
            f"this replica is not the leader; the leader is {leader_id or 'unknown'}",
            step=step,
        )
        self.leader_id = leader_id


class ReplicaCore:
    """One replica of a replicated log.

    The protocol is Raft with pre-vote, learners and membership changes by one replica
    at a time.

    Every input returns effects, which must be executed in order. ``Persist`` is the
    only one whose completion is reported back: once it is durable, call
    :meth:`on_synced`. Messages that acknowledge durable state are sent only then.
    Time-outs use monotonic time; the wall clock is used only for the log time of
    entries. A replica acts only on its inputs, so :meth:`tick` must be called at
    :meth:`next_wakeup_ms` or earlier.

    After a restart the caller restores the state machine from ``stored.snapshot`` (if
    its index is not 0); later entries are applied again through ``Apply``. Those that
    are known to be committed are in the effects of the first :meth:`tick`.

    The caller must pass on only messages whose sender id was authenticated by the
    handshake, and only those addressed to this replica's id.

    :param replica_id: id of this replica, from the data folder
    :param stored: state from the data folder
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
        timing: Timing | None = None,
        limits: Limits | None = None,
    ) -> None:
        self._state = ReplicaState(
            replica_id, stored, clock, rng, timing or Timing(), limits or Limits()
        )
        self._election = Election(self._state)
        self._follower = Follower(self._state)
        self._leader: Leader | None = None
        self._read_count = 0
        self._pending_joins: dict[ReplicaId, str] = {}

    @property
    def replica_id(self) -> ReplicaId:
        """Return the id of this replica."""
        return self._state.replica_id

    @property
    def role(self) -> Role:
        """Return the role in the current term."""
        return self._state.role

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._state.term

    @property
    def leader_id(self) -> ReplicaId | None:
        """Return the leader of the term, if known."""
        return self._state.leader_id

    @property
    def leader_address(self) -> str:
        """Return the peer address of the known leader, or an empty string."""
        members = self.membership.members
        leader_id = self._state.leader_id
        return members.get(leader_id, "") if leader_id else ""

    @property
    def membership(self) -> Membership:
        """Return the latest membership in the log, committed or not."""
        return self._state.log.membership

    @property
    def commit_index(self) -> int:
        """Return the highest index known to be committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """Return the highest index covered by ``Apply`` or ``InstallSnapshot``."""
        return self._state.applied_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, durable or not."""
        return self._state.log.last_index

    @property
    def pending_joins(self) -> dict[ReplicaId, str]:
        """Return the ids and addresses of replicas that have asked to join.

        An entry does not expire; it is removed when the replica is admitted.
        """
        return dict(self._pending_joins)

    def match_indexes(self) -> dict[ReplicaId, int]:
        """Return the highest index known to be durable on each member.

        :return: indexes by replica id; empty unless this replica is the leader
        """
        if self._leader is None:
            return {}
        known = {peer: p.match_index for peer, p in self._leader.peers.items()}
        return {self.replica_id: self._state.outbox.synced_index, **known}

    def catching_up(self) -> set[ReplicaId]:
        """Return the learners that have not caught up yet.

        :return: ids; empty unless this replica is the leader
        """
        return self._leader.catching_up() if self._leader else set()

    def quorum_contact_ms(self) -> float | None:
        """Return when a quorum is last known to have accepted this leader.

        :return: monotonic milliseconds, or None unless this replica is the leader
        """
        return self._leader.quorum_contact_ms() if self._leader else None

    def next_wakeup_ms(self) -> float:
        """Return when :meth:`tick` has to be called next.

        :return: monotonic milliseconds
        """
        if self._leader is not None:
            return self._leader.next_heartbeat_ms
        return self._state.election_deadline_ms

    def tick(self) -> list[Effect]:
        """Handle time-outs that have expired.

        :return: effects in order
        """
        if self._leader is not None:
            self._leader.tick()
        else:
            self._election.tick()
        return self._finish()

    def receive(self, sender: ReplicaId, message: Message) -> list[Effect]:
        """Handle a message from another replica.

        :param sender: peer id authenticated by the handshake
        :param message: one of the replication messages
        :return: effects in order
        :raises ProtocolError: if the message is malformed or contains another sender id
        """
        name = _SENDER_FIELDS.get(type(message))
        if name is None or getattr(message, name) != sender:
            raise ProtocolError(
                f"{type(message).__name__} is not a replication message or names"
                " another sender",
                step="receive replication message",
                peer=sender,
            )
        if isinstance(message, VoteRequest):
            self._election.receive_request(message)
        elif isinstance(message, VoteReply):
            self._election.receive_reply(message)
        elif isinstance(message, AppendRequest | SnapshotPart):
            self._receive_from_leader(message)
        elif isinstance(message, JoinRequest):
            self._receive_join(message)
        else:
            self._receive_reply(message)
        return self._finish()

    def on_synced(self, write_number: int) -> list[Effect]:
        """Handle the completion of a durable write.

        :param write_number: sequence number of the ``Persist`` effect
        :return: effects in order
        """
        self._state.outbox.on_synced(write_number)
        if self._leader is not None:
            self._leader.commit_and_release_reads()
        else:
            # Entries committed earlier may have become durable on this replica.
            self._state.advance_commit(self._state.commit_index)
        return self._finish()

    def propose(self, *payloads: bytes) -> list[Effect]:
        """Append payloads to the log; see ``Proposed`` for their outcome.

        :param payloads: opaque bytes
        :return: effects in order, one ``Proposed`` for each payload
        :raises NotLeaderError: if this replica is not the leader
        :raises InvalidInputError: if a payload is too long; then none is appended
        """
        self._require_leader("propose").propose(payloads)
        return self._finish()

    def request_read(self) -> tuple[int, list[Effect]]:
        """Start to confirm that this replica is still leader, for a linearizable read.

        :return: number of the read in ``ReadReady`` or ``ReadFailed``, and effects
        :raises NotLeaderError: if this replica is not the leader
        """
        leader = self._require_leader("read")
        self._read_count += 1
        leader.request_read(self._read_count)
        return self._read_count, self._finish()

    def admit(self, replica_id: ReplicaId, address: str) -> list[Effect]:
        """Add a replica as a learner, which becomes a voter when too few answer.

        :param replica_id: id of the new replica
        :param address: its peer address ``ip:port``
        :return: effects in order
        :raises NotLeaderError: if this replica is not the leader
        :raises ChangeRefusedError: if it is already a member, or another change is in
            progress
        """
        leader = self._require_leader("admit")
        if replica_id in self.membership.members:
            raise ChangeRefusedError(f"{replica_id} is already a member", step="admit")
        catching_up = leader.catching_up()
        if catching_up:
            raise ChangeRefusedError(
                f"{', '.join(sorted(catching_up))} must catch up or be removed first",
                step="admit",
            )
        leader.change_membership(self.membership.with_learner(replica_id, address))
        self._pending_joins.pop(replica_id, None)
        return self._finish()

    def remove(self, replica_id: ReplicaId) -> list[Effect]:
        """Remove a member; a leader that removes itself leads until that is committed.

        :param replica_id: id of the member
        :return: effects in order
        :raises NotLeaderError: if this replica is not the leader
        :raises ChangeRefusedError: if it is not a member, is the last voter, or
            another change is in progress
        """
        leader = self._require_leader("remove")
        if replica_id not in self.membership.members:
            raise ChangeRefusedError(f"{replica_id} is not a member", step="remove")
        leader.change_membership(self.membership.without(replica_id))
        return self._finish()

    def store_snapshot(self, data: bytes, index: int | None = None) -> list[Effect]:
        """Store a snapshot of the state machine and compact the log up to it.

        :param data: state after an applied entry
        :param index: index of that entry, :attr:`applied_index` by default
        :return: effects in order; none if the index is not above that of the stored
            snapshot or its entry is not in memory
        """
        state = self._state
        index = state.applied_index if index is None else index
        term = state.log.term_at(index)
        if term is None or index <= state.log.snapshot.last_index:
            return []
        time_ms = state.log.slice(index, index)[0].time_ms
        membership = state.log.membership_at(index)
        snapshot = Snapshot(index, term, time_ms, membership, data)
        state.log.compact(snapshot, state.limits.kept_entries)
        state.outbox.queue_snapshot(snapshot, reset_log=False)
        return self._finish()

    def _require_leader(self, step: str) -> Leader:
        if self._leader is None:
            raise NotLeaderError(step, self._state.leader_id)
        return self._leader

    def _receive_from_leader(self, message: AppendRequest | SnapshotPart) -> None:
        if message.term == self.term and self.role is Role.LEADER:
            raise ProtocolError(
                f"another replica also claims to lead term {message.term}",
                step="receive replication message",
                peer=message.leader_id,
            )
        if isinstance(message, AppendRequest):
            self._follower.receive_append(message)
        else:
            self._follower.receive_snapshot(message)

    def _receive_reply(self, reply: AppendReply | SnapshotReply) -> None:
        if reply.term > self.term:
            self._state.become_follower(reply.term, None)
        elif reply.term == self.term and self._leader is not None:
            if isinstance(reply, AppendReply):
                self._leader.receive_append_reply(reply)
            else:
                self._leader.receive_snapshot_reply(reply)

    def _receive_join(self, request: JoinRequest) -> None:
        replica_id = ReplicaId(request.replica_id)
        is_member = replica_id in self.membership.members
        is_leader = self._leader is not None
        if is_leader and not is_member:
            self._pending_joins[replica_id] = request.address
        reply = JoinReply(
            replica_id=request.replica_id,
            accepted=is_leader and is_member,
            detail="" if is_member else "not admitted yet",
            leader_address=self.leader_address,
        )
        self._state.outbox.send(replica_id, reply)

    def _finish(self) -> list[Effect]:
        if self._leader is not None and self.role is not Role.LEADER:
            self._leader.fail_pending_reads()
            self._leader = None
        if self._election.has_won():
            self._leader = Leader(self._state)
            self._leader.commit_and_release_reads()
        return self._state.flush()
