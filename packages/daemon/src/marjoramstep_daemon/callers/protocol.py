"""Protocols for requests of callers and their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason

from ..calls import Answer
from ..calls import Refused
from ..http.body_reader import BodyTimeoutError
from ..http.message import HttpAnswer
from ..http.message import plain_answer
from .entry_request import BadKeyError
from .entry_request import parse_request
from .entry_result import EntryResult
from .responses import headers_of
from .responses import status_of


if TYPE_CHECKING:
    from marjoramstep_core.errors import InvalidInputError

    from ..http.message import HttpRequest
    from .entry_request import EntryRequest


class CallerProtocol(Protocol):
    """Converts HTTP requests to entry requests and results to HTTP answers."""

    def parse(self, request: HttpRequest) -> EntryRequest:
        """Parse a request.

        :param request: the request as received
        :return: the parsed request
        :raises InvalidInputError: if it is not valid
        """

    def refuse(self, error: InvalidInputError) -> HttpAnswer:
        """Build the answer to an invalid request.

        :param error: what is wrong with it
        :return: the answer
        """

    def render(self, result: EntryResult, table_age_ms: float) -> HttpAnswer:
        """Build the answer to a request.

        :param result: its result
        :param table_age_ms: time since a quorum confirmed the table in force
        :return: the answer
        """


class NativeCallerProtocol:
    """The native protocol: ``Marjoramstep-*`` headers over HTTP."""

    def parse(self, request: HttpRequest) -> EntryRequest:
        """Parse the headers of the native protocol."""
        return parse_request(
            request.method,
            request.target,
            request.headers,
            request.raw_headers,
            request.body,
        )

    def refuse(self, error: InvalidInputError) -> HttpAnswer:
        """Answer 400, or 408 to a late body, with the outcome ``not-run``."""
        reply = Refused(_reason_of(error), error.message)
        return self.render(EntryResult(reply, Outcome.NOT_RUN, "", ""), 0.0)

    def render(self, result: EntryResult, table_age_ms: float) -> HttpAnswer:
        """Return the outcome and its reason in headers."""
        reply = result.reply
        headers = headers_of(result, table_age_ms)
        if isinstance(reply, Answer):
            return HttpAnswer(reply.status, headers, reply.body)
        text = f"{result.outcome.value}: {reply.reason.value}"
        if reply.detail:
            text += f" ({reply.detail})"
        answer = plain_answer(status_of(result), text)
        answer.headers.extend(headers)
        return answer


def _reason_of(error: InvalidInputError) -> Reason:
    if isinstance(error, BadKeyError):
        return Reason.BAD_KEY
    if isinstance(error, BodyTimeoutError):
        return Reason.BODY_TIMEOUT
    return Reason.BAD_REQUEST
