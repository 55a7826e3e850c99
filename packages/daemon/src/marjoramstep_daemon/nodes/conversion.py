"""Conversion between calls or replies and wire messages."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import TypeVar

from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason
from marjoramstep_wire.messages import AnswerStart
from marjoramstep_wire.messages import CallFailed
from marjoramstep_wire.messages import CallStart
from marjoramstep_wire.messages import Header
from marjoramstep_wire.messages import LoadReport
from marjoramstep_wire.messages import Refusal

from ..calls import UNKNOWN_LENGTH
from ..calls import Answer
from ..calls import Body
from ..calls import Failed
from ..calls import Refused


if TYPE_CHECKING:
    from marjoramstep_wire.messages import Message

    from ..calls import Call
    from ..calls import HeaderList
    from ..calls import Reply

E = TypeVar("E", bound=Enum)
# Sent with a reply if the load is not known. An admitted weight of 0 means that nothing
# is shed; nodes do not read the state of the server in a load report.
UNKNOWN_LOAD = LoadReport(
    in_flight=0,
    limit=0,
    queue_length=0,
    queue_delay_ms=0.0,
    admitted_weight=0,
    pressures=[],
    server_state="gone",
)


def to_call_start(
    call: Call, stream_id: int, budget_ms: float, table_version: int
) -> CallStart:
    """Convert a call to the message that starts it.

    :param call: the call
    :param stream_id: id of the stream on the connection
    :param budget_ms: time left until the deadline
    :param table_version: table version in force at the sender
    :return: the message, with the first part of the body
    """
    return CallStart(
        stream_id=stream_id,
        service_name=call.service,
        method=call.method,
        path=call.path,
        headers=_to_headers(call.headers),
        body=call.body.data,
        body_complete=call.body.is_complete,
        request_key=call.request_key,
        root_id=call.root_id,
        row_name=call.row.name,
        weight=call.weight,
        depth=call.depth,
        budget_ms=budget_ms,
        retry_tokens=call.retry_tokens,
        table_version=table_version,
        size_class=call.size_class.value,
        repeatable=call.row.repeatable,
        body_length=call.body.length,
        may_move_on=call.may_move_on,
        # Rare, and left out if false.
        is_repeat=call.is_repeat or None,
        runs_again=call.runs_again or None,
    )


def to_message(reply: Reply, stream_id: int, table_version: int) -> Message:
    """Convert a reply to its first message.

    :param reply: the reply
    :param stream_id: id of the stream on the connection
    :param table_version: table version in force at the sender
    :return: ``AnswerStart``, ``Refusal`` or ``CallFailed``
    """
    load = reply.load or UNKNOWN_LOAD
    if isinstance(reply, Answer):
        return AnswerStart(
            stream_id=stream_id,
            status=reply.status,
            headers=_to_headers(reply.headers + reply.extra_headers),
            body=reply.body.data,
            body_complete=reply.body.is_complete,
            outcome=reply.outcome.value,
            reason=reply.reason.value if reply.reason else "",
            retry_tokens=reply.retry_tokens,
            load=load,
            table_version=table_version,
        )
    if isinstance(reply, Refused):
        return Refusal(
            stream_id=stream_id,
            reason=reply.reason.value,
            detail=reply.detail,
            retry_tokens=reply.retry_tokens,
            load=load,
            table_version=table_version,
            retry_after_ms=reply.retry_after_ms,
            reached_server=reply.reached_server,
        )
    return CallFailed(
        stream_id=stream_id,
        reason=reply.reason.value,
        detail=reply.detail,
        retry_tokens=reply.retry_tokens,
        load=load,
        table_version=table_version,
        crash_suspect=reply.crash_suspect,
    )


def to_answer(message: AnswerStart) -> Answer:
    """Convert the message that starts an answer.

    :param message: the message
    :return: the answer; its body holds the first part only
    :raises ProtocolError: if the outcome, the reason or the retry tokens are invalid
    """
    length = len(message.body) if message.body_complete else UNKNOWN_LENGTH
    return Answer(
        status=message.status,
        headers=from_headers(message.headers),
        body=Body(message.body, length=length),
        retry_tokens=_checked_retry_tokens(message.retry_tokens),
        load=message.load,
        outcome=_parse_enum(Outcome, message.outcome),
        reason=_parse_enum(Reason, message.reason) if message.reason else None,
    )


def to_refused(message: Refusal) -> Refused:
    """Convert a refusal message.

    :param message: the message
    :return: the reply
    :raises ProtocolError: if the reason or the retry tokens are invalid
    """
    return Refused(
        _parse_enum(Reason, message.reason),
        message.detail,
        _checked_retry_tokens(message.retry_tokens),
        message.load,
        message.retry_after_ms,
        message.reached_server,
    )


def to_failed(message: CallFailed) -> Failed:
    """Convert a failure message.

    :param message: the message
    :return: the reply
    :raises ProtocolError: if the reason or the retry tokens are invalid
    """
    return Failed(
        _parse_enum(Reason, message.reason),
        message.detail,
        _checked_retry_tokens(message.retry_tokens),
        message.load,
        message.crash_suspect,
    )


def from_headers(headers: list[Header]) -> HeaderList:
    """Convert the headers of a message.

    :param headers: header structs of the message
    :return: pairs of name and value
    """
    return [(header.name, header.value) for header in headers]


def _parse_enum(kind: type[E], value: str) -> E:
    try:
        return kind(value)
    except ValueError as error:
        raise ProtocolError(str(error), step="receive reply") from error


def _checked_retry_tokens(tokens: int) -> int:
    if tokens < 0:
        raise ProtocolError("negative retry tokens", step="receive reply")
    return tokens


def _to_headers(headers: HeaderList) -> list[Header]:
    return [Header(name=name, value=value) for name, value in headers]
