"""Server side of the connection from another node."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from marjoramstep_core.errors import ConnectionFailedError
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.ids import RequestKey
from marjoramstep_core.ids import RootId
from marjoramstep_core.ids import RowName
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.states import Reason
from marjoramstep_core.states import SizeClass
from marjoramstep_wire.messages import BodyPart
from marjoramstep_wire.messages import CallStart
from marjoramstep_wire.messages import Cancel
from marjoramstep_wire.messages import CancelReply
from marjoramstep_wire.messages import Credit

from ..calls import Answer
from ..calls import Body
from ..calls import Call
from ..calls import Failed
from ..calls import Refused
from ..request_progress import ProgressTracker
from ..request_progress import RequestProgress
from ..request_progress import RequestStep
from .body_stream import CreditWindow
from .body_stream import IncomingBody
from .body_stream import send_rest
from .conversion import from_headers
from .conversion import to_message


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.clock import Clock
    from marjoramstep_wire.connection import PeerConnection
    from marjoramstep_wire.messages import Message

    from ..backend_servers.call_executor import CallExecutor
    from ..calls import Reply
    from ..control.table_store import TableStore
    from ..log import EventLog

STREAM_LIMIT = 20_000
MAXIMUM_DEPTH = 64
# Maximum of the table column ``retries``.
MAXIMUM_RETRY_TOKENS = 10
KNOWN_SIZE_CLASSES = frozenset(size_class.value for size_class in SizeClass)


class _ServerStream:
    """State of one call that the peer started."""

    def __init__(self, progress: RequestProgress) -> None:
        self.progress = progress
        self.task: asyncio.Task[None] | None = None
        self.call: Call | None = None
        self.incoming: IncomingBody | None = None
        self.window = CreditWindow()
        self.cancelled_by_peer = False
        self.replied = False


class NodeSession:
    """Runs the calls of one connection, each in its own task.

    :param connection: the connection
    :param call_executor: executes calls at the local backend server
    :param tables: the table in force
    :param clock: clock of the node
    :param log: event log
    :param on_end: called with this session when the connection has closed
    :param tracker: tracks the calls until they end
    """

    def __init__(
        self,
        connection: PeerConnection,
        call_executor: CallExecutor,
        tables: TableStore,
        clock: Clock,
        log: EventLog,
        on_end: Callable[[NodeSession], None],
        tracker: ProgressTracker | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._connection = connection
        self._call_executor = call_executor
        self._tables = tables
        self._clock = clock
        self._log = log
        self._on_end = on_end
        self._tracker = tracker or ProgressTracker(clock)
        self._streams: dict[int, _ServerStream] = {}
        self._last_stream_id = 0

    @property
    def in_progress(self) -> int:
        """Number of calls that have not been answered completely."""
        return len(self._streams)

    def on_message(self, message: Message) -> None:
        """Handle a message of the peer.

        :param message: the message
        :raises ProtocolError: if the message is not valid on the server side
        """
        if isinstance(message, CallStart):
            self._on_call_start(message)
            return
        stream = self._streams.get(getattr(message, "stream_id", 0))
        if isinstance(message, Cancel):
            self._on_cancel(message, stream)
        elif isinstance(message, BodyPart):
            if stream is not None and stream.incoming is not None:
                stream.incoming.feed(message)
        elif isinstance(message, Credit):
            if stream is not None:
                stream.window.add(message.credit_bytes, self._connection.peer)
        else:
            raise ProtocolError(
                f"unexpected {type(message).__name__}",
                step="receive call",
                peer=self._connection.peer,
            )

    def on_closed(self, error: MarjoramstepError) -> None:
        """Cancel all calls of the peer.

        :param error: why the connection closed
        """
        for stream in self._streams.values():
            stream.window.fail(error)
            if stream.incoming is not None:
                stream.incoming.fail(error)
            if stream.task is not None:
                stream.task.cancel()
        self._on_end(self)

    def _on_call_start(self, message: CallStart) -> None:
        if message.stream_id <= self._last_stream_id:
            raise ProtocolError(
                f"stream id {message.stream_id} is not above the last one",
                step="receive call",
                peer=self._connection.peer,
            )
        if (
            not 0 <= message.depth <= MAXIMUM_DEPTH
            or not 0 <= message.retry_tokens <= MAXIMUM_RETRY_TOKENS
            or not math.isfinite(message.budget_ms)
            or message.size_class not in KNOWN_SIZE_CLASSES
        ):
            raise ProtocolError(
                "depth, retry tokens, budget or size class out of range",
                step="receive call",
                peer=self._connection.peer,
            )
        self._last_stream_id = message.stream_id
        if len(self._streams) >= STREAM_LIMIT:
            reply = Refused(
                Reason.OVERLOAD,
                "too many streams on the connection",
                message.retry_tokens,
            )
            self._send_reply(reply, message.stream_id)
            return
        progress = self._tracker.begin(message.request_key, RequestStep.QUEUE)
        stream = self._streams[message.stream_id] = _ServerStream(progress)
        body = Body(message.body, length=message.body_length)
        if not message.body_complete:
            stream.incoming = IncomingBody(self._connection, message.stream_id)
            body.rest = stream.incoming
        deadline_ms = self._clock.now_ms() + message.budget_ms
        progress.limit_ms = deadline_ms
        stream.task = self._loop.create_task(
            self._run(message, stream, body, deadline_ms)
        )
        stream.task.add_done_callback(
            lambda _: self._on_call_end(message.stream_id, stream)
        )

    def _on_cancel(self, message: Cancel, stream: _ServerStream | None) -> None:
        if stream is None or stream.task is None:
            # The call has ended, and its reply, already sent, tells the outcome.
            return
        stream.cancelled_by_peer = True
        if stream.incoming is not None:
            # A claimed call keeps running without its caller; it must not wait for the
            # body.
            stream.incoming.fail(
                ConnectionFailedError(
                    "the caller cancelled the call",
                    step="receive body",
                    peer=self._connection.peer,
                )
            )
        stream.task.cancel()

    def _on_call_end(self, stream_id: int, stream: _ServerStream) -> None:
        # Done in a callback, because a task that is cancelled before its first step
        # never runs its own code.
        self._streams.pop(stream_id, None)
        self._tracker.end(stream.progress)
        if stream.cancelled_by_peer and not stream.replied:
            ran = stream.call is not None and stream.call.started
            self._send(CancelReply(stream_id=stream_id, ran=ran))

    async def _run(
        self,
        message: CallStart,
        stream: _ServerStream,
        body: Body,
        deadline_ms: float,
    ) -> None:
        stream_id = message.stream_id
        try:
            reply = await self._execute(message, stream, body, deadline_ms)
            stream.replied = True
            stream.progress.enter(RequestStep.SEND_ANSWER, self._connection.peer)
            self._send_reply(reply, stream_id)
            if isinstance(reply, Answer) and not reply.body.is_complete:
                try:
                    await send_rest(
                        self._connection, stream_id, reply.body, stream.window
                    )
                finally:
                    reply.body.abandon()
        except MarjoramstepError as error:
            self._log.write("call broke off", step=error.step, peer=error.peer)
            self._send_reply(Failed(Reason.CONNECTION_LOST, error.message), stream_id)
        except Exception as error:
            # Without a reply the peer would wait until the deadline of the call.
            self._log.write(
                "internal error",
                step="run call",
                peer=self._connection.peer,
                error=repr(error),
            )
            self._send_reply(Failed(Reason.INTERNAL, type(error).__name__), stream_id)

    async def _execute(
        self,
        message: CallStart,
        stream: _ServerStream,
        body: Body,
        deadline_ms: float,
    ) -> Reply:
        if message.table_version > self._tables.version:
            await self._tables.wait_for_version(message.table_version, deadline_ms)
        if not self._tables.has_table:
            return Refused(Reason.NO_TABLE, retry_tokens=message.retry_tokens)
        service = ServiceName(message.service_name)
        row = self._tables.find_row(
            RowName(message.row_name), service, message.method, message.path
        )
        call = stream.call = Call(
            service=service,
            method=message.method,
            path=message.path,
            headers=from_headers(message.headers),
            body=body,
            request_key=RequestKey(message.request_key),
            root_id=RootId(message.root_id),
            row=row,
            weight=message.weight,
            depth=message.depth,
            deadline_ms=deadline_ms,
            retry_tokens=message.retry_tokens,
            size_class=SizeClass(message.size_class),
            may_move_on=bool(message.may_move_on),
            is_repeat=bool(message.is_repeat),
            runs_again=bool(message.runs_again),
            progress=stream.progress,
        )
        return await self._call_executor.execute(call)

    def _send_reply(self, reply: Reply, stream_id: int) -> None:
        self._send(to_message(reply, stream_id, self._tables.version))

    def _send(self, message: Message) -> None:
        if not self._connection.is_open:
            return
        try:
            self._connection.send(message)
        except ConnectionFailedError as error:
            self._log.write("reply not sent", step=error.step, peer=error.peer)
