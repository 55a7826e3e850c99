"""Leader election with a pre-vote phase."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.ids import ReplicaId
from marjoramstep_wire.messages import VoteReply
from marjoramstep_wire.messages import VoteRequest

from .effects import Role


if TYPE_CHECKING:
    from .replica_state import ReplicaState


class Election:
    """Requests, grants and counts votes.

    A pre-vote changes no durable state on either side. It prevents a replica that was
    partitioned from raising the term and thereby deposing a healthy leader.

    :param state: state of the replica
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._granted_by: set[ReplicaId] = set()

    def tick(self) -> None:
        """Start a pre-vote if the leader has been silent for an election time-out.

        A replica that is not a voter only forgets its leader.
        """
        state = self._state
        if state.role is Role.LEADER:
            return
        if state.clock.now_ms() < state.election_deadline_ms:
            return
        state.reset_election_deadline()
        if state.replica_id not in state.log.membership.voters:
            if not state.has_heard_leader_as_learner():
                state.become_follower(state.term, None)
            return
        state.role = Role.PRE_CANDIDATE
        state.leader_id = None
        self._request_votes(state.term + 1, pre_vote=True)

    def has_won(self) -> bool:
        """Return whether this candidate has a quorum, counting its own durable vote."""
        state = self._state
        return (
            state.role is Role.CANDIDATE
            and state.outbox.synced_term == state.term
            and state.log.membership.has_quorum(self._granted_by)
        )

    def receive_request(self, request: VoteRequest) -> None:
        """Answer a request for a vote or a pre-vote.

        :param request: the message
        """
        state = self._state
        if request.pre_vote:
            granted = request.term > state.term and not state.has_recent_leader()
            granted = granted and self._may_vote_for(request)
            term = request.term if granted else state.term
        else:
            if request.term > state.term:
                state.become_follower(request.term, None)
            vote_free = state.voted_for in (None, request.candidate_id)
            granted = (
                request.term == state.term and vote_free and self._may_vote_for(request)
            )
            if granted and state.voted_for is None:
                state.voted_for = ReplicaId(request.candidate_id)
                state.outbox.mark_term_or_vote_changed()
            if granted:
                state.restart_election_timer()
            term = state.term
        reply = VoteReply(
            term=term,
            voter_id=state.replica_id,
            granted=granted,
            pre_vote=request.pre_vote,
        )
        state.outbox.send_when_durable(ReplicaId(request.candidate_id), reply)

    def receive_reply(self, reply: VoteReply) -> None:
        """Count a vote.

        :param reply: the message
        """
        state = self._state
        if reply.term > state.term and not (reply.pre_vote and reply.granted):
            state.become_follower(reply.term, None)
            return
        if not reply.granted:
            return
        voter = ReplicaId(reply.voter_id)
        membership = state.log.membership
        if reply.pre_vote:
            if state.role is Role.PRE_CANDIDATE and reply.term == state.term + 1:
                self._granted_by.add(voter)
                if membership.has_quorum(self._granted_by):
                    self._start_election()
        elif state.role is Role.CANDIDATE and reply.term == state.term:
            self._granted_by.add(voter)

    def _start_election(self) -> None:
        state = self._state
        state.become_follower(state.term + 1, None)
        state.role = Role.CANDIDATE
        state.voted_for = state.replica_id
        state.outbox.mark_term_or_vote_changed()
        state.restart_election_timer()
        self._request_votes(state.term, pre_vote=False)

    def _request_votes(self, term: int, *, pre_vote: bool) -> None:
        state = self._state
        self._granted_by = {state.replica_id}
        request = VoteRequest(
            term=term,
            candidate_id=state.replica_id,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            pre_vote=pre_vote,
        )
        for voter in state.log.membership.voters:
            if voter != state.replica_id:
                state.outbox.send_when_durable(voter, request)
        if pre_vote and state.log.membership.has_quorum(self._granted_by):
            self._start_election()

    def _may_vote_for(self, request: VoteRequest) -> bool:
        """Return whether the candidate's log is at least as up to date as this one's.

        A replica that was never admitted has an empty membership and does not vote.
        """
        log = self._state.log
        candidate = (request.last_term, request.last_index)
        return bool(log.membership.voters) and candidate >= (
            log.last_term,
            log.last_index,
        )
