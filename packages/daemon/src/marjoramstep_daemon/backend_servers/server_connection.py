"""HTTP connection to the local backend server."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser
from aiohttp.http import StreamWriter
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD
from marjoramstep_core.errors import MarjoramstepError

from ..calls import INLINE_BODY_LIMIT_BYTES
from ..calls import UNKNOWN_LENGTH
from ..http.message import has_control_character
from ..http.pieces import split_behind_heads
from .server_answer import BrokenExchangeError
from .server_answer import ServerAnswer


if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader
    from marjoramstep_core.ids import RequestKey

    from ..calls import Body
    from .outgoing_request import OutgoingRequest

HEADER_SIZE_LIMIT_BYTES = 32_768
# Idle time after which a connection is not reused if the server announces none.
DEFAULT_IDLE_SECONDS = 4.0
# The server starts its idle timer at a different moment, and a request sent while it
# closes the connection is lost.
IDLE_MARGIN_SECONDS = 1.0
NO_BODY_STATUS = frozenset({204, 304})
INTERIM_STATUSES = frozenset({100, 102, 103})
FIRST_FINAL_STATUS = 200
LAST_FINAL_STATUS = 599
# Refused requests that a connection remembers; with more it is not reused.
REFUSED_KEYS_LIMIT = 256
# Longest answer to another request that is read in order to skip it.
SKIPPED_BODY_LIMIT_BYTES = 1_048_576
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,6})")


class ServerConnection(BaseProtocol):
    """Sends one request at a time and skips late answers to other requests.

    :param peer: address of the backend server
    :param on_free: called with this connection when it can take another request
    :param on_closed: called with this connection when it has closed
    :param on_skipped: called with the key of the request that waits and the status of
        an answer that is not its own
    """

    def __init__(
        self,
        peer: str,
        on_free: Callable[[ServerConnection], None],
        on_closed: Callable[[ServerConnection], None],
        on_skipped: Callable[[RequestKey, int], None],
    ) -> None:
        super().__init__(asyncio.get_running_loop(), None)
        self._peer = peer
        self._on_free = on_free
        self._on_closed = on_closed
        self._on_skipped = on_skipped
        self._request: OutgoingRequest | None = None
        self._answer: asyncio.Future[ServerAnswer] | None = None
        self._payload: StreamReader | None = None
        self._upload_task: asyncio.Task[None] | None = None
        self._skip_tasks: set[asyncio.Task[None]] = set()
        self._keeps_alive = True
        self._refused_keys: set[RequestKey] = set()
        self._request_count = 0
        self._idle_limit_seconds = DEFAULT_IDLE_SECONDS
        self._idle_since = self._loop.time()
        self.upload_error: MarjoramstepError | None = None

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent on this connection."""
        transport = self.transport
        if transport is None or transport.is_closing() or not self._keeps_alive:
            return False
        if len(self._refused_keys) >= REFUSED_KEYS_LIMIT:
            return False
        idle_seconds = self._loop.time() - self._idle_since
        return idle_seconds < self._idle_limit_seconds

    def record_refusal(self, request_key: RequestKey) -> None:
        """Remember that the server has refused a request on this connection.

        :param request_key: key of the request
        """
        self._refused_keys.add(request_key)

    def has_refused(self, request_key: RequestKey) -> bool:
        """Return whether the server has refused a request on this connection.

        A late second copy of the refusal would be taken for the answer if the request
        were sent here again, since both carry the key of the request.

        :param request_key: key of the request
        :return: whether it must not be sent on this connection again
        """
        return request_key in self._refused_keys

    def abort(self) -> None:
        """Reset the connection, so that the backend server cancels the request."""
        self._keeps_alive = False
        if self._upload_task is not None:
            self._upload_task.cancel()
        if self.transport is not None:
            self.transport.abort()

    def exchange_error(self, text: str) -> BrokenExchangeError:
        """Build the error of this exchange.

        :param text: cause, empty if it is not known
        :return: the error
        """
        return BrokenExchangeError(
            text or "connection to the backend server broke",
            step="send to backend server",
            peer=self._peer,
        )

    async def send(self, request: OutgoingRequest) -> ServerAnswer:
        """Send a request and wait for the status line and headers of its answer.

        Cancelling this coroutine resets the connection.

        :param request: the request
        :return: the answer, whose body may still be arriving
        :raises BrokenExchangeError: if the headers do not arrive in full
        """
        self._request_count += 1
        self._request = request
        self._payload = None
        self._keeps_alive = True
        self._parser = HttpResponseParser(
            self,
            self._loop,
            INLINE_BODY_LIMIT_BYTES,
            max_line_size=HEADER_SIZE_LIMIT_BYTES,
            max_field_size=HEADER_SIZE_LIMIT_BYTES,
            payload_exception=BrokenPipeError,
            response_with_body=request.method != "HEAD",
            read_until_eof=True,
            auto_decompress=False,
        )
        self._answer = self._loop.create_future()
        has_answer = False
        try:
            await self._write(request)
            answer = await self._answer
            has_answer = True
            return answer
        except OSError as error:
            raise self.exchange_error(str(error)) from error
        finally:
            if not has_answer:
                self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the current exchange; a clean close may complete its answer.

        :param exc: error of the transport, or None
        """
        super().connection_lost(exc)
        payload, self._payload = self._payload, None
        if self._answer is not None and not self._answer.done():
            text = str(exc) if exc else "connection closed before an answer arrived"
            self._answer.set_exception(self.exchange_error(text))
        elif payload is not None and not payload.is_eof():
            self._end_payload(payload, exc)
        self._parser = None
        self._on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes.

        :param data: received bytes, empty when reading resumes after a pause
        """
        if self._parser is None or self._request is None:
            if data:
                # Data outside an exchange belongs to no request.
                self.abort()
            return
        for piece in split_behind_heads(data):
            if not self._parse(piece):
                return

    def _parse(self, data: bytes) -> bool:
        """Parse a piece of what was received; return whether more may follow."""
        assert self._parser is not None
        try:
            messages, _, _ = self._parser.feed_data(data)
        except HttpProcessingError as error:
            # An answer that has arrived in full is delivered all the same.
            self._fail(self.exchange_error(str(error.message)))
            return False
        for message, payload in messages:
            self._on_message(message, payload)
        return True

    def finish_answer(self) -> None:
        """Release the connection after the body of the answer has been read."""
        upload_task = self._upload_task
        if upload_task is not None and not upload_task.done():
            # The server would read the next request as the rest of this request's body.
            self.abort()
            return
        self._request = None
        self._payload = None
        self._parser = None
        self._idle_since = self._loop.time()
        if self.is_usable:
            self._on_free(self)
        elif self.transport is not None:
            self.transport.close()

    def _on_message(self, message: RawResponseMessage, payload: StreamReader) -> None:
        request, answer_future = self._request, self._answer
        assert request is not None and answer_future is not None
        if message.code in INTERIM_STATUSES:
            return
        if message.code in NO_BODY_STATUS:
            payload = EMPTY_PAYLOAD
        if answer_future.done() or not request.matches(
            message.code, message.headers, is_first=self._request_count == 1
        ):
            # An answer before the matching one is a late answer to an earlier request
            # and is skipped. After a surplus answer the connection is not reused.
            self._keeps_alive = self._keeps_alive and not answer_future.done()
            self._on_skipped(request.request_key, message.code)
            self._skip_body(payload)
            return
        if not _can_be_forwarded(message):
            self._fail(self.exchange_error("malformed status or header of an answer"))
            return
        self._payload = payload
        length = message.headers.get("Content-Length")
        has_end = length is not None or message.chunked or payload is EMPTY_PAYLOAD
        if message.should_close or not has_end:
            self._keeps_alive = False
        self._read_idle_limit(message.headers.get("Keep-Alive", ""))
        body_length = UNKNOWN_LENGTH if length is None else int(length)
        if payload is EMPTY_PAYLOAD:
            body_length = 0
        answer_future.set_result(ServerAnswer(self, message, payload, body_length))

    def _read_idle_limit(self, text: str) -> None:
        found = _KEEP_ALIVE_TIMEOUT.search(text)
        if found is not None:
            self._idle_limit_seconds = int(found[1]) - IDLE_MARGIN_SECONDS

    def _skip_body(self, payload: StreamReader) -> None:
        if payload is EMPTY_PAYLOAD or payload.is_eof():
            return
        task = self._loop.create_task(self._discard(payload))
        self._skip_tasks.add(task)
        task.add_done_callback(self._skip_tasks.discard)

    async def _discard(self, payload: StreamReader) -> None:
        """Read an answer that belongs to no current request."""
        size = 0
        try:
            while part := await payload.readany():
                size += len(part)
                if size > SKIPPED_BODY_LIMIT_BYTES:
                    self._fail(self.exchange_error("skipped answer is too long"))
                    return
        except (HttpProcessingError, OSError):
            # The body belongs to no current request, so a truncated one is ignored.
            return

    def _fail(self, error: BrokenExchangeError) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(ConnectionResetError(error.message))
        self.abort()

    def _end_payload(self, payload: StreamReader, exc: BaseException | None) -> None:
        if exc is not None or self._parser is None:
            payload.set_exception(ConnectionResetError(str(exc)))
            return
        try:
            self._parser.feed_eof()
        except HttpProcessingError as error:
            payload.set_exception(ConnectionResetError(str(error.message)))

    async def _write(self, request: OutgoingRequest) -> None:
        writer = StreamWriter(self, self._loop)
        body = request.body
        if not body.is_complete and body.length == UNKNOWN_LENGTH:
            request.headers["Transfer-Encoding"] = "chunked"
            writer.enable_chunking()
        elif body.length or request.method in ("POST", "PUT", "PATCH"):
            request.headers["Content-Length"] = str(body.length)
        await writer.write_headers(
            f"{request.method} {request.target} HTTP/1.1", request.headers
        )
        if body.is_complete:
            await writer.write_eof(body.data)
        else:
            self._upload_task = self._loop.create_task(self._upload_body(writer, body))

    async def _upload_body(self, writer: StreamWriter, body: Body) -> None:
        try:
            async for part in body.parts():
                await writer.write(part)
            await writer.write_eof()
        except MarjoramstepError as error:
            # Abort the request: a truncated body must not look complete.
            self.upload_error = error
            self._fail(self.exchange_error(error.message))
        except OSError as error:
            self._keeps_alive = False
            if self._answer is not None and not self._answer.done():
                self._answer.set_exception(self.exchange_error(str(error)))


def _can_be_forwarded(message: RawResponseMessage) -> bool:
    """Return whether an answer that the parser accepts can be written to a caller."""
    if not FIRST_FINAL_STATUS <= message.code <= LAST_FINAL_STATUS:
        return False
    return not has_control_character(message.raw_headers)
