"""Result of a request, and whether the request ran."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason

from ..calls import Answer
from ..calls import Failed
from ..calls import Refused
from ..retry_after import NOT_READY_RETRY_AFTER


if TYPE_CHECKING:
    from marjoramstep_core.table import Row

    from ..calls import Reply


@dataclass(slots=True)
class EntryResult:
    """Result of a request as reported to the caller.

    :param reply: the last reply
    :param outcome: whether the request ran, as far as this node knows
    :param request_key: key of the request, generated if the caller gave none
    :param row_name: name of the request's row, empty if there is none
    """

    reply: Reply
    outcome: Outcome
    request_key: str
    row_name: str

    def downgrade_to_unknown(self) -> None:
        """Change the outcome from not-run to unknown: another attempt may have run."""
        if self.outcome is Outcome.NOT_RUN:
            self.outcome = Outcome.UNKNOWN


def make_refusal(reason: Reason, key: str, row_name: str) -> EntryResult:
    """Return the result of a request that was refused before any attempt.

    :param reason: why it is refused
    :param key: key of the request
    :param row_name: name of its row, empty if there is none
    :return: a result with the outcome not-run
    """
    refused = Refused(reason)
    if reason is Reason.NO_TABLE:
        refused.retry_after_ms = NOT_READY_RETRY_AFTER.next_ms()
    return EntryResult(refused, Outcome.NOT_RUN, key, row_name)


def make_result(reply: Reply, key: str, row: Row, may_have_run: bool) -> EntryResult:
    """Return the result of a request that was dispatched.

    :param reply: the last reply
    :param key: key of the request
    :param row: its row
    :param may_have_run: whether an attempt without an answer may have run
    :return: its result
    """
    if isinstance(reply, Answer):
        outcome = reply.outcome
    elif isinstance(reply, Failed) or may_have_run:
        outcome = Outcome.UNKNOWN
    else:
        outcome = Outcome.NOT_RUN
    return EntryResult(reply, outcome, key, row.name)
