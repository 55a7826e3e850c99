"""Requests of the platform's clients and the answers to them."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason
from marjoramstep_daemon.callers.entry_request import EntryRequest
from marjoramstep_daemon.callers.http_connection import plain_answer
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Refused
from marjoramstep_daemon.http.message import HttpAnswer
from marjoramstep_daemon.http_headers import select_forwarded_headers
from multidict import CIMultiDict

from . import headers as names


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_daemon.callers.entry import EntryResult
    from marjoramstep_daemon.http.message import HttpRequest

MS_PER_SECOND = 1_000.0
# A server makes up the id of a call from that of the request that it runs. A call whose
# id does not begin so is treated as a request of a client.
PARENT_SEPARATOR = "."
# Long enough for a table, a member or a slot to appear, where nothing better is known.
DEFAULT_RETRY_AFTER_MS = 100.0
_WHOLE_MS = re.compile(r"\d{1,9}")
_ATTEMPT_ID = re.compile(r"[!-~]{1,128}")
_TARGET = re.compile(r"/[!-~]*")
_NOT_RUN_STATUS = {
    Reason.NO_ROUTE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
}
NOT_RUN = 503
UNKNOWN = 502
TIMED_OUT = 504


class PlatformCallerProtocol:
    """Requests are routed by host and path and carry an id of the attempt.

    :param own_service: returns the service of the backend server on this VM
    :param find_context: returns the context of a request that runs at that server
    """

    def __init__(
        self,
        own_service: Callable[[], str],
        find_context: Callable[[str], str | None],
    ) -> None:
        self._own_service = own_service
        self._find_context = find_context

    def parse(self, request: HttpRequest) -> EntryRequest:
        """Read the headers of a request.

        :param request: the request as received
        :return: the request of the product
        :raises InvalidInputError: if it is not valid
        """
        host = request.headers.get("Host", "").rpartition("]")[2].partition(":")[0]
        attempt_id = request.headers.get(names.ATTEMPT_ID, "")
        timeout = request.headers.get(names.TIMEOUT_MS)
        if not host or not _TARGET.fullmatch(request.target):
            raise _fault("expected a host and a path that starts with '/'")
        if not _ATTEMPT_ID.fullmatch(attempt_id):
            raise _fault(f"{names.ATTEMPT_ID}: expected 1 to 128 printable characters")
        if timeout is not None and not _WHOLE_MS.fullmatch(timeout):
            raise _fault(f"{names.TIMEOUT_MS}: expected whole milliseconds")
        passed_on = select_forwarded_headers(request.raw_headers, names.SET_BY_SYSTEM)
        passed_on.append(("Host", request.headers["Host"]))
        passed_on.append((names.CALLER_SERVICE, self._own_service()))
        return EntryRequest(
            service=ServiceName(""),
            method=request.method,
            path=request.target,
            headers=passed_on,
            body=request.body,
            request_key=None,
            deadline_ms=None if timeout is None else float(timeout),
            context_id=self._find_context(attempt_id.rpartition(PARENT_SEPARATOR)[0]),
            host=host,
            request_id=attempt_id,
            peer_host=request.peer_host,
        )

    def refuse(self, error: InvalidInputError) -> HttpAnswer:
        """Answer a request that is not valid.

        :param error: what is wrong with it
        :return: status 400
        """
        return plain_answer(400, error.message)

    def render(self, result: EntryResult, table_age_ms: float) -> HttpAnswer:
        """Pass an answer on, or state whether the request ran.

        :param result: its result
        :param table_age_ms: not told to clients of the platform
        :return: the answer
        """
        reply = result.reply
        if isinstance(reply, Answer):
            return HttpAnswer(reply.status, CIMultiDict(reply.headers), reply.body)
        if result.outcome is not Outcome.NOT_RUN:
            status = TIMED_OUT if reply.reason is Reason.DEADLINE else UNKNOWN
            return plain_answer(status, f"outcome unknown: {reply.reason.value}")
        status = _NOT_RUN_STATUS.get(reply.reason, NOT_RUN)
        answer = plain_answer(status, f"not run: {reply.reason.value}")
        if status == NOT_RUN:
            answer.headers["Retry-After"] = _retry_after(reply)
        return answer


def _retry_after(reply: object) -> str:
    wait_ms = reply.retry_after_ms if isinstance(reply, Refused) else 0.0
    return f"{(wait_ms or DEFAULT_RETRY_AFTER_MS) / MS_PER_SECOND:.3f}"


def _fault(text: str) -> InvalidInputError:
    return InvalidInputError(text, step="read request", peer="caller")
