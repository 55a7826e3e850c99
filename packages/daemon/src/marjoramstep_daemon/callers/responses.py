"""HTTP status and headers of answers to callers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason
from multidict import CIMultiDict

from .. import http_headers
from ..calls import Answer
from ..calls import Refused


if TYPE_CHECKING:
    from .entry_result import EntryResult

MS_PER_SECOND = 1_000.0
STALE_TABLE_AGE_MS = 10_000.0
STATUS_WHEN_NOT_RUN = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TIMEOUT: 408,
    Reason.BAD_KEY: 400,
    Reason.KEY_EXPIRED: 410,
    Reason.KEY_CLOSED: 410,
    Reason.KEY_REUSED: 422,
    Reason.BODY_TOO_LARGE: 413,
    Reason.NO_ROUTE: 404,
    Reason.DEADLINE: 504,
    Reason.RETRIES_EXHAUSTED: 429,
    Reason.QUARANTINED: 422,
}
STATUS_WHEN_UNKNOWN = {
    Reason.RUNNING: 409,
    Reason.DEADLINE: 504,
    Reason.KEY_EXPIRED: 410,
    Reason.OVERLOAD: 503,
    Reason.BACKPRESSURE: 503,
    Reason.NO_CLAIM_QUORUM: 503,
}
DEFAULT_STATUS_WHEN_NOT_RUN = 503
DEFAULT_STATUS_WHEN_UNKNOWN = 502
REASONS_WITH_RETRY_AFTER = frozenset(
    {
        Reason.OVERLOAD,
        Reason.EVICTED,
        Reason.QUEUE_FULL,
        Reason.BACKPRESSURE,
        Reason.RUNNING,
        Reason.NO_SERVER,
        Reason.NO_CLAIM_QUORUM,
    }
)


def status_of(result: EntryResult) -> int:
    """Return the HTTP status for a reply that is not an answer.

    :param result: result of the request
    :return: status code
    """
    assert not isinstance(result.reply, Answer)
    reason = result.reply.reason
    if result.outcome is Outcome.UNKNOWN:
        return STATUS_WHEN_UNKNOWN.get(reason, DEFAULT_STATUS_WHEN_UNKNOWN)
    return STATUS_WHEN_NOT_RUN.get(reason, DEFAULT_STATUS_WHEN_NOT_RUN)


def headers_of(result: EntryResult, table_age_ms: float) -> CIMultiDict[str]:
    """Build the headers of the answer to the caller.

    :param result: result of the request
    :param table_age_ms: time since a quorum confirmed the table in force
    :return: the headers of the backend server and of the native protocol
    """
    reply = result.reply
    headers: CIMultiDict[str] = CIMultiDict()
    if isinstance(reply, Answer):
        headers.extend(reply.headers)
        headers.extend(reply.extra_headers)
    headers[http_headers.OUTCOME] = result.outcome.value
    headers[http_headers.REQUEST_KEY] = result.request_key
    if reply.reason is not None:
        headers[http_headers.REASON] = reply.reason.value
        if reply.reason in REASONS_WITH_RETRY_AFTER:
            headers["Retry-After"] = str(_retry_after_seconds(result))
    if table_age_ms > STALE_TABLE_AGE_MS:
        age = "unknown" if math.isinf(table_age_ms) else str(int(table_age_ms))
        headers[http_headers.TABLE_AGE_MS] = age
    return headers


def _retry_after_seconds(result: EntryResult) -> int:
    reply = result.reply
    # One second if the reply is not a refusal.
    wait_ms = reply.retry_after_ms if isinstance(reply, Refused) else MS_PER_SECOND
    return max(1, math.ceil(wait_ms / MS_PER_SECOND))
