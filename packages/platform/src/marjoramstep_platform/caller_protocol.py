"""Requests of the platform's clients and the responses to them."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason
from marjoramstep_daemon.callers.entry_request import EntryRequest
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Refused
from marjoramstep_daemon.http.body_reader import BodyTimeoutError
from marjoramstep_daemon.http.message import HttpAnswer
from marjoramstep_daemon.http.message import plain_answer
from marjoramstep_daemon.http_headers import select_forwarded_headers
from multidict import CIMultiDict

from . import headers as names


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_daemon.callers.entry_result import EntryResult
    from marjoramstep_daemon.http.message import HttpRequest

MS_PER_SECOND = 1_000.0
# A backend server forms the id of a sub-call from the id of the request that it runs,
# this separator and a suffix. A request whose prefix is not the id of a request running
# on this VM is treated as one of a client.
PARENT_SEPARATOR = "."
# Used when the refusal suggests no delay. By then a table, a backend server or a free
# slot may have become available.
DEFAULT_RETRY_AFTER_MS = 100.0
_MILLISECONDS = re.compile(r"\d{1,9}")
_ATTEMPT_ID = re.compile(r"[!-~]{1,128}")
_TARGET = re.compile(r"/[!-~]*")
_STATUS_BY_REASON = {
    Reason.NO_ROUTE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
}
NOT_RUN_STATUS = 503
UNKNOWN_OUTCOME_STATUS = 502
TIMEOUT_STATUS = 504
LATE_BODY_STATUS = 408


class PlatformCallerProtocol:
    """Parses requests, which carry an attempt id, and renders their responses.

    :param local_service: returns the service name of the backend server on this VM
    :param find_context_id: maps the attempt id of a request running at that server to
        its context id, the key of its entry in the in-flight map; None if not running
    """

    def __init__(
        self,
        local_service: Callable[[], str],
        find_context_id: Callable[[str], str | None],
    ) -> None:
        self._local_service = local_service
        self._find_context_id = find_context_id

    def parse(self, request: HttpRequest) -> EntryRequest:
        """Validate a request and convert it.

        :param request: the request as received
        :return: the request as the entry node processes it
        :raises InvalidInputError: if the request is not valid
        """
        host = request.headers.get("Host", "").rpartition("]")[2].partition(":")[0]
        attempt_id = request.headers.get(names.ATTEMPT_ID, "")
        timeout = request.headers.get(names.TIMEOUT_MS)
        if not host or not _TARGET.fullmatch(request.target):
            raise _invalid_request(
                "expected a Host header and a target that starts with '/'"
            )
        if not _ATTEMPT_ID.fullmatch(attempt_id):
            raise _invalid_request(
                f"{names.ATTEMPT_ID}: expected 1 to 128 printable ASCII characters "
                "without spaces"
            )
        if timeout is not None and not _MILLISECONDS.fullmatch(timeout):
            raise _invalid_request(f"{names.TIMEOUT_MS}: expected whole milliseconds")
        forwarded_headers = select_forwarded_headers(
            request.raw_headers, names.RESERVED_HEADERS
        )
        forwarded_headers.append(("Host", request.headers["Host"]))
        forwarded_headers.append((names.CALLER_SERVICE, self._local_service()))
        return EntryRequest(
            service=ServiceName(""),
            method=request.method,
            path=request.target,
            headers=forwarded_headers,
            body=request.body,
            request_key=None,
            deadline_ms=None if timeout is None else float(timeout),
            context_id=self._find_context_id(
                attempt_id.rpartition(PARENT_SEPARATOR)[0]
            ),
            host=host,
            request_id=attempt_id,
            peer_host=request.peer_host,
        )

    def refuse(self, error: InvalidInputError) -> HttpAnswer:
        """Build the response to an invalid request.

        :param error: the validation error
        :return: a response with status 400, or 408 to a body that came too late
        """
        is_late = isinstance(error, BodyTimeoutError)
        return plain_answer(LATE_BODY_STATUS if is_late else 400, error.message)

    def render(self, result: EntryResult, table_age_ms: float) -> HttpAnswer:
        """Forward an answer, or report that the request did not run or may have run.

        :param result: result of the request
        :param table_age_ms: not sent to the platform's clients
        :return: the response
        """
        reply = result.reply
        if isinstance(reply, Answer):
            return HttpAnswer(reply.status, CIMultiDict(reply.headers), reply.body)
        if result.outcome is not Outcome.NOT_RUN:
            status = (
                TIMEOUT_STATUS
                if reply.reason is Reason.DEADLINE
                else UNKNOWN_OUTCOME_STATUS
            )
            return plain_answer(status, f"outcome unknown: {reply.reason.value}")
        status = _STATUS_BY_REASON.get(reply.reason, NOT_RUN_STATUS)
        answer = plain_answer(status, f"not run: {reply.reason.value}")
        if status == NOT_RUN_STATUS:
            answer.headers["Retry-After"] = _retry_after(reply)
        return answer


def _retry_after(reply: object) -> str:
    wait_ms = reply.retry_after_ms if isinstance(reply, Refused) else 0.0
    return f"{(wait_ms or DEFAULT_RETRY_AFTER_MS) / MS_PER_SECOND:.3f}"


def _invalid_request(text: str) -> InvalidInputError:
    return InvalidInputError(text, step="read request", peer="caller")
