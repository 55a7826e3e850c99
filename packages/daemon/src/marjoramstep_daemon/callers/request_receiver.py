"""Turns the bytes that a caller sends into requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import HttpProcessingError
from marjoramstep_core.errors import InvalidInputError

from ..calls import INLINE_BODY_LIMIT_BYTES
from ..http.pieces import split_behind_heads
from .exchange import Exchange


if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterator

    from aiohttp.base_protocol import BaseProtocol
    from aiohttp.http import RawRequestMessage
    from aiohttp.streams import StreamReader

    from .connection_state import ConnectionLifecycle

HEADER_SIZE_LIMIT_BYTES = 16_384
LOGGED_ERROR_CHARACTERS = 200


class MalformedRequestError(InvalidInputError):
    """What a caller sent is not a request."""


class RequestReceiver:
    """Parses the requests of one connection; knows how much of one has arrived.

    :param protocol: protocol whose reading the parser pauses while a body is not read
    :param loop: the running event loop
    :param lifecycle: state of the connection
    """

    def __init__(
        self,
        protocol: BaseProtocol,
        loop: asyncio.AbstractEventLoop,
        lifecycle: ConnectionLifecycle,
    ) -> None:
        self._loop = loop
        self._lifecycle = lifecycle
        self._last_payload: StreamReader | None = None
        self._head_started_seconds: float | None = None
        self.parser = HttpRequestParser(
            protocol,
            loop,
            INLINE_BODY_LIMIT_BYTES,
            max_line_size=HEADER_SIZE_LIMIT_BYTES,
            max_field_size=HEADER_SIZE_LIMIT_BYTES,
            payload_exception=InvalidInputError,
            auto_decompress=False,
        )

    @property
    def head_started_seconds(self) -> float | None:
        """When the head that is arriving began, in seconds of the event loop.

        None if no head is arriving.
        """
        return self._head_started_seconds

    def forget_head(self) -> None:
        """Wait no longer for the rest of a head."""
        self._head_started_seconds = None

    def feed(self, data: bytes) -> Iterator[Exchange]:
        """Parse received bytes.

        :param data: received bytes, empty when reading resumes after a pause
        :return: the requests that begin in them
        :raises MalformedRequestError: if bytes are no request; what came before them is
            returned first
        """
        for piece in split_behind_heads(data):
            yield from self._feed_piece(piece)

    def _feed_piece(self, data: bytes) -> list[Exchange]:
        was_in_body = self._is_in_body()
        if not self._lifecycle.reads:
            return []
        if not self._lifecycle.takes_requests and not was_in_body:
            return []
        try:
            messages, upgraded, _ = self.parser.feed_data(data)
        except HttpProcessingError as error:
            self._on_malformed(error)
            return []
        begun = [
            self._begin(message, payload)
            for message, payload in messages
            # Requests behind one that closes the connection are ignored.
            if self._lifecycle.takes_requests
        ]
        if upgraded:
            # The protocol cannot be changed; the data that follows is not HTTP.
            self._lifecycle.end_requests()
        if not was_in_body:
            self._track_incomplete_head(bool(messages), data)
        return begun

    def _begin(self, message: RawRequestMessage, payload: StreamReader) -> Exchange:
        if message.should_close:
            self._lifecycle.end_requests()
        self._last_payload = payload
        return Exchange(message, payload)

    def _is_in_body(self) -> bool:
        """Return whether the body of the last request has not arrived in full."""
        payload = self._last_payload
        return payload is not None and not payload.is_eof()

    def _track_incomplete_head(self, has_messages: bool, data: bytes) -> None:
        """Record when an incomplete request head began, for the header timeout."""
        if has_messages or self._is_in_body():
            self._head_started_seconds = None
        elif data and self._head_started_seconds is None:
            self._head_started_seconds = self._loop.time()

    def _on_malformed(self, error: HttpProcessingError) -> None:
        text = str(error.message)[:LOGGED_ERROR_CHARACTERS]
        if self._last_payload is not None and self._is_in_body():
            # The request that the body belongs to is refused.
            self._last_payload.set_exception(ConnectionResetError(text))
            self._lifecycle.end_requests()
        elif self._lifecycle.takes_requests:
            raise MalformedRequestError(text, step="http", peer="caller") from error
