"""What the reply to a call says about the backend server, for routing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.states import Reason
from marjoramstep_policy.routing import CallResult

from ..calls import Answer
from ..calls import Failed


if TYPE_CHECKING:
    from ..calls import Reply

# The backend server is draining or unreachable; another one can take the call.
UNAVAILABLE_REASONS = frozenset(
    {Reason.DRAINING, Reason.SHUTTING_DOWN, Reason.NO_SERVER}
)
# The backend server is at its limit; another one may have spare capacity.
AT_LIMIT_REASONS = frozenset({Reason.OVERLOAD, Reason.QUEUE_FULL})


def call_result(reply: Reply | None) -> CallResult:
    """Classify the reply to a call.

    :param reply: the reply, None if the call was cancelled before one
    :return: ``CANCELLED`` if the reply says nothing about the server
    """
    if reply is None:
        return CallResult.CANCELLED
    if isinstance(reply, Answer):
        return CallResult.ANSWERED
    if isinstance(reply, Failed):
        # The attempt that holds the claim may run on any server. This one did not run
        # the call.
        is_elsewhere = reply.reason is Reason.RUNNING
        return CallResult.CANCELLED if is_elsewhere else CallResult.FAILED
    if reply.reason in UNAVAILABLE_REASONS:
        return CallResult.REFUSED_DRAINING
    if reply.reason in AT_LIMIT_REASONS or reply.reason is Reason.EVICTED:
        return CallResult.REFUSED_OVERLOAD
    return CallResult.CANCELLED
