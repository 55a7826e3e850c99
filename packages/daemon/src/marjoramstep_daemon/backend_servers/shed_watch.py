"""Holds calls back while the backend server turns requests away."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.states import Reason

from ..calls import Answer
from ..calls import Refused


if TYPE_CHECKING:
    from marjoramstep_policy.admission import ShedBreaker

    from ..calls import Call
    from ..calls import Reply
    from ..log import EventLog
    from .own_server import OwnServer


class ShedWatch:
    """Tells the breaker what became of requests and logs its changes.

    :param breaker: the decision
    :param own_server: the backend server beside this node
    :param log: told each change
    """

    def __init__(
        self, breaker: ShedBreaker, own_server: OwnServer, log: EventLog
    ) -> None:
        self._breaker = breaker
        self._own_server = own_server
        self._log = log
        self._incarnation = 0

    def check(self, call: Call) -> Refused | None:
        """Decide whether a call may be sent now.

        :param call: a call that has been admitted
        :return: the refusal of this node, None if the call may be sent
        """
        self._follow_incarnation()
        if self._breaker.admits():
            return None
        return Refused(
            Reason.OVERLOAD,
            "the backend server turns requests away",
            call.retry_tokens,
            retry_after_ms=self._breaker.retry_after_ms(),
        )

    def note(self, reply: Reply) -> None:
        """Note the reply to a call that was sent.

        :param reply: its reply
        """
        was_open = self._breaker.is_open
        if isinstance(reply, Answer):
            self._breaker.accepted()
        elif (
            isinstance(reply, Refused)
            and reply.reached_server
            and reply.reason is Reason.OVERLOAD
        ):
            self._breaker.refused()
        if self._breaker.is_open != was_open:
            self._log.write(
                "backend server accepts again" if was_open else "backend server sheds",
                step="serve call",
                peer="backend server",
                incarnation=self._incarnation,
            )

    def _follow_incarnation(self) -> None:
        announcement = self._own_server.announcement
        incarnation = 0 if announcement is None else announcement.incarnation
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._breaker.reset()
