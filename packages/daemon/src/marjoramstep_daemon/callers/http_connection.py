"""HTTP connection of a caller; pipelined requests run concurrently."""

from __future__ import annotations

import select
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import cast

from aiohttp.base_protocol import BaseProtocol
from aiohttp.streams import EMPTY_PAYLOAD
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.errors import MarjoramstepError

from ..calls import UNKNOWN_LENGTH
from ..calls import Body
from ..http.body_reader import BodyTimeoutError
from ..http.body_reader import read_body
from ..http.message import HttpAnswer
from ..http.message import HttpRequest
from ..http.message import decode_headers
from ..http.message import plain_answer
from ..request_progress import BodyArrival
from ..request_progress import RequestStep
from .answer_writer import AnswerWriter
from .answer_writer import write_refusal
from .connection_state import ConnectionLifecycle
from .request_receiver import MalformedRequestError
from .request_receiver import RequestReceiver


if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable
    from collections.abc import Callable

    from ..log import EventLog
    from ..request_progress import ProgressTracker
    from ..request_progress import RequestIdentity
    from .connection_timeouts import ConnectionTimeouts
    from .exchange import Exchange

# Concurrent requests of one connection; reading is paused above this limit.
PIPELINE_LIMIT = 32
# How long a closing connection still reads and discards data from the caller. Closing
# a socket with unread bytes resets the connection, and the caller could lose the
# answer.
LINGER_SECONDS = 1.0
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
INTERIM_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerConnection(BaseProtocol):
    """Owns one socket; answers are sent in the order of their requests.

    :param loop: the running event loop
    :param handle: executes one request
    :param identify: finds a request whose body has not arrived
    :param refuse: builds the answer to an invalid request
    :param timeouts: timeouts of the connection
    :param log: event log
    :param tracker: tracks the requests until they end
    :param on_open: called with this connection when it opens
    :param on_close: called with this connection when it has closed
    :param on_pause: called with this connection when its reading is paused
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handle: Callable[[HttpRequest], Awaitable[HttpAnswer]],
        identify: Callable[[HttpRequest], RequestIdentity | None],
        refuse: Callable[[InvalidInputError], HttpAnswer],
        timeouts: ConnectionTimeouts,
        log: EventLog,
        tracker: ProgressTracker,
        on_open: Callable[[CallerConnection], None],
        on_close: Callable[[CallerConnection], None],
        on_pause: Callable[[CallerConnection], None],
    ) -> None:
        super().__init__(loop, None)
        self._handle = handle
        self._identify = identify
        self._refuse_request = refuse
        self._timeouts = timeouts
        self._log = log
        self._tracker = tracker
        self._on_open = on_open
        self._on_close = on_close
        self._on_pause = on_pause
        self._exchanges: list[Exchange] = []
        self._lifecycle = ConnectionLifecycle()
        self._receiver = RequestReceiver(self, loop, self._lifecycle)
        # The base class has it parse on what it held back while a body was not read.
        self._parser = self._receiver.parser
        self._idle_since_seconds = loop.time()

    @property
    def is_busy(self) -> bool:
        """Whether a request has not been answered completely."""
        return bool(self._exchanges)

    @property
    def is_paused(self) -> bool:
        """Whether the connection is open and its reading is paused."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        return not transport.is_reading()

    def has_caller_left(self) -> bool:
        """Ask the system whether the caller has closed or reset its side.

        :return: whether it has; what it sent before may still be unread
        """
        if self.transport is None:
            return True
        poll = select.poll()
        raw = self.transport.get_extra_info("socket")
        poll.register(raw.fileno(), select.POLLRDHUP)
        return any(events & CLOSED_EVENTS for _, events in poll.poll(0))

    def pause_reading(self) -> None:
        """Stop reading until what has been read is taken."""
        super().pause_reading()
        self._on_pause(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport.

        :param transport: the open transport
        """
        # The base class would set TCP_NODELAY again; the event loop has set it already.
        self.transport = cast("asyncio.Transport", transport)
        self._on_open(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel all requests of the connection.

        :param exc: error of the transport, or None
        """
        super().connection_lost(exc)
        for exchange in self._exchanges:
            if exchange.payload is not EMPTY_PAYLOAD and not exchange.payload.is_eof():
                exchange.payload.set_exception(
                    ConnectionResetError("the caller closed the connection")
                )
            if exchange.task is not None:
                exchange.task.cancel()
            # A task that is cancelled before its first step never runs its own code.
            self._tracker.end(exchange.progress)
        self._parser = None
        self._lifecycle.end()
        self._on_close(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and start the requests in them.

        :param data: received bytes, empty when reading resumes after a pause
        """
        try:
            for exchange in self._receiver.feed(data):
                self._start(exchange)
        except MalformedRequestError as error:
            self._log.write(
                "malformed request",
                step=error.step,
                peer=error.peer,
                error=error.message,
            )
            self._refuse(HTTPStatus.BAD_REQUEST)
            return
        if len(self._exchanges) > PIPELINE_LIMIT:
            self._pause_reading_for_buffer()

    def close_when_idle(self) -> None:
        """Close the connection now if it is idle, otherwise after the last answer."""
        self._lifecycle.end_requests()
        if not self._exchanges and self.transport is not None:
            self.transport.close()

    def announce_close(self) -> None:
        """Send ``Connection: close`` with the next answer."""
        self._lifecycle.announce_close()

    def cancel_unanswered(self) -> None:
        """Cancel the requests that have no answer yet; ready answers are still sent."""
        for exchange in self._exchanges:
            # A task that is cancelled before its first step never runs its own code.
            is_running = exchange.has_started and not exchange.has_answer
            if is_running and exchange.task is not None:
                exchange.task.cancel()

    def check_timeouts(self, now: float) -> None:
        """Close the connection if the header or idle timeout has expired.

        :param now: time of the event loop in seconds
        """
        head_started_seconds = self._receiver.head_started_seconds
        if head_started_seconds is not None:
            waited_seconds = now - head_started_seconds
            if waited_seconds > self._timeouts.header_timeout_seconds:
                self._receiver.forget_head()
                self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif (
            not self._exchanges
            and now - self._idle_since_seconds > self._timeouts.idle_timeout_seconds
        ):
            self.close_when_idle()

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def _start(self, exchange: Exchange) -> None:
        previous = self._exchanges[-1] if self._exchanges else None
        self._exchanges.append(exchange)
        exchange.progress = self._tracker.begin("", RequestStep.READ_BODY)
        if not exchange.payload.is_eof():
            exchange.progress.body = self._body_arrival(exchange)
        exchange.task = self._loop.create_task(self._run(exchange, previous))

    async def _run(self, exchange: Exchange, previous: Exchange | None) -> None:
        exchange.has_started = True
        answer: HttpAnswer | None = None
        try:
            answer = await self._answer(exchange)
            exchange.has_answer = True
            if previous is not None:
                exchange.progress.enter(RequestStep.WAIT_TURN)
                await previous.is_done.wait()
            exchange.progress.enter(RequestStep.SEND_ANSWER, "caller")
            if self.transport is not None:
                await self._write(exchange, answer)
        except MarjoramstepError as error:
            self._log.write("answer broke off", step=error.step, peer=error.peer)
            self.abort()
        except Exception as error:
            # Without a reset the caller could take a truncated answer for a complete
            # one, or the next answer on the connection for this one.
            self._log.write("answer not sent", step="answer", error=repr(error))
            self.abort()
        finally:
            if answer is not None:
                answer.body.abandon()
            self._finish(exchange)

    async def _answer(self, exchange: Exchange) -> HttpAnswer:
        try:
            self._ask_for_body()
            body = Body()
            if exchange.payload is not EMPTY_PAYLOAD:
                body = await read_body(
                    exchange.payload,
                    exchange.length,
                    self._timeouts.body_timeout_seconds,
                )
                exchange.progress.body = None
            return await self._handle(self._request(exchange, body))
        except BodyTimeoutError as error:
            self._log_late_body(exchange, error)
            return self._refuse_last(error)
        except InvalidInputError as error:
            self._log.write("malformed request", step=error.step, error=error.message)
            return self._refuse_last(error)
        except Exception as error:
            # Without an answer the caller would wait for its own timeout.
            self._log.write("internal error", step="answer", error=repr(error))
            return plain_answer(500, "internal error", closes=True)

    def _refuse_last(self, error: InvalidInputError) -> HttpAnswer:
        answer = self._refuse_request(error)
        answer.closes = True
        return answer

    def _log_late_body(self, exchange: Exchange, error: BodyTimeoutError) -> None:
        identity = self._identify(self._request(exchange, Body()))
        self._log.write_decision(
            "body not received",
            "" if identity is None else identity.request_id,
            step=error.step,
            peer=self._peer_host(),
            detail=error.message,
        )

    def _request(self, exchange: Exchange, body: Body) -> HttpRequest:
        message = exchange.message
        return HttpRequest(
            message.method,
            message.path,
            message.headers,
            decode_headers(message.raw_headers),
            body,
            self._peer_host,
            exchange.progress,
        )

    def _body_arrival(self, exchange: Exchange) -> BodyArrival:
        length = exchange.length
        return BodyArrival(
            lambda: self._identify(self._request(exchange, Body())),
            lambda: exchange.payload.total_bytes,
            UNKNOWN_LENGTH if length is None else length,
        )

    def _ask_for_body(self) -> None:
        """Send an interim answer if the caller of the first request waits for it.

        It must not precede the answers of earlier requests.
        """
        exchange = self._exchanges[0]
        if exchange.needs_interim_answer and self.transport is not None:
            exchange.expects_interim_answer = False
            self.transport.write(INTERIM_ANSWER)

    def _peer_host(self) -> str:
        if self.transport is None:
            return ""
        address = self.transport.get_extra_info("peername")
        return address[0] if address else ""

    async def _write(self, exchange: Exchange, answer: HttpAnswer) -> None:
        message = exchange.message
        unread = not exchange.payload.is_eof()
        # A later request may already be running, so its answer is still sent.
        is_last = self._exchanges[-1] is exchange
        closes = answer.closes or unread or message.should_close
        closes = closes or (is_last and self._lifecycle.closes_after_last_answer)
        writer = AnswerWriter(self, self._loop, answer)
        closes = writer.frame(message, closes=closes)
        if closes:
            self._lifecycle.start_closing()
        await writer.write(message)
        if closes:
            self._cancel_others_and_close(exchange)

    def _cancel_others_and_close(self, exchange: Exchange) -> None:
        for other in self._exchanges:
            if other is not exchange and other.task is not None:
                other.task.cancel()
        transport = self.transport
        if transport is None:
            return
        if transport.can_write_eof():
            transport.write_eof()
        self._loop.call_later(LINGER_SECONDS, transport.close)

    def _finish(self, exchange: Exchange) -> None:
        exchange.is_done.set()
        self._tracker.end(exchange.progress)
        if exchange in self._exchanges:
            self._exchanges.remove(exchange)
        self._idle_since_seconds = self._loop.time()
        if self._exchanges:
            self._ask_for_body()
        if self._buffer_paused and len(self._exchanges) <= PIPELINE_LIMIT:
            self._resume_reading_for_buffer()

    def _refuse(self, status: HTTPStatus) -> None:
        """Refuse what is no request once all pending answers have been sent."""
        self._lifecycle.start_closing()
        self._loop.create_task(self._send_refusal(status))

    async def _send_refusal(self, status: HTTPStatus) -> None:
        for exchange in list(self._exchanges):
            await exchange.is_done.wait()
        if self.transport is None:
            return
        await write_refusal(self, self._loop, status)
        self._loop.call_later(LINGER_SECONDS, self.transport.close)
