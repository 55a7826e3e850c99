"""Turns requests into calls: checks, routing, retries and the one outcome."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.ids import RequestKey
from marjoramstep_core.ids import RootId
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason

from ..calls import Answer
from ..calls import Call
from ..calls import Failed
from ..calls import Refused


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.clock import Clock
    from marjoramstep_core.table import Row
    from marjoramstep_policy.admission import SizeClasses
    from marjoramstep_policy.retries import ResendLedger
    from marjoramstep_policy.retries import RetryAllowance

    from ..backend_servers.in_flight import InFlight
    from ..backend_servers.in_flight import InFlightMap
    from ..calls import Reply
    from ..control.table_keeper import TableKeeper
    from ..metrics import NodeMetrics
    from ..pressure_keeper import PressureKeeper
    from .dispatcher import Dispatcher
    from .entry_request import EntryRequest

KEY_BYTES = 12
# A key is remembered for longer than any deadline of a row (1 h at most).
KEY_LIFETIME_MS = 3_900_000.0


@dataclass(slots=True)
class EntryResult:
    """What the caller is told.

    :param reply: the last reply
    :param outcome: the one outcome of the request at this node
    :param request_key: key of the request, made up if the caller gave none
    :param row_name: row of the request
    """

    reply: Reply
    outcome: Outcome
    request_key: str
    row_name: str


class EntryService:
    """Entry of requests from callers and of sub-calls from the own backend server.

    :param clock: clock of the node
    :param tables: the table in force
    :param in_flight: running requests, the parents of sub-calls
    :param ledger: resends by callers
    :param pressure: backpressure of called services
    :param size_classes: duration classes by row
    :param dispatcher: chooses backend servers and retries
    :param make_allowance: makes the retry tokens of a request without a caller's key
    :param metrics: counters and histograms
    """

    def __init__(
        self,
        clock: Clock,
        tables: TableKeeper,
        in_flight: InFlightMap,
        ledger: ResendLedger,
        pressure: PressureKeeper,
        size_classes: SizeClasses,
        dispatcher: Dispatcher,
        make_allowance: Callable[[int], RetryAllowance],
        metrics: NodeMetrics,
    ) -> None:
        self._clock = clock
        self._tables = tables
        self._in_flight = in_flight
        self._ledger = ledger
        self._pressure = pressure
        self._size_classes = size_classes
        self._dispatcher = dispatcher
        self._make_allowance = make_allowance
        self._metrics = metrics
        self.is_shutting_down = False
        self.in_progress = 0

    async def execute(self, request: EntryRequest) -> EntryResult:
        """Carry a request out.

        :param request: the request
        :return: exactly one outcome
        """
        started_ms = self._clock.now_ms()
        self.in_progress += 1
        try:
            result = await self._execute(request, started_ms)
        finally:
            self.in_progress -= 1
        reason = result.reply.reason
        self._metrics.count_outcome(
            result.row_name,
            "" if reason is None else reason.value,
            self._clock.now_ms() - started_ms,
        )
        return result

    async def _execute(self, request: EntryRequest, now_ms: float) -> EntryResult:
        key = request.request_key or RequestKey(secrets.token_hex(KEY_BYTES))
        if not self._tables.has_table:
            return _refused(Reason.NO_TABLE, key, "")
        row = self._tables.match(request.service, request.method, request.path)
        parent = None
        if request.context_id is not None:
            parent = self._in_flight.find(request.context_id)
            if parent is None:
                return _refused(Reason.PARENT_ENDED, key, row.name)
        reason = self._check(request, row, parent)
        if reason is not None:
            return _refused(reason, key, row.name)
        if parent is not None:
            return await self._run_sub_call(request, key, row, parent, now_ms)
        return await self._run_root(request, key, row, now_ms)

    def _check(
        self, request: EntryRequest, row: Row, parent: InFlight | None
    ) -> Reason | None:
        if self.is_shutting_down and parent is None:
            return Reason.SHUTTING_DOWN
        if request.body.length > row.body_limit_bytes:
            return Reason.BODY_TOO_LARGE
        if not row.repeatable and request.request_key is None:
            return Reason.BAD_KEY
        # Work has been spent on the parent already, so only roots are refused early.
        if parent is None and not self._pressure.admits(
            row.name, request.service, row.weight
        ):
            return Reason.BACKPRESSURE
        return None

    async def _run_root(
        self, request: EntryRequest, key: RequestKey, row: Row, now_ms: float
    ) -> EntryResult:
        may_have_run = False
        if request.request_key is None:
            allowance = self._make_allowance(row.retries)
        else:
            verdict = self._ledger.arrive(key, row.retries, KEY_LIFETIME_MS)
            allowance = verdict.allowance
            # An earlier attempt under this key may have run; for rows that may not be
            # repeated the claim knows better.
            may_have_run = verdict.is_resend and row.repeatable
            if not verdict.allowed and row.repeatable:
                self._metrics.count_event("resend refused")
                refused = Refused(Reason.RETRIES_EXHAUSTED)
                return _result(refused, key, row, may_have_run)
        call = self._make_call(request, key, row, now_ms)
        reply, maybe = await self._dispatcher.dispatch(call, allowance)
        return _result(reply, key, row, may_have_run or maybe)

    async def _run_sub_call(
        self,
        request: EntryRequest,
        key: RequestKey,
        row: Row,
        parent: InFlight,
        now_ms: float,
    ) -> EntryResult:
        call = self._make_call(request, key, row, now_ms)
        call.root_id = parent.call.root_id
        call.weight = parent.call.weight
        call.depth = parent.call.depth + 1
        call.deadline_ms = min(call.deadline_ms, parent.call.deadline_ms)
        parent.used_services.add(request.service)
        reply, maybe = await self._dispatcher.dispatch(call, parent.allowance)
        parent.used_services |= call.reached_services
        return _result(reply, key, row, maybe)

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
            size_class=self._size_classes.classify(row),
        )


def _refused(reason: Reason, key: str, row_name: str) -> EntryResult:
    return EntryResult(Refused(reason), Outcome.NOT_RUN, key, row_name)


def _result(reply: Reply, key: str, row: Row, may_have_run: bool) -> EntryResult:
    if isinstance(reply, Answer):
        outcome = reply.outcome
    elif isinstance(reply, Failed) or may_have_run:
        outcome = Outcome.UNKNOWN
    else:
        outcome = Outcome.NOT_RUN
    return EntryResult(reply, outcome, key, row.name)
