"""HTTP listener for callers and for sub-calls of the own backend server."""

from __future__ import annotations

import asyncio
import logging
from itertools import count
from typing import TYPE_CHECKING

from aiohttp import web
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason

from ..calls import INLINE_BODY_LIMIT_BYTES
from ..calls import UNKNOWN_LENGTH
from ..calls import Answer
from ..calls import Body
from ..calls import Refused
from ..upload import Upload
from .entry import EntryResult
from .entry_request import BadKeyError
from .entry_request import parse_request
from .responses import headers_of
from .responses import status_of


if TYPE_CHECKING:
    from ..control.table_keeper import TableKeeper
    from ..log import EventLog
    from .entry import EntryService

HEADER_SIZE_LIMIT_BYTES = 16_384
LOGGED_ERROR_CHARACTERS = 200
KEEPALIVE_SECONDS = 75.0
# Time for handlers to end when the listener closes; aiohttp takes 0 for no limit.
SHUTDOWN_SECONDS = 1.0
# A caller that stops sending its body in the middle holds a stream for no longer.
BODY_SILENCE_SECONDS = 30.0


class BrokenBodyError(InvalidInputError):
    """The caller's body is malformed or stopped in the middle."""


class CallerListener:
    """Owns the listening socket towards callers.

    :param entry: carries the requests out
    :param tables: the table in force
    :param log: event log
    """

    def __init__(self, entry: EntryService, tables: TableKeeper, log: EventLog) -> None:
        self._entry = entry
        self._tables = tables
        self._log = log
        self._server = web.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            logger=_make_logger(log),
            keepalive_timeout=KEEPALIVE_SECONDS,
            max_line_size=HEADER_SIZE_LIMIT_BYTES,
            max_field_size=HEADER_SIZE_LIMIT_BYTES,
        )
        self._listener: asyncio.Server | None = None
        self._in_progress: dict[int, str] = {}
        self._numbers = count(1)

    def in_progress(self) -> list[str]:
        """Return the requests whose answers have not been sent to their end.

        :return: a key or, without one, a method and path for each
        """
        return list(self._in_progress.values())

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Start to listen.

        :param address: IP address and port; port 0 takes one from the kernel
        :return: the bound address
        :raises OSError: if the address cannot be bound
        """
        loop = asyncio.get_running_loop()
        host, port = address
        self._listener = await loop.create_server(self._server, host, port)
        bound = self._listener.sockets[0].getsockname()
        return bound[0], bound[1]

    async def stop_listening(self) -> None:
        """Refuse new connections; open ones go on."""
        if self._listener is not None:
            self._listener.close()

    async def close(self) -> None:
        """Close all connections."""
        # Without this step the shutdown waits for idle keep-alive connections to end.
        self._server.pre_shutdown()
        await self._server.shutdown(SHUTDOWN_SECONDS)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            body = await _read_body(request)
            entry_request = parse_request(
                request.method,
                request.raw_path,
                request.headers,
                [
                    (name.decode("latin-1"), value.decode("latin-1"))
                    for name, value in request.raw_headers
                ],
                body,
            )
        except InvalidInputError as error:
            self._log.write(
                "request refused", step=error.step, peer="caller", error=error.message
            )
            return self._bad_request(error)
        number = next(self._numbers)
        self._in_progress[number] = (
            entry_request.request_key or f"{request.method} {request.path}"
        )
        try:
            result = await self._entry.execute(entry_request)
            return await self._respond(request, result)
        finally:
            del self._in_progress[number]

    def _bad_request(self, error: InvalidInputError) -> web.StreamResponse:
        is_key = isinstance(error, BadKeyError)
        reason = Reason.BAD_KEY if is_key else Reason.BAD_REQUEST
        reply = Refused(reason, error.message)
        result = EntryResult(reply, Outcome.NOT_RUN, "", "")
        return self._plain_response(result)

    async def _respond(
        self, request: web.BaseRequest, result: EntryResult
    ) -> web.StreamResponse:
        reply = result.reply
        if not isinstance(reply, Answer):
            return self._plain_response(result)
        headers = headers_of(result, self._tables.age_ms())
        if reply.body.is_complete:
            return web.Response(
                status=reply.status, headers=headers, body=reply.body.data
            )
        response = web.StreamResponse(status=reply.status, headers=headers)
        if reply.body.length != UNKNOWN_LENGTH:
            response.content_length = reply.body.length
        try:
            await response.prepare(request)
            async for part in reply.body.parts():
                await response.write(part)
            await response.write_eof()
        except MarjoramstepError as error:
            # The caller must not take a part of the answer for the whole.
            self._log.write("answer broke off", step=error.step, peer=error.peer)
            if request.transport is not None:
                request.transport.abort()
        finally:
            reply.body.abandon()
        return response

    def _plain_response(self, result: EntryResult) -> web.StreamResponse:
        reply = result.reply
        assert not isinstance(reply, Answer)
        text = f"{result.outcome.value}: {reply.reason.value}"
        if reply.detail:
            text += f" ({reply.detail})"
        return web.Response(
            status=status_of(result),
            headers=headers_of(result, self._tables.age_ms()),
            body=f"{text}\n".encode(),
            content_type="text/plain",
        )


class _LogHandler(logging.Handler):
    """Writes what aiohttp reports about a connection as an event."""

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.DEBUG)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        text = record.getMessage()
        if error is not None:
            text += f": {str(error)[:LOGGED_ERROR_CHARACTERS]}"
        self._log.write("malformed request", step="http", peer="caller", error=text)


def _make_logger(log: EventLog) -> logging.Logger:
    # Not registered by name: each listener writes to the log of its own process.
    logger = logging.Logger("callers")
    logger.addHandler(_LogHandler(log))
    return logger


async def _read_body(request: web.BaseRequest) -> Body:
    if not request.body_exists:
        return Body()
    length = request.content_length
    first = bytearray()
    is_short = length is not None and length <= INLINE_BODY_LIMIT_BYTES
    while is_short or len(first) < INLINE_BODY_LIMIT_BYTES:
        part = await _read_part(request, INLINE_BODY_LIMIT_BYTES - len(first))
        if not part:
            return Body(bytes(first), length=len(first))
        first += part
    upload = Upload(lambda: _read_part(request, INLINE_BODY_LIMIT_BYTES), len(first))
    return Body(
        bytes(first),
        rest=upload.open(),
        length=UNKNOWN_LENGTH if length is None else length,
        upload=upload,
    )


async def _read_part(request: web.BaseRequest, limit_bytes: int) -> bytes:
    try:
        async with asyncio.timeout(BODY_SILENCE_SECONDS):
            return await request.content.read(max(limit_bytes, 1))
    except (TimeoutError, OSError, web.RequestPayloadError) as error:
        raise BrokenBodyError(
            f"the caller's body broke off: {str(error) or 'timed out'}",
            step="read body",
            peer="caller",
        ) from error
