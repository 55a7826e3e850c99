"""One HTTP connection to the own backend server."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser
from aiohttp.http import StreamWriter
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD
from marjoramstep_core.errors import ConnectionFailedError
from marjoramstep_core.errors import MarjoramstepError

from ..calls import INLINE_BODY_LIMIT_BYTES
from ..calls import UNKNOWN_LENGTH
from ..http.message import decode_headers


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Mapping

    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader
    from multidict import CIMultiDict

    from ..calls import Body
    from ..calls import HeaderList

HEADER_SIZE_LIMIT_BYTES = 32_768
# Idle time after which a connection is not used again if the server states none.
DEFAULT_IDLE_SECONDS = 4.0
# The server counts its idle time from another moment, and a request sent just when it
# closes is lost.
IDLE_MARGIN_SECONDS = 1.0
NO_BODY_STATUS = frozenset({204, 304})
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,6})")


class BrokenExchangeError(ConnectionFailedError):
    """The exchange ended without a whole answer; the request may have run."""


@dataclass(frozen=True)
class OutgoingRequest:
    """A request to the backend server.

    :param belongs: tells by its headers whether an answer is that of this request
    """

    method: str
    target: str
    headers: CIMultiDict[str]
    body: Body
    belongs: Callable[[int, Mapping[str, str]], bool]


class ServerAnswer:
    """The head of an answer, and its body as a stream.

    :param length: bytes of the body, or ``UNKNOWN_LENGTH``
    """

    def __init__(
        self,
        connection: ServerConnection,
        message: RawResponseMessage,
        payload: StreamReader,
        length: int,
    ) -> None:
        self._connection = connection
        self._payload = payload
        self.status: int = message.code
        self.headers: Mapping[str, str] = message.headers
        self.raw_headers: HeaderList = decode_headers(message.raw_headers)
        self.length = length
        self._is_ended = False

    def read_arrived(self) -> bytes | None:
        """Return the whole body if all of it has arrived without an error.

        :return: the body, or None if it has to be waited for
        """
        payload = self._payload
        if not payload.is_eof() or payload.exception() is not None:
            return None
        data: bytes = payload.read_nowait()
        self._is_ended = True
        self._connection.finish_answer()
        return data

    async def read(self) -> bytes:
        """Read the whole body.

        :return: the body
        :raises BrokenExchangeError: if it is not complete
        """
        return b"".join([part async for part in self.parts()])

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body part by part; the connection is free after the last one.

        :raises BrokenExchangeError: if it is not complete
        """
        is_whole = False
        try:
            while part := await self._payload.readany():
                yield part
            is_whole = True
        except (HttpProcessingError, OSError) as error:
            raise self._connection.broken(str(error)) from error
        finally:
            if is_whole:
                self._is_ended = True
                self._connection.finish_answer()
            else:
                self.abandon()

    def abandon(self) -> None:
        """Give the answer up, which closes the connection unless it was read."""
        if not self._is_ended:
            self._is_ended = True
            self._connection.abort()


class ServerConnection(BaseProtocol):
    """Carries one request at a time; answers of other requests are passed over.

    :param peer: address of the backend server
    :param on_free: called with this connection when it can carry another request
    :param on_closed: called with this connection when it has closed
    """

    def __init__(
        self,
        peer: str,
        on_free: Callable[[ServerConnection], None],
        on_closed: Callable[[ServerConnection], None],
    ) -> None:
        super().__init__(asyncio.get_running_loop(), None)
        self._peer = peer
        self._on_free = on_free
        self._on_closed = on_closed
        self._request: OutgoingRequest | None = None
        self._head: asyncio.Future[ServerAnswer] | None = None
        self._payload: StreamReader | None = None
        self._sender: asyncio.Task[None] | None = None
        self._drains: set[asyncio.Task[None]] = set()
        self._keeps_alive = True
        self._idle_limit_seconds = DEFAULT_IDLE_SECONDS
        self._free_since = self._loop.time()
        self.upload_error: MarjoramstepError | None = None

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent on this connection."""
        transport = self.transport
        if transport is None or transport.is_closing() or not self._keeps_alive:
            return False
        idle_seconds = self._loop.time() - self._free_since
        return idle_seconds < self._idle_limit_seconds

    def abort(self) -> None:
        """Reset the connection, so that the backend server drops the request."""
        self._keeps_alive = False
        if self._sender is not None:
            self._sender.cancel()
        if self.transport is not None:
            self.transport.abort()

    def broken(self, text: str) -> BrokenExchangeError:
        """Build the error of this exchange.

        :param text: what happened
        :return: the error
        """
        return BrokenExchangeError(
            text or "the connection broke",
            step="send to backend server",
            peer=self._peer,
        )

    async def send(self, request: OutgoingRequest) -> ServerAnswer:
        """Send a request and wait for the head of its answer.

        Cancelling this coroutine resets the connection.

        :param request: the request
        :return: the head of the answer
        :raises BrokenExchangeError: if no head arrives
        """
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
        self._head = self._loop.create_future()
        is_headed = False
        try:
            await self._write(request)
            answer = await self._head
            is_headed = True
            return answer
        except OSError as error:
            raise self.broken(str(error)) from error
        finally:
            if not is_headed:
                self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the exchange that runs; a clean end may complete its answer.

        :param exc: error of the transport, or None
        """
        super().connection_lost(exc)
        payload, self._payload = self._payload, None
        if self._head is not None and not self._head.done():
            text = str(exc) if exc else "closed without an answer"
            self._head.set_exception(self.broken(text))
        elif payload is not None and not payload.is_eof():
            self._end_payload(payload, exc)
        self._parser = None
        self._on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes.

        :param data: received bytes, empty when reading goes on after a pause
        """
        if self._parser is None or self._request is None:
            if data:
                # Bytes outside an exchange belong to no request.
                self.abort()
            return
        try:
            messages, _, _ = self._parser.feed_data(data)
        except HttpProcessingError as error:
            self._fail(self.broken(str(error.message)))
            return
        for message, payload in messages:
            self._on_message(message, payload)

    def finish_answer(self) -> None:
        """Free the connection once the body of the answer has been read."""
        sender = self._sender
        if sender is not None and not sender.done():
            # Whatever is sent next would be taken for the rest of the body.
            self.abort()
            return
        self._request = None
        self._payload = None
        self._parser = None
        self._free_since = self._loop.time()
        if self.is_usable:
            self._on_free(self)
        elif self.transport is not None:
            self.transport.close()

    def _on_message(self, message: RawResponseMessage, payload: StreamReader) -> None:
        request, head = self._request, self._head
        assert request is not None and head is not None
        if message.code in NO_BODY_STATUS:
            payload = EMPTY_PAYLOAD
        if head.done() or not request.belongs(message.code, message.headers):
            # An answer after the right one makes the connection useless; one before
            # it is the late answer of an earlier request.
            self._keeps_alive = self._keeps_alive and not head.done()
            self._drain(payload)
            return
        self._payload = payload
        length = message.headers.get("Content-Length")
        has_end = length is not None or message.chunked or payload is EMPTY_PAYLOAD
        if message.should_close or not has_end:
            self._keeps_alive = False
        self._note_idle_limit(message.headers.get("Keep-Alive", ""))
        size = UNKNOWN_LENGTH if length is None else int(length)
        if payload is EMPTY_PAYLOAD:
            size = 0
        head.set_result(ServerAnswer(self, message, payload, size))

    def _note_idle_limit(self, text: str) -> None:
        found = _KEEP_ALIVE_TIMEOUT.search(text)
        if found is not None:
            self._idle_limit_seconds = int(found[1]) - IDLE_MARGIN_SECONDS

    def _drain(self, payload: StreamReader) -> None:
        if payload is EMPTY_PAYLOAD or payload.is_eof():
            return
        task = self._loop.create_task(_read_to_end(payload))
        self._drains.add(task)
        task.add_done_callback(self._drains.discard)

    def _fail(self, error: BrokenExchangeError) -> None:
        if self._head is not None and not self._head.done():
            self._head.set_exception(error)
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
            self._sender = self._loop.create_task(self._send_parts(writer, body))

    async def _send_parts(self, writer: StreamWriter, body: Body) -> None:
        try:
            async for part in body.parts():
                await writer.write(part)
            await writer.write_eof()
        except MarjoramstepError as error:
            # A part of a body must not look like the whole.
            self.upload_error = error
            self._fail(self.broken(error.message))
        except OSError as error:
            self._keeps_alive = False
            if self._head is not None and not self._head.done():
                self._head.set_exception(self.broken(str(error)))


async def _read_to_end(payload: StreamReader) -> None:
    try:
        while await payload.readany():
            pass
    except (HttpProcessingError, OSError):
        # The body belongs to no request, so its end does not matter.
        return
