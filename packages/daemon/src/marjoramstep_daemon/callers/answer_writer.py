"""Writes answers to a caller's connection."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp.http import HttpVersion11
from aiohttp.http import StreamWriter

from ..calls import UNKNOWN_LENGTH
from ..http.message import plain_answer


if TYPE_CHECKING:
    import asyncio

    from aiohttp.base_protocol import BaseProtocol
    from aiohttp.http import RawRequestMessage

    from ..http.message import HttpAnswer

STATUSES_WITHOUT_BODY = frozenset({204, 304})


class AnswerWriter:
    """Writes one answer and its framing.

    :param protocol: protocol of the connection
    :param loop: the running event loop
    :param answer: the answer
    """

    def __init__(
        self,
        protocol: BaseProtocol,
        loop: asyncio.AbstractEventLoop,
        answer: HttpAnswer,
    ) -> None:
        self._answer = answer
        self._writer = StreamWriter(protocol, loop)

    def frame(self, message: RawRequestMessage, *, closes: bool) -> bool:
        """Set the headers that tell how long the answer is and what follows it.

        :param message: head of the request
        :param closes: whether the connection is to close after the answer
        :return: whether it closes, also since nothing else ends the answer
        """
        headers, body = self._answer.headers, self._answer.body
        is_http_1_1 = message.version >= HttpVersion11
        if body.is_complete:
            if self._answer.status not in STATUSES_WITHOUT_BODY:
                headers.setdefault("Content-Length", str(len(body.data)))
        elif body.length != UNKNOWN_LENGTH:
            headers["Content-Length"] = str(body.length)
        elif is_http_1_1:
            headers["Transfer-Encoding"] = "chunked"
            self._writer.enable_chunking()
        else:
            closes = True
        if closes:
            headers["Connection"] = "close"
        elif not is_http_1_1:
            headers["Connection"] = "keep-alive"
        return closes

    async def write(self, message: RawRequestMessage) -> None:
        """Write the answer in full.

        :param message: head of the request
        :raises MarjoramstepError: if the source of the body fails
        :raises OSError: if the connection breaks
        """
        answer, writer = self._answer, self._writer
        await writer.write_headers(_status_line(answer.status), answer.headers)
        if message.method == "HEAD" or answer.status in STATUSES_WITHOUT_BODY:
            await writer.write_eof()
        elif answer.body.is_complete:
            await writer.write_eof(answer.body.data)
        else:
            async for part in answer.body.parts():
                await writer.write(part)
            await writer.write_eof()


async def write_refusal(
    protocol: BaseProtocol, loop: asyncio.AbstractEventLoop, status: HTTPStatus
) -> None:
    """Write an answer to bytes that are no request; the connection is to be closed.

    :param protocol: protocol of the connection
    :param loop: the running event loop
    :param status: status of the answer
    """
    answer = plain_answer(status, status.phrase, closes=True)
    answer.headers["Connection"] = "close"
    writer = StreamWriter(protocol, loop)
    await writer.write_headers(_status_line(status), answer.headers)
    await writer.write_eof(answer.body.data)


def _status_line(status: int) -> str:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"HTTP/1.1 {int(status)} {phrase}"
