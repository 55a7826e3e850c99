"""Requests to the platform's backend servers and the meaning of their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.states import Reason
from marjoramstep_daemon.calls import Failed
from marjoramstep_daemon.calls import Refused
from multidict import CIMultiDict

from . import headers as names


if TYPE_CHECKING:
    from collections.abc import Mapping

    from marjoramstep_daemon.backend_servers.announcement import Announcement
    from marjoramstep_daemon.calls import Call

# Sent by a server that is not the one named by Expected-Instance; the expected one does
# not run at this address.
MISDIRECTED_STATUS = 421
FIRST_SUCCESS_STATUS = 200
FIRST_REDIRECT_STATUS = 300
FIRST_ERROR_STATUS = 400


class PlatformBackendProtocol:
    """Addresses each request to one server incarnation and checks the echoed id."""

    def request_headers(
        self,
        call: Call,
        announcement: Announcement,
        context_id: str,
        budget_ms: int,
    ) -> CIMultiDict[str]:
        """Build the headers of a request.

        :param call: the call, with the headers to forward
        :param announcement: announcement of the backend server that gets the request
        :param context_id: not sent to the platform's servers
        :param budget_ms: time left until the deadline
        :return: all headers except connection headers
        """
        headers = CIMultiDict(call.headers)
        headers[names.TIMEOUT_MS] = str(budget_ms)
        if announcement.instance:
            headers[names.EXPECTED_INSTANCE] = announcement.instance
        return headers

    def matches(
        self, call: Call, status: int, headers: Mapping[str, str], *, is_first: bool
    ) -> bool:
        """Check that the response echoes the id of the call.

        A response without an id is accepted if its status is 400 or more and no other
        request was sent on its connection: a late copy of an earlier one has no id
        either.

        :param call: the call that waits for the response
        :param status: status of the response
        :param headers: headers of the response
        :param is_first: whether the connection has carried no other request
        :return: false if the response belongs to another request
        """
        echoed = headers.get(names.ATTEMPT_ID)
        if echoed is None:
            return is_first and status >= FIRST_ERROR_STATUS
        return echoed == call.request_key

    def classify(
        self, call: Call, status: int, headers: Mapping[str, str]
    ) -> Refused | Failed | None:
        """Recognise refusals and responses that the server did not produce.

        :param call: the call
        :param status: status of the response
        :param headers: headers of the response
        :return: a refusal or failure, None for a response to forward
        """
        if status == MISDIRECTED_STATUS:
            return Refused(
                Reason.NO_SERVER,
                "server is not the expected incarnation",
                reached_server=True,
            )
        if names.NOT_EXECUTED in headers:
            return Refused(
                Reason.OVERLOAD, "shed by the backend server", reached_server=True
            )
        if "Content-Encoding" in headers:
            return Failed(Reason.BAD_ANSWER, "response has a Content-Encoding")
        is_success = FIRST_SUCCESS_STATUS <= status < FIRST_REDIRECT_STATUS
        if is_success and names.SERVER_SIGNATURE not in headers:
            return Failed(Reason.BAD_ANSWER, "success response without signature")
        return None
