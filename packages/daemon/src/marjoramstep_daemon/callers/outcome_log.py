"""Logs the outcomes of requests."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..calls import SERVER_ERROR_STATUS
from ..calls import Answer


if TYPE_CHECKING:
    from ..control.table_store import TableStore
    from ..log import EventLog
    from .entry_request import EntryRequest
    from .entry_result import EntryResult

# One of this many answers below status 500 is logged.
SUCCESS_SAMPLING_INTERVAL = 100
# The table has never been confirmed; JSON has no infinity.
UNKNOWN_AGE_MS = -1.0


class OutcomeLog:
    """Logs refusals, failures, answers of status 500 and above, and some of the others.

    :param tables: the table in force
    :param log: event log
    """

    def __init__(self, tables: TableStore, log: EventLog) -> None:
        self._tables = tables
        self._log = log
        self._successes = 0

    def write(
        self, request: EntryRequest, result: EntryResult, duration_ms: float
    ) -> None:
        """Log the outcome of a request.

        :param request: the request
        :param result: its result
        :param duration_ms: time since it arrived
        """
        reply = result.reply
        answer = reply if isinstance(reply, Answer) else None
        if answer is not None and answer.status < SERVER_ERROR_STATUS:
            self._successes += 1
            if self._successes % SUCCESS_SAMPLING_INTERVAL:
                return
        self._log.write_decision(
            "request ended" if answer is None else "request answered",
            result.request_key,
            step="answer caller",
            reason="" if reply.reason is None else reply.reason.value,
            outcome=result.outcome.value,
            status=None if answer is None else answer.status,
            detail="" if isinstance(reply, Answer) else reply.detail,
            row=result.row_name,
            service=request.service,
            duration_ms=round(duration_ms, 1),
            allowed_ms=request.deadline_ms,
            peer_host=request.peer_host(),
            is_sub_call=request.context_id is not None,
            table_version=self._tables.version,
            table_age_ms=_rounded_age_ms(self._tables.age_ms()),
        )


def _rounded_age_ms(age_ms: float) -> float:
    return round(age_ms) if math.isfinite(age_ms) else UNKNOWN_AGE_MS
