"""State of one request on a connection of a caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp.http import HttpVersion11

from ..request_progress import untracked_progress


if TYPE_CHECKING:
    from aiohttp.http import RawRequestMessage
    from aiohttp.streams import StreamReader

INTERIM_EXPECTATION = "100-continue"


class Exchange:
    """One request and its answer.

    :param message: head of the request
    :param payload: its body, which may still be arriving
    """

    def __init__(self, message: RawRequestMessage, payload: StreamReader) -> None:
        self.progress = untracked_progress()
        self.message = message
        self.payload = payload
        self.is_done = asyncio.Event()
        self.has_started = False
        self.has_answer = False
        self.expects_interim_answer = _expects_interim_answer(message)
        self.task: asyncio.Task[None] | None = None

    @property
    def length(self) -> int | None:
        """Length of the body as its head tells it, None if it is chunked."""
        text = self.message.headers.get("Content-Length")
        return None if text is None else int(text)

    @property
    def needs_interim_answer(self) -> bool:
        """Whether the caller waits for an interim answer before it sends the body."""
        is_waiting = self.expects_interim_answer and not self.has_answer
        return is_waiting and not self.payload.is_eof()


def _expects_interim_answer(message: RawRequestMessage) -> bool:
    """Return whether the caller may wait for an interim answer before its body."""
    if message.version < HttpVersion11:
        return False
    return message.headers.get("Expect", "").lower() == INTERIM_EXPECTATION
