"""HTTP protocol between a node and its backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from marjoramstep_core.states import Reason
from multidict import CIMultiDict

from .. import http_headers
from ..calls import Refused


if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..calls import Call
    from ..calls import Failed
    from .announcement import Announcement

HTTP_UNAVAILABLE = 503


class BackendProtocol(Protocol):
    """Translates calls to HTTP requests and classifies the answers."""

    def request_headers(
        self,
        call: Call,
        announcement: Announcement,
        context_id: str,
        budget_ms: int,
    ) -> CIMultiDict[str]:
        """Build the headers of a request.

        :param call: the call
        :param announcement: announcement of the target backend server
        :param context_id: identifies the running request in its sub-calls
        :param budget_ms: time left until the deadline
        :return: all headers except hop-by-hop ones
        """

    def matches(
        self, call: Call, status: int, headers: Mapping[str, str], *, is_first: bool
    ) -> bool:
        """Check whether an answer belongs to a call.

        :param call: the call that is waiting for its answer
        :param status: status of the answer
        :param headers: headers of the answer
        :param is_first: whether the connection has carried no other request
        :return: false for a late answer to another request
        """

    def classify(
        self, call: Call, status: int, headers: Mapping[str, str]
    ) -> Refused | Failed | None:
        """Recognise an answer that is a refusal or a failure.

        :param call: the call
        :param status: status of the answer
        :param headers: headers of the answer
        :return: the refusal or failure, None if the answer goes to the caller
        """


class NativeBackendProtocol:
    """Native HTTP protocol of backend servers."""

    def request_headers(
        self,
        call: Call,
        announcement: Announcement,
        context_id: str,
        budget_ms: int,
    ) -> CIMultiDict[str]:
        """Forward the caller's headers and add those of the protocol."""
        host, port = announcement.address
        headers = CIMultiDict(http_headers.select_forwarded_headers(call.headers))
        headers["Host"] = f"{host}:{port}"
        headers[http_headers.CONTEXT] = context_id
        headers[http_headers.REQUEST_KEY] = call.request_key
        headers[http_headers.DEADLINE_MS] = str(budget_ms)
        return headers

    def matches(
        self, call: Call, status: int, headers: Mapping[str, str], *, is_first: bool
    ) -> bool:
        """Accept each answer; answers carry no id and are matched by their order."""
        return True

    def classify(
        self, call: Call, status: int, headers: Mapping[str, str]
    ) -> Refused | Failed | None:
        """Recognise a request that the backend server has shed."""
        if status == HTTP_UNAVAILABLE and http_headers.SHED in headers:
            return Refused(
                Reason.OVERLOAD, "shed by the backend server", reached_server=True
            )
        return None
