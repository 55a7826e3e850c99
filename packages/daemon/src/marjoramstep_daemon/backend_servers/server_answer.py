"""Answer of the local backend server, as it is being received."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

from aiohttp.http_exceptions import HttpProcessingError
from marjoramstep_core.errors import ConnectionFailedError

from ..http.message import decode_headers


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping

    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader

    from ..calls import HeaderList

# What is read of a refusal's body so that its connection can be reused.
REFUSAL_BODY_LIMIT_BYTES = 65_536
REFUSAL_BODY_TIMEOUT_SECONDS = 0.2


class BrokenExchangeError(ConnectionFailedError):
    """The exchange ended without a complete answer; the request may have run."""


class AnswerConnection(Protocol):
    """What an answer needs of the connection on which it arrives."""

    def finish_answer(self) -> None:
        """Release the connection: the answer has been read to its end."""

    def abort(self) -> None:
        """Reset the connection: the answer will not be read to its end."""

    def exchange_error(self, text: str) -> BrokenExchangeError:
        """Build the error of the exchange.

        :param text: cause, empty if it is not known
        :return: the error
        """


class ServerAnswer:
    """Status and headers of an answer, with its body as a stream.

    :param connection: the connection on which it arrives
    :param message: its head
    :param payload: its body
    :param length: length of the body in bytes, or ``UNKNOWN_LENGTH``
    """

    def __init__(
        self,
        connection: AnswerConnection,
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
        self._is_finished = False

    def read_buffered(self) -> bytes | None:
        """Return the whole body if it has already been received without an error.

        :return: the body, or None if it is not complete yet
        """
        payload = self._payload
        if not payload.is_eof() or payload.exception() is not None:
            return None
        data: bytes = payload.read_nowait()
        self._is_finished = True
        self._connection.finish_answer()
        return data

    async def discard(self) -> None:
        """Read a short body to its end, or reset the connection of a long one."""
        try:
            async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_SECONDS):
                size = 0
                async for part in self.parts():
                    size += len(part)
                    if size > REFUSAL_BODY_LIMIT_BYTES:
                        break
        except (BrokenExchangeError, TimeoutError):
            # The status line and headers have told what there is to know.
            pass
        self.abandon()

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body in parts; the connection is released after the last one.

        :raises BrokenExchangeError: if it is not complete
        """
        was_read = False
        try:
            while part := await self._payload.readany():
                yield part
            was_read = True
        except (HttpProcessingError, OSError) as error:
            raise self._connection.exchange_error(str(error)) from error
        finally:
            if was_read:
                self._is_finished = True
                self._connection.finish_answer()
            else:
                self.abandon()

    def abandon(self) -> None:
        """Stop reading the answer; resets the connection unless the body was read."""
        if not self._is_finished:
            self._is_finished = True
            self._connection.abort()
