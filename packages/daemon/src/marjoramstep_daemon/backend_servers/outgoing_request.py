"""Request to the local backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Mapping

    from marjoramstep_core.ids import RequestKey
    from multidict import CIMultiDict

    from ..calls import Body


class AnswerMatcher(Protocol):
    """Decides whether an answer belongs to a request."""

    def __call__(
        self, status: int, headers: Mapping[str, str], *, is_first: bool
    ) -> bool:
        """Check an answer.

        :param status: status of the answer
        :param headers: headers of the answer
        :param is_first: whether the connection has carried no other request
        :return: false for a late answer to another request
        """


@dataclass(frozen=True)
class OutgoingRequest:
    """A request to the backend server.

    :param matches: decides whether an answer belongs to this request
    """

    request_key: RequestKey
    method: str
    target: str
    headers: CIMultiDict[str]
    body: Body
    matches: AnswerMatcher
