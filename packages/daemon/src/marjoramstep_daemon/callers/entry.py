"""Finds the row of a request, checks it, dispatches it and determines its outcome."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from marjoramstep_core.ids import RequestKey
from marjoramstep_core.ids import RootId
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason
from marjoramstep_policy.routing import TargetChooser

from ..backend_servers.in_flight import SubCallState
from ..calls import SERVER_ERROR_STATUS
from ..calls import Answer
from ..calls import Call
from ..calls import Refused
from ..fingerprints import content_hash
from .entry_result import EntryResult
from .entry_result import make_refusal
from .entry_result import make_result
from .key_history import KeyHistory
from .outcome_log import OutcomeLog


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.clock import Clock
    from marjoramstep_core.table import Row
    from marjoramstep_policy.admission import SizeClassifier
    from marjoramstep_policy.retries import ResendTracker
    from marjoramstep_policy.retries import RetryAllowance

    from ..backend_servers.in_flight import InFlightMap
    from ..backend_servers.in_flight import InFlightRequest
    from ..backpressure_tracker import BackpressureTracker
    from ..calls import Reply
    from ..control.table_store import TableStore
    from ..log import EventLog
    from ..metrics import NodeMetrics
    from .dispatcher import Dispatcher
    from .entry_request import EntryRequest
    from .not_run_verifier import NotRunVerifier

GENERATED_KEY_BYTES = 12
# Sub-calls of one request that are tracked to detect resends.
SUB_CALL_LIMIT = 10_000
# Twice the interval at which nodes ask the replicas to confirm their table
# (TABLE_REQUEST_INTERVAL_SECONDS); equal to STALE_TABLE_AGE_MS of the answers.
CONFIRMATION_MAX_AGE_MS = 10_000.0
# With these reasons it is certain that no attempt with this key and content ran.
REASONS_THAT_PROVE_NOT_RUN = frozenset(
    {Reason.KEY_CLOSED, Reason.KEY_REUSED, Reason.BAD_KEY}
)
# A sub-call that ends with one of these reasons indicates a downstream overload.
SHED_REASONS = frozenset(
    {
        Reason.OVERLOAD,
        Reason.EVICTED,
        Reason.QUEUE_FULL,
        Reason.DEADLINE,
        Reason.BACKPRESSURE,
        Reason.SHED_BELOW,
    }
)
# Resends of a key are counted for longer than the longest deadline of a row (1 h).
RESEND_COUNT_LIFETIME_MS = 3_900_000.0


class EntryService:
    """Handles requests of callers and sub-calls of the local backend server.

    :param clock: clock of the node
    :param tables: the table in force
    :param in_flight: running requests, the parents of sub-calls
    :param resend_tracker: counts resends by callers
    :param backpressure: load reported by downstream services
    :param size_classifier: determines the size class of a row
    :param dispatcher: selects backend servers and retries
    :param make_allowance: creates the retry tokens of a request without a key
    :param metrics: counters and histograms
    :param not_run_verifier: verifies with the replicas that a refused request has not
        run elsewhere
    :param log: event log for outcomes; answers below status 500 are sampled
    :param target_chooser: selects the service of a request that is routed by host
    """

    def __init__(
        self,
        clock: Clock,
        tables: TableStore,
        in_flight: InFlightMap,
        resend_tracker: ResendTracker,
        backpressure: BackpressureTracker,
        size_classifier: SizeClassifier,
        dispatcher: Dispatcher,
        make_allowance: Callable[[int], RetryAllowance],
        metrics: NodeMetrics,
        not_run_verifier: NotRunVerifier,
        log: EventLog,
        target_chooser: TargetChooser | None = None,
    ) -> None:
        self._clock = clock
        self._tables = tables
        self._in_flight = in_flight
        self._resend_tracker = resend_tracker
        self._backpressure = backpressure
        self._size_classifier = size_classifier
        self._dispatcher = dispatcher
        self._make_allowance = make_allowance
        self._metrics = metrics
        self._not_run_verifier = not_run_verifier
        self._outcomes = OutcomeLog(tables, log)
        self._target_chooser = target_chooser or TargetChooser()
        self._history = KeyHistory()
        self.is_shutting_down = False
        self.in_progress = 0

    async def execute(self, request: EntryRequest) -> EntryResult:
        """Execute a request.

        :param request: the request
        :return: its result, with exactly one outcome
        """
        started_ms = self._clock.now_ms()
        self.in_progress += 1
        try:
            result = await self._execute(request, started_ms)
            await self._verify_not_run(request, result)
        finally:
            self.in_progress -= 1
        reason = result.reply.reason
        duration_ms = self._clock.now_ms() - started_ms
        self._metrics.record_outcome(
            result.row_name, "" if reason is None else reason.value, duration_ms
        )
        self._outcomes.write(request, result, duration_ms)
        return result

    async def _verify_not_run(self, request: EntryRequest, result: EntryResult) -> None:
        if (
            result.outcome is not Outcome.NOT_RUN
            or request.request_key is None
            or result.reply.reason in REASONS_THAT_PROVE_NOT_RUN
            or not self._tables.has_table
        ):
            return
        row = self.find_row(request)
        if row is not None and row.needs_claim:
            await self._not_run_verifier.verify(result, request.request_key)

    def _reason_without_row(self) -> Reason:
        # A node that has just started may have the table of a replica that lags or that
        # lost its disk. Only a confirmed table proves that there is no such row.
        has_hosts = self._tables.has_hosts
        is_confirmed = self._tables.age_ms() < CONFIRMATION_MAX_AGE_MS
        return Reason.NO_ROUTE if has_hosts and is_confirmed else Reason.NO_TABLE

    def find_row(self, request: EntryRequest) -> Row | None:
        """Find the row of a request in the table in force.

        :param request: the request
        :return: its row, or None if there is none or no table yet
        """
        if not self._tables.has_table:
            return None
        if request.host:
            return self._tables.match_host(request.host, request.path)
        return self._tables.match(request.service, request.method, request.path)

    async def _execute(self, request: EntryRequest, now_ms: float) -> EntryResult:
        key = request.request_key or RequestKey(
            request.request_id or secrets.token_hex(GENERATED_KEY_BYTES)
        )
        if not self._tables.has_table:
            return make_refusal(Reason.NO_TABLE, key, "")
        row = self.find_row(request)
        if row is None:
            return make_refusal(self._reason_without_row(), key, "")
        if request.host:
            # The row may divide its requests among several services.
            request.service = (
                self._target_chooser.choose(row) if row.target_shares else row.service
            )
        parent = None
        if request.context_id is not None:
            parent = self._in_flight.find(request.context_id)
            if parent is None:
                return make_refusal(Reason.PARENT_ENDED, key, row.name)
        reason = self._check(request, row, parent)
        if reason is not None:
            return make_refusal(reason, key, row.name)
        if parent is not None:
            return await self._run_sub_call(request, key, row, parent, now_ms)
        return await self._run_root(request, key, row, now_ms)

    def _check(
        self, request: EntryRequest, row: Row, parent: InFlightRequest | None
    ) -> Reason | None:
        if self.is_shutting_down and parent is None:
            return Reason.SHUTTING_DOWN
        if request.body.upload is not None:
            request.body.upload.limit_bytes = row.body_limit_bytes
        if request.body.length > row.body_limit_bytes:
            return Reason.BODY_TOO_LARGE
        if row.needs_claim and request.request_key is None:
            return Reason.BAD_KEY
        # The parent of a sub-call has already used capacity, so only root requests are
        # refused here.
        if parent is None and not self._backpressure.admits(
            row.name, request.service, row.weight
        ):
            return Reason.BACKPRESSURE
        return None

    async def _run_root(
        self, request: EntryRequest, key: RequestKey, row: Row, now_ms: float
    ) -> EntryResult:
        if request.request_key is None:
            allowance = self._make_allowance(row.retries)
            return await self._dispatch_root(request, key, row, allowance, now_ms)
        verdict = self._resend_tracker.record_arrival(
            key, row.retries, RESEND_COUNT_LIFETIME_MS
        )
        earlier_may_have_run = self._history.begin(key)
        outcome = Outcome.UNKNOWN
        try:
            # Other resends are not limited: under a claim they do not run again.
            if not verdict.allowed and row.repeatable:
                self._metrics.count_event("resend refused")
                result = make_refusal(Reason.RETRIES_EXHAUSTED, key, row.name)
            else:
                result = await self._dispatch_root(
                    request,
                    key,
                    row,
                    verdict.allowance,
                    now_ms,
                    earlier_may_have_run=earlier_may_have_run,
                )
            outcome = result.outcome
        finally:
            self._history.end(key, outcome)
        if (
            earlier_may_have_run
            and result.reply.reason not in REASONS_THAT_PROVE_NOT_RUN
        ):
            result.downgrade_to_unknown()
        return result

    async def _dispatch_root(
        self,
        request: EntryRequest,
        key: RequestKey,
        row: Row,
        allowance: RetryAllowance,
        now_ms: float,
        *,
        earlier_may_have_run: bool = False,
    ) -> EntryResult:
        call = self._make_call(request, key, row, now_ms)
        call.runs_again = earlier_may_have_run
        reply, may_have_run = await self._dispatcher.dispatch(call, allowance)
        return make_result(reply, key, row, may_have_run)

    async def _run_sub_call(
        self,
        request: EntryRequest,
        key: RequestKey,
        row: Row,
        parent: InFlightRequest,
        now_ms: float,
    ) -> EntryResult:
        identity = _identity_of(request)
        earlier = parent.sub_calls.get(identity)
        # A resend by the backend server counts as a retry of the root request, and so
        # does a call of a run that repeats an earlier one. If the row is not
        # repeatable, it is not limited: under a claim it does not run again.
        is_resend = earlier is not None and self._is_resend(request, earlier)
        is_retry = is_resend or parent.call.runs_again
        if is_retry and not parent.allowance.take() and row.repeatable:
            self._metrics.count_event("resend refused")
            result = make_refusal(Reason.RETRIES_EXHAUSTED, key, row.name)
            if earlier not in (None, SubCallState.NOT_RUN):
                result.downgrade_to_unknown()
            return result
        if len(parent.sub_calls) < SUB_CALL_LIMIT or earlier is not None:
            parent.sub_calls[identity] = SubCallState.RUNNING
        parent.call.made_sub_calls = True
        result = await self._dispatch_sub_call(
            request, key, row, parent, now_ms, is_resend=is_resend
        )
        if _indicates_overload(result.reply):
            parent.call.shed_downstream = True
        if identity in parent.sub_calls:
            parent.sub_calls[identity] = _state_after(result, earlier)
        if (
            earlier not in (None, SubCallState.NOT_RUN)
            and request.request_key is not None
            and result.reply.reason not in REASONS_THAT_PROVE_NOT_RUN
        ):
            result.downgrade_to_unknown()
        return result

    def _is_resend(self, request: EntryRequest, earlier: SubCallState) -> bool:
        # Without a key, identical calls may be intentional; a call counts as a resend
        # only if the same call failed before.
        return request.request_key is not None or earlier in (
            SubCallState.FAILED,
            SubCallState.NOT_RUN,
        )

    async def _dispatch_sub_call(
        self,
        request: EntryRequest,
        key: RequestKey,
        row: Row,
        parent: InFlightRequest,
        now_ms: float,
        *,
        is_resend: bool,
    ) -> EntryResult:
        call = self._make_call(request, key, row, now_ms)
        call.root_id = parent.call.root_id
        call.weight = parent.call.weight
        call.depth = parent.call.depth + 1
        call.is_repeat = parent.call.is_repeat
        call.runs_again = parent.call.runs_again or is_resend
        call.siblings_succeeded = SubCallState.SUCCEEDED in parent.sub_calls.values()
        # A row's deadline applies to a whole request. A shorter deadline of the called
        # row would end the request while its own deadline can still be met.
        call.deadline_ms = parent.call.deadline_ms
        if request.deadline_ms is not None:
            call.deadline_ms = min(call.deadline_ms, now_ms + request.deadline_ms)
        if request.host:
            # Exception: the deadline of a row found by host also limits a sub-call.
            call.deadline_ms = min(call.deadline_ms, now_ms + row.deadline_ms)
        parent.reached_services.add(request.service)
        reply, may_have_run = await self._dispatcher.dispatch(call, parent.allowance)
        parent.reached_services |= call.reached_services
        return make_result(reply, key, row, may_have_run)

    def _make_call(
        self, request: EntryRequest, key: RequestKey, row: Row, now_ms: float
    ) -> Call:
        budget_ms = float(row.deadline_ms)
        if request.deadline_ms is not None:
            budget_ms = min(budget_ms, request.deadline_ms)
        return Call(
            service=request.service,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            request_key=key,
            root_id=RootId(key),
            row=row,
            weight=row.weight,
            depth=0,
            deadline_ms=now_ms + budget_ms,
            retry_tokens=0,
            size_class=self._size_classifier.classify(row),
            progress=request.progress,
        )


def _identity_of(request: EntryRequest) -> str:
    if request.request_key is not None:
        return request.request_key
    content = content_hash(request.service, request.method, request.path, request.body)
    return f"{content:x}"


def _indicates_overload(reply: Reply) -> bool:
    if isinstance(reply, Refused) and reply.reached_server:
        # The call held a slot and the backend server still shed it, so admitting fewer
        # root requests would not help.
        return False
    return reply.reason in SHED_REASONS


def _state_after(result: EntryResult, earlier: SubCallState | None) -> SubCallState:
    reply = result.reply
    if isinstance(reply, Answer) and reply.status < SERVER_ERROR_STATUS:
        return SubCallState.SUCCEEDED
    if result.outcome is Outcome.NOT_RUN and earlier in (None, SubCallState.NOT_RUN):
        return SubCallState.NOT_RUN
    return SubCallState.FAILED
