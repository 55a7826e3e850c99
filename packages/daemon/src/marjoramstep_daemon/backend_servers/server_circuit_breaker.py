"""Circuit breaker for calls to a backend server that sheds requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.states import Reason

from ..calls import Answer
from ..calls import Refused


if TYPE_CHECKING:
    from marjoramstep_policy.admission import CircuitBreaker

    from ..calls import Call
    from ..calls import Reply
    from ..log import EventLog
    from .local_server import LocalServer


class ServerCircuitBreaker:
    """Feeds replies to the circuit breaker and logs when it opens or closes.

    :param breaker: circuit breaker policy
    :param local_server: the local backend server
    :param log: event log, which records when the breaker opens or closes
    """

    def __init__(
        self, breaker: CircuitBreaker, local_server: LocalServer, log: EventLog
    ) -> None:
        self._breaker = breaker
        self._local_server = local_server
        self._log = log
        self._incarnation = 0

    def check(self, call: Call) -> Refused | None:
        """Decide whether a call may be sent now.

        :param call: a call that has been admitted
        :return: the refusal, None if the call may be sent
        """
        self._reset_on_restart()
        if self._breaker.admits():
            return None
        return Refused(
            Reason.OVERLOAD,
            "the circuit breaker of the backend server is open",
            call.retry_tokens,
            retry_after_ms=self._breaker.retry_after_ms(),
        )

    def record(self, reply: Reply) -> None:
        """Record the reply to a call that was sent to the backend server.

        :param reply: the reply
        """
        was_open = self._breaker.is_open
        if isinstance(reply, Answer):
            self._breaker.record_acceptance()
        elif (
            isinstance(reply, Refused)
            and reply.reached_server
            and reply.reason is Reason.OVERLOAD
        ):
            self._breaker.record_refusal()
        if self._breaker.is_open != was_open:
            self._log.write(
                "backend server accepts again" if was_open else "backend server sheds",
                step="serve call",
                peer="backend server",
                incarnation=self._incarnation,
            )

    def _reset_on_restart(self) -> None:
        announcement = self._local_server.announcement
        incarnation = 0 if announcement is None else announcement.incarnation
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._breaker.reset()
