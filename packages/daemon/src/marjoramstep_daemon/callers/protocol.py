"""What a request of a caller looks like, and how its result is told."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason

from ..calls import Answer
from ..calls import Refused
from ..http.message import HttpAnswer
from .entry import EntryResult
from .entry_request import BadKeyError
from .entry_request import parse_request
from .http_connection import plain_answer
from .responses import headers_of
from .responses import status_of


if TYPE_CHECKING:
    from marjoramstep_core.errors import InvalidInputError

    from ..http.message import HttpRequest
    from .entry_request import EntryRequest


class CallerProtocol(Protocol):
    """Translates between the HTTP of callers and requests of the product."""

    def parse(self, request: HttpRequest) -> EntryRequest:
        """Read a request.

        :param request: the request as received
        :return: the request of the product
        :raises InvalidInputError: if it is not valid
        """

    def refuse(self, error: InvalidInputError) -> HttpAnswer:
        """Build the answer to a request that is not valid.

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
    """The project's own interface of callers."""

    def parse(self, request: HttpRequest) -> EntryRequest:
        """Read the headers of the protocol."""
        return parse_request(
            request.method,
            request.target,
            request.headers,
            request.raw_headers,
            request.body,
        )

    def refuse(self, error: InvalidInputError) -> HttpAnswer:
        """Answer 400 with the outcome ``not-run``."""
        is_key = isinstance(error, BadKeyError)
        reason = Reason.BAD_KEY if is_key else Reason.BAD_REQUEST
        reply = Refused(reason, error.message)
        return self.render(EntryResult(reply, Outcome.NOT_RUN, "", ""), 0.0)

    def render(self, result: EntryResult, table_age_ms: float) -> HttpAnswer:
        """State the outcome and its reason in headers."""
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
