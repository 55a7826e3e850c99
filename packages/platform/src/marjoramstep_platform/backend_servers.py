"""Requests to the platform's servers and what their answers mean."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.states import Reason
from marjoramstep_daemon.calls import Failed
from marjoramstep_daemon.calls import Refused
from multidict import CIMultiDict

from . import headers as names


if TYPE_CHECKING:
    from collections.abc import Mapping

    from marjoramstep_daemon.backend_servers.local_server import Announcement
    from marjoramstep_daemon.calls import Call

MISDIRECTED = 421
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
FIRST_FAILURE = 400


class PlatformBackendProtocol:
    """Requests name the incarnation that may run them; answers echo their id."""

    def request_headers(
        self,
        call: Call,
        announcement: Announcement,
        context_id: str,
        budget_ms: int,
    ) -> CIMultiDict[str]:
        """Build the headers of a request.

        :param call: the call, with the headers that are passed on
        :param announcement: the backend server that it goes to
        :param context_id: not told to servers of the platform
        :param budget_ms: time left until the deadline
        :return: all headers but those of the connection
        """
        headers = CIMultiDict(call.headers)
        headers[names.TIMEOUT_MS] = str(budget_ms)
        if announcement.instance:
            headers[names.EXPECTED_INSTANCE] = announcement.instance
        return headers

    def matches(self, call: Call, status: int, headers: Mapping[str, str]) -> bool:
        """Compare the echoed id; only a failure may lack it.

        :param call: the call that waits
        :param status: status of the answer
        :param headers: headers of the answer
        :return: false for the late answer of another request
        """
        echoed = headers.get(names.ATTEMPT_ID)
        if echoed is None:
            return status >= FIRST_FAILURE
        return echoed == call.request_key

    def classify(
        self, call: Call, status: int, headers: Mapping[str, str]
    ) -> Refused | Failed | None:
        """Recognise refusals of the server and answers that are not its own.

        :param call: the call
        :param status: status of the answer
        :param headers: headers of the answer
        :return: what it stands for, None if it is an answer to be passed on
        """
        if status == MISDIRECTED:
            return Refused(Reason.NO_SERVER, "another incarnation", reached_server=True)
        if names.NOT_EXECUTED in headers:
            return Refused(
                Reason.OVERLOAD, "shed by the backend server", reached_server=True
            )
        if "Content-Encoding" in headers:
            return Failed(Reason.BAD_ANSWER, "an encoded body")
        is_success = FIRST_SUCCESS <= status < FIRST_REDIRECT
        if is_success and names.SERVER_SIGNATURE not in headers:
            return Failed(Reason.BAD_ANSWER, "a success without a signature")
        return None
