"""What a request to a backend server looks like, and what its answers mean."""

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
    from .own_server import Announcement

HTTP_UNAVAILABLE = 503


class BackendProtocol(Protocol):
    """Translates between calls and the HTTP that a backend server speaks."""

    def request_headers(
        self,
        call: Call,
        announcement: Announcement,
        context_id: str,
        budget_ms: int,
    ) -> CIMultiDict[str]:
        """Build the headers of a request.

        :param call: the call
        :param announcement: the backend server that it goes to
        :param context_id: names the running request in its own further calls
        :param budget_ms: time left until the deadline
        :return: all headers but those of the connection
        """

    def belongs(self, call: Call, status: int, headers: Mapping[str, str]) -> bool:
        """Tell whether an answer is that of a call.

        :param call: the call that waits
        :param status: status of the answer
        :param headers: headers of the answer
        :return: false for the late answer of another request
        """

    def verdict(
        self, call: Call, status: int, headers: Mapping[str, str]
    ) -> Refused | Failed | None:
        """Read the head of an answer that is none of the service.

        :param call: the call
        :param status: status of the answer
        :param headers: headers of the answer
        :return: what it stands for, None if it is an answer to be passed on
        """


class NativeBackendProtocol:
    """The project's own interface of backend servers."""

    def request_headers(
        self,
        call: Call,
        announcement: Announcement,
        context_id: str,
        budget_ms: int,
    ) -> CIMultiDict[str]:
        """Pass the caller's headers on, with those of the protocol."""
        host, port = announcement.address
        headers = CIMultiDict(http_headers.strip_hop_by_hop(call.headers))
        headers["Host"] = f"{host}:{port}"
        headers[http_headers.CONTEXT] = context_id
        headers[http_headers.REQUEST_KEY] = call.request_key
        headers[http_headers.DEADLINE_MS] = str(budget_ms)
        return headers

    def belongs(self, call: Call, status: int, headers: Mapping[str, str]) -> bool:
        """Answers carry no id and are matched by their order."""
        return True

    def verdict(
        self, call: Call, status: int, headers: Mapping[str, str]
    ) -> Refused | Failed | None:
        """Recognise a request that the backend server shed."""
        if status == HTTP_UNAVAILABLE and http_headers.SHED in headers:
            return Refused(
                Reason.OVERLOAD, "shed by the backend server", reached_server=True
            )
        return None
