"""Client side of the connection to another node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_core.errors import ConnectionFailedError
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.states import Reason
from marjoramstep_wire.messages import AnswerStart
from marjoramstep_wire.messages import BodyPart
from marjoramstep_wire.messages import CallFailed
from marjoramstep_wire.messages import Cancel
from marjoramstep_wire.messages import CancelReply
from marjoramstep_wire.messages import Credit
from marjoramstep_wire.messages import Ping
from marjoramstep_wire.messages import Refusal

from ..calls import Answer
from ..calls import Failed
from ..calls import Refused
from .body_stream import CreditWindow
from .body_stream import IncomingBody
from .body_stream import send_rest
from .conversion import to_answer
from .conversion import to_call_start
from .conversion import to_failed
from .conversion import to_refused


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.clock import Clock
    from marjoramstep_wire.connection import PeerConnection
    from marjoramstep_wire.messages import Message

    from ..calls import Call
    from ..calls import Reply

# How long a call waits after its deadline for the reply to its cancellation, which
# says whether the call ran.
CANCEL_REPLY_TIMEOUT_SECONDS = 0.1
SECOND_MS = 1_000.0
# A peer with calls in flight is pinged after this time without a message from it.
PING_IDLE_SECONDS = 0.3
# Longer than a slow peer takes to answer a ping, shorter than half of the default
# deadline of a row (5 s), so that a retry can still succeed.
PING_TIMEOUT_SECONDS = 0.7


class _Stream:
    """State of one call on the connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop, *, repeatable: bool) -> None:
        self.repeatable = repeatable
        self.reply: asyncio.Future[Reply] = loop.create_future()
        self.window = CreditWindow()
        self.incoming: IncomingBody | None = None
        self.sender: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def finish(self, reply: Reply) -> None:
        if not self.reply.done():
            self.reply.set_result(reply)


class NodeLink:
    """Multiplexes calls over one connection to one node.

    Replies are matched by their stream id. Stream ids are never reused on a connection,
    so a late reply matches no stream and is only counted.

    :param clock: clock of the node
    :param table_version: returns the table version in force
    :param on_peer_version: called with each table version that the peer reports
    """

    def __init__(
        self,
        clock: Clock,
        table_version: Callable[[], int],
        on_peer_version: Callable[[int], None],
    ) -> None:
        # Stored, because looking up the running loop costs a system call.
        self._loop = asyncio.get_running_loop()
        self._clock = clock
        self._table_version = table_version
        self._on_peer_version = on_peer_version
        self._streams: dict[int, _Stream] = {}
        self._next_stream_id = 1
        self._connection: PeerConnection | None = None
        self._ping_sent_seconds: float | None = None
        self._unanswered_ping_seconds: float | None = None
        self.late_replies = 0

    @property
    def is_unresponsive(self) -> bool:
        """Whether the peer has sent nothing since a ping that timed out.

        Anything that the peer sends ends this, also after the last call has ended.
        """
        connection = self._connection
        if connection is None or not connection.is_open:
            return False
        pinged = self._unanswered_ping_seconds
        return pinged is not None and connection.last_received_at_seconds < pinged

    @property
    def is_open(self) -> bool:
        """Whether calls can be started."""
        connection = self._connection
        is_connected = connection is not None and connection.is_open
        return is_connected and not self.is_unresponsive

    def check_liveness(self, now_seconds: float) -> bool:
        """Ping a peer with calls in flight and detect that it no longer answers.

        A peer that does not answer may be partitioned or suspended. Its repeatable
        calls then fail, so that they can be retried elsewhere. The other calls keep
        waiting, because their answers may still arrive.

        :param now_seconds: time of the event loop
        :return: whether the ping has just timed out
        """
        connection = self._connection
        if connection is None or not connection.is_open or not self._streams:
            self._ping_sent_seconds = None
            return False
        heard = connection.last_received_at_seconds
        pinged = self._ping_sent_seconds
        if pinged is not None and heard >= pinged:
            self._ping_sent_seconds = pinged = None
        if pinged is None:
            if now_seconds - heard > PING_IDLE_SECONDS:
                self._ping_sent_seconds = now_seconds
                connection.send(Ping(sequence=0))
            return False
        if self.is_unresponsive or now_seconds - pinged < PING_TIMEOUT_SECONDS:
            return False
        self._unanswered_ping_seconds = pinged
        self._fail_repeatable(connection)
        return True

    def _fail_repeatable(self, connection: PeerConnection) -> None:
        for stream_id, stream in list(self._streams.items()):
            if stream.repeatable and stream.incoming is None:
                self._send_cancel(connection, stream_id)
                stream.finish(
                    Failed(Reason.CONNECTION_LOST, "the peer does not answer pings")
                )

    @property
    def in_flight(self) -> int:
        """Number of calls that are waiting for a reply or its body."""
        return len(self._streams)

    def attach(self, connection: PeerConnection) -> None:
        """Set the connection to use.

        :param connection: open connection with a completed handshake
        """
        self._connection = connection

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()

    async def execute(self, call: Call) -> Reply:
        """Send a call and wait for its reply.

        :param call: the call
        :return: the peer's reply; ``Refused`` if there is no connection or if the peer
            confirmed after the deadline that the call never starts; ``Failed`` if the
            deadline expires otherwise or the connection is lost
        """
        connection = self._connection
        if connection is None or not connection.is_open:
            return Refused(
                Reason.NO_SERVER, "not connected to the node", call.retry_tokens
            )
        stream_id = self._next_stream_id
        self._next_stream_id += 1
        stream = _Stream(self._loop, repeatable=call.row.repeatable)
        self._streams[stream_id] = stream
        budget_ms = call.deadline_ms - self._clock.now_ms()
        version = self._table_version()
        try:
            connection.send(to_call_start(call, stream_id, budget_ms, version))
        except MarjoramstepError as error:
            self._streams.pop(stream_id, None)
            return Failed(Reason.CONNECTION_LOST, error.message)
        if not call.body.is_complete:
            stream.sender = self._loop.create_task(
                self._send_body(connection, stream_id, call, stream)
            )
        stream.timer = self._loop.call_later(
            max(budget_ms, 0.0) / SECOND_MS,
            self._on_deadline,
            connection,
            stream_id,
            stream,
        )
        reply = await self._wait(connection, stream_id, stream)
        if stream.sender is not None and not isinstance(reply, Answer):
            # The body may be sent to another node next.
            await asyncio.wait({stream.sender})
        return reply

    def on_message(self, connection: PeerConnection, message: Message) -> None:
        """Handle a message of the peer.

        :param connection: connection that received it
        :param message: the message
        :raises ProtocolError: if the message is not valid on the client side
        """
        stream = self._streams.get(getattr(message, "stream_id", 0))
        if isinstance(message, AnswerStart | Refusal | CallFailed):
            self._on_peer_version(message.table_version)
        if stream is None:
            self.late_replies += 1
            return
        if isinstance(message, AnswerStart):
            self._on_answer(connection, stream, message)
        elif isinstance(message, Refusal):
            stream.finish(to_refused(message))
        elif isinstance(message, CallFailed):
            self._on_failed(stream, message)
        elif isinstance(message, BodyPart):
            self._on_body_part(stream, message)
        elif isinstance(message, Credit):
            stream.window.add(message.credit_bytes, connection.peer)
        elif isinstance(message, CancelReply):
            stream.finish(_reply_to_cancelled(message))
        else:
            raise ProtocolError(
                f"unexpected {type(message).__name__}",
                step="receive reply",
                peer=connection.peer,
            )

    def on_closed(self, connection: PeerConnection, error: MarjoramstepError) -> None:
        """Fail all calls; it is unknown whether they ran.

        :param connection: the connection that closed
        :param error: why it closed
        """
        streams, self._streams = self._streams, {}
        for stream in streams.values():
            stream.window.fail(error)
            if stream.incoming is not None:
                stream.incoming.fail(error)
            stream.finish(Failed(Reason.CONNECTION_LOST, error.message))

    async def _wait(
        self, connection: PeerConnection, stream_id: int, stream: _Stream
    ) -> Reply:
        is_cancelled = True
        try:
            reply = await stream.reply
            is_cancelled = False
            return reply
        finally:
            if stream.timer is not None:
                stream.timer.cancel()
            if is_cancelled:
                self._send_cancel(connection, stream_id)
            if is_cancelled or stream.incoming is None:
                self._remove_stream(stream_id, stream)

    def _on_deadline(
        self, connection: PeerConnection, stream_id: int, stream: _Stream
    ) -> None:
        self._send_cancel(connection, stream_id)
        failed = Failed(Reason.DEADLINE, "no reply before the deadline")
        stream.timer = self._loop.call_later(
            CANCEL_REPLY_TIMEOUT_SECONDS, stream.finish, failed
        )

    def _send_cancel(self, connection: PeerConnection, stream_id: int) -> None:
        if not connection.is_open:
            return
        try:
            connection.send(Cancel(stream_id=stream_id))
        except ConnectionFailedError:
            # The connection is closed, so the peer cancels its calls.
            return

    def _remove_stream(self, stream_id: int, stream: _Stream) -> None:
        self._streams.pop(stream_id, None)
        if stream.timer is not None:
            stream.timer.cancel()
        if stream.sender is not None:
            stream.sender.cancel()

    def _on_answer(
        self, connection: PeerConnection, stream: _Stream, message: AnswerStart
    ) -> None:
        if stream.incoming is not None:
            # The body parts that follow could belong to either answer.
            raise ProtocolError(
                f"second answer on stream {message.stream_id}",
                step="receive reply",
                peer=connection.peer,
            )
        answer: Answer = to_answer(message)
        if not message.body_complete:
            stream.incoming = IncomingBody(connection, message.stream_id)
            answer.body.rest = stream.incoming
            answer.body.on_abandon = lambda: self._abandon(message.stream_id)
        stream.finish(answer)

    def _on_failed(self, stream: _Stream, message: CallFailed) -> None:
        if stream.incoming is not None:
            error = ConnectionFailedError(
                f"the answer was truncated: {message.detail}", step="receive answer"
            )
            stream.incoming.fail(error)
            self._remove_stream(message.stream_id, stream)
        stream.finish(to_failed(message))

    def _abandon(self, stream_id: int) -> None:
        stream = self._streams.get(stream_id)
        if stream is None or self._connection is None:
            return
        self._send_cancel(self._connection, stream_id)
        self._remove_stream(stream_id, stream)

    def _on_body_part(self, stream: _Stream, message: BodyPart) -> None:
        if stream.incoming is None:
            raise ProtocolError(
                "body part before the start of the answer", step="receive reply"
            )
        stream.incoming.feed(message)
        if message.last:
            self._remove_stream(message.stream_id, stream)

    async def _send_body(
        self, connection: PeerConnection, stream_id: int, call: Call, stream: _Stream
    ) -> None:
        try:
            await send_rest(connection, stream_id, call.body, stream.window)
        except MarjoramstepError as error:
            # The body was not sent in full, so the call must not run with a part of it.
            self._send_cancel(connection, stream_id)
            stream.finish(Failed(Reason.CANCELLED, error.message))


def _reply_to_cancelled(message: CancelReply) -> Reply:
    if message.ran:
        return Failed(Reason.DEADLINE, "deadline exceeded after the call had started")
    return Refused(Reason.DEADLINE, "the call was cancelled before it started")
