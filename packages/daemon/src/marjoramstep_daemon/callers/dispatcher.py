"""Selects a backend server for each call and retries within its retry tokens."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from marjoramstep_core.addresses import split_address
from marjoramstep_core.states import Reason
from marjoramstep_core.states import SizeClass
from marjoramstep_policy.retries import RefusedCall
from marjoramstep_policy.routing import ComparableRows
from marjoramstep_policy.routing import ReportedLoad

from ..calls import Answer
from ..calls import Failed
from ..calls import Refused
from ..deadline import end_at_deadline
from ..request_progress import RequestStep
from ..retry_after import NOT_READY_RETRY_AFTER
from .call_result import AT_LIMIT_REASONS
from .call_result import UNAVAILABLE_REASONS
from .call_result import call_result


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import NodeId
    from marjoramstep_core.ids import ServerId
    from marjoramstep_policy.admission import SizeClassifier
    from marjoramstep_policy.retries import RetryAllowance
    from marjoramstep_policy.retries import ServiceRetryBudget
    from marjoramstep_policy.routing import RouteMember
    from marjoramstep_policy.routing import Router
    from marjoramstep_policy.routing import SuspensionChange

    from ..backpressure_tracker import BackpressureTracker
    from ..calls import Call
    from ..calls import CallTarget
    from ..calls import Reply
    from ..log import EventLog
    from ..metrics import NodeMetrics
    from ..nodes.link_pool import LinkPool
    from .membership_subscriber import MembershipSubscriber

RETRYABLE_FAILURES = frozenset({Reason.CONNECTION_LOST})
# Another backend server may have a free slot, also for a call that has no time to wait.
MOVES_ON_REASONS = UNAVAILABLE_REASONS | AT_LIMIT_REASONS | {Reason.DEADLINE}
# How often a call moves on to another node after a node has refused it for overload.
# Each such refusal costs a round trip.
OVERLOAD_FAILOVER_LIMIT = 3
# How often a call moves on after a node has refused it because its deadline is too near
# for the queue there. Lower than for overload, since little time is left.
DEADLINE_FAILOVER_LIMIT = 2
# Sends on top of the row's attempts for a call that was shed by backend servers: such a
# call has not run anywhere.
EXTRA_SENDS_AFTER_SHED = 2
# The router sends a few calls to other zones to measure the latency there. Only calls
# with a body up to this size are used: sending a larger one costs more than the
# measurement is worth.
SAMPLE_BODY_LIMIT_BYTES = 4_096


class Dispatcher:
    """Sends each call to a backend server and retries within its retry tokens.

    :param clock: clock of the node
    :param node_id: id of this node
    :param subscriber: subscribes to the members of called services
    :param router: selects the backend server
    :param budget: limits retries to a service to a share of its first attempts
    :param links: links to other nodes
    :param local_target: executes calls at the local backend server
    :param backpressure: load reported by downstream services
    :param size_classifier: learns the duration of calls by row
    :param metrics: counters
    :param log: event log for retries and failovers
    """

    def __init__(
        self,
        clock: Clock,
        node_id: NodeId,
        subscriber: MembershipSubscriber,
        router: Router,
        budget: ServiceRetryBudget,
        links: LinkPool,
        local_target: CallTarget,
        backpressure: BackpressureTracker,
        size_classifier: SizeClassifier,
        metrics: NodeMetrics,
        log: EventLog,
    ) -> None:
        self._clock = clock
        self._node_id = node_id
        self._subscriber = subscriber
        self._router = router
        self._budget = budget
        self._links = links
        self._local_target = local_target
        self._backpressure = backpressure
        self._size_classifier = size_classifier
        self._metrics = metrics
        self._log = log
        self._comparable = ComparableRows()
        router.on_suspension_change = self._log_change

    async def dispatch(
        self, call: Call, allowance: RetryAllowance
    ) -> tuple[Reply, bool]:
        """Execute a call and retry it where that is safe.

        :param call: the call
        :param allowance: retry tokens of this hop
        :return: the last reply, and whether any attempt without an answer may
            have run
        """
        call.progress.limit_ms = call.deadline_ms
        await self._subscriber.ensure_subscribed(call.service, call.deadline_ms)
        if call.is_repeat:
            self._budget.record_repeat(call.service)
        else:
            self._budget.record_first_attempt(call.service, call.weight)
        history = _AttemptHistory()
        reply: Reply = Refused(
            Reason.NO_SERVER,
            "no backend server is ready",
            retry_after_ms=NOT_READY_RETRY_AFTER.next_ms(),
        )
        member = self._router.pick(
            call.service,
            history.excluded,
            may_sample_remote=self._may_sample_remote(call),
        )
        while member is not None:
            call.may_move_on = not history.excluded and self._may_move_on(call)
            reply = await self._attempt(call, member, allowance)
            if isinstance(reply, Answer):
                break
            history.record(member, reply)
            if not self._prepare_retry(call, reply, allowance, history):
                break
            call.body.restart()
            if not _retries_same_server(call, reply, history):
                member = self._router.pick(call.service, history.excluded)
        if isinstance(reply, Answer) and reply.body.rest is not None:
            reply.body.rest = end_at_deadline(
                reply.body.rest, call.deadline_ms, self._clock
            )
        return reply, history.may_have_run

    def _prepare_retry(
        self,
        call: Call,
        reply: Refused | Failed,
        allowance: RetryAllowance,
        history: _AttemptHistory,
    ) -> bool:
        """Decide whether to send the call again, and spend what that takes.

        A retry after a failure or after a refusal by a backend server takes one retry
        token and a part of the service's retry budget.

        :return: whether to send the call again
        """
        if not _is_retryable(call, reply) or self._clock.now_ms() >= call.deadline_ms:
            return False
        if isinstance(reply, Refused) and not reply.reached_server:
            return self._prepare_failover(call, reply, history)
        limit = call.row.attempts
        if isinstance(reply, Refused):
            limit += EXTRA_SENDS_AFTER_SHED
        if allowance.held == 0 or history.sends >= limit:
            return False
        if not self._spend_budget(call, reply):
            self._metrics.count_event("retry over service budget")
            self._log_decision("second send refused by the budget", call, reply)
            return False
        self._metrics.count_event("retry")
        self._log_decision("call sent again", call, reply)
        call.is_repeat = True
        call.runs_again = call.runs_again or isinstance(reply, Failed)
        return allowance.take()

    def _prepare_failover(
        self, call: Call, reply: Refused, history: _AttemptHistory
    ) -> bool:
        """Decide whether to try another member, and record it.

        No backend server has received the call.

        :return: whether to try another member
        """
        if history.overload_refusals > OVERLOAD_FAILOVER_LIMIT:
            return False
        if history.deadline_refusals > DEADLINE_FAILOVER_LIMIT:
            return False
        if len(history.reached) >= call.row.attempts:
            return False
        self._metrics.count_event("moved on")
        self._log_decision("call moved on", call, reply)
        return True

    def _spend_budget(self, call: Call, reply: Refused | Failed) -> bool:
        if isinstance(reply, Failed):
            return self._budget.try_spend_after_failure(call.service)
        refused_call = RefusedCall(call.weight, call.siblings_succeeded)
        return self._budget.try_spend_after_refusal(call.service, refused_call)

    def _log_decision(self, decision: str, call: Call, reply: Reply) -> None:
        assert reply.reason is not None
        load = reply.load
        self._log.write_decision(
            decision,
            call.request_key,
            step="route call",
            reason=reply.reason.value,
            detail="" if isinstance(reply, Answer) else reply.detail,
            service=call.service,
            left_ms=round(call.deadline_ms - self._clock.now_ms()),
            in_flight=None if load is None else load.in_flight,
            limit=None if load is None else load.limit,
            queue_length=None if load is None else load.queue_length,
        )

    def _log_change(self, change: SuspensionChange) -> None:
        self._log.write(
            "member suspended" if change.suspended else "member recovered",
            step="route call",
            peer=change.server_id,
            zone=change.zone,
            latency_ms=round(change.latency_ms, 1),
            reference_ms=round(change.reference_ms, 1),
            failures=change.failures,
            in_flight=change.in_flight,
        )

    async def _attempt(
        self, call: Call, member: RouteMember, allowance: RetryAllowance
    ) -> Reply:
        delegated = call.retry_tokens = allowance.delegate()
        call.started = False
        started_ms = self._clock.now_ms()
        size_class = self._routing_class(call)
        self._router.record_call_start(member.server_id, size_class)
        self._metrics.count_event(
            "call in the own zone"
            if member.zone == self._router.local_zone
            else "call to another zone"
        )
        reply: Reply | None = None
        try:
            if member.node_id == self._node_id:
                reply = await self._local_target.execute(call)
            else:
                call.progress.enter(RequestStep.CALL_NODE, member.node_id)
                address = split_address(member.address)
                reply = await self._links.execute(address, call)
        finally:
            latency_ms = max(self._clock.now_ms() - started_ms, 0.0)
            self._record_result(call, member, latency_ms, reply, size_class)
        allowance.reclaim(reply.retry_tokens, delegated=delegated)
        return reply

    def _may_move_on(self, call: Call) -> bool:
        """Return whether the first server asked may refuse a call that would wait.

        Only the first one, so that an overloaded service does not pass calls around.
        The start of a streamed body may no longer be at hand when the refusal arrives.
        """
        return call.body.is_complete and self._router.has_alternative(call.service)

    def _may_sample_remote(self, call: Call) -> bool:
        is_small = 0 <= call.body.length <= SAMPLE_BODY_LIMIT_BYTES
        return is_small and self._routing_class(call) is SizeClass.SHORT

    def _routing_class(self, call: Call) -> SizeClass:
        """Return the size class to report to the router.

        :return: the class of the call if the latencies of its row are comparable,
            otherwise ``LONG``, so that the router ignores its latency
        """
        if self._comparable.is_comparable(call.service, call.row.name):
            return call.size_class
        return SizeClass.LONG

    def _record_result(
        self,
        call: Call,
        member: RouteMember,
        latency_ms: float,
        reply: Reply | None,
        size_class: SizeClass,
    ) -> None:
        load = None
        if reply is not None and reply.load is not None:
            load = ReportedLoad(
                reply.load.in_flight, reply.load.limit, reply.load.queue_length
            )
            call.reached_services |= self._backpressure.record(
                call.row.name, call.service, reply.load, member.server_id
            )
        self._router.record_call_end(
            member.server_id, latency_ms, call_result(reply), load, size_class
        )
        if isinstance(reply, Answer):
            self._size_classifier.observe(call.row, latency_ms)
            self._comparable.observe(call.service, call.row.name, latency_ms)


@dataclass(slots=True)
class _AttemptHistory:
    """Results of the attempts at one call so far.

    :param excluded: backend servers that are not tried again
    :param reached: backend servers that received the call
    :param sends: how often a backend server received the call
    :param overload_refusals: refusals by nodes whose backend server is at its limit
    :param deadline_refusals: refusals by nodes that have no time for the call
    :param may_have_run: whether an attempt may have run
    """

    excluded: frozenset[ServerId] = frozenset()
    reached: set[ServerId] = field(default_factory=set)
    sends: int = 0
    overload_refusals: int = 0
    deadline_refusals: int = 0
    may_have_run: bool = False

    def record(self, member: RouteMember, reply: Refused | Failed) -> None:
        self.excluded |= {member.server_id}
        if isinstance(reply, Failed):
            self.may_have_run = True
        elif not reply.reached_server:
            self.overload_refusals += reply.reason in AT_LIMIT_REASONS
            self.deadline_refusals += reply.reason is Reason.DEADLINE
            return
        self.reached.add(member.server_id)
        self.sends += 1


def _is_retryable(call: Call, reply: Refused | Failed) -> bool:
    """Return whether another attempt is safe and can succeed."""
    if not call.body.can_restart:
        return False
    if isinstance(reply, Refused):
        return reply.reason in MOVES_ON_REASONS
    if not call.body.is_complete:
        # The earlier attempt may still be reading the streamed body.
        return False
    return (
        call.row.repeatable
        and not reply.crash_suspect
        and reply.reason in RETRYABLE_FAILURES
    )


def _retries_same_server(
    call: Call, reply: Refused | Failed, history: _AttemptHistory
) -> bool:
    """Return whether the next attempt goes to the same backend server.

    A server that sheds some of its requests may accept the next one, and another
    server would exceed the number of attempts of the row.
    """
    return (
        isinstance(reply, Refused)
        and reply.reached_server
        and reply.reason in AT_LIMIT_REASONS
        and len(history.reached) >= call.row.attempts
    )
