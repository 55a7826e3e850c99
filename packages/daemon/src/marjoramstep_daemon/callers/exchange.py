"""State of one request on a connection of a caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from aiohttp.http import RawRequestMessage
    from aiohttp.streams import StreamReader


class Exchange:
    """One request and its answer.

    :param message: head of the request
    :param payload: its body, which may still be arriving
    """

    def __init__(self, message: RawRequestMessage, payload: StreamReader) -> None:
        self.message = message
        self.payload = payload
        self.is_done = asyncio.Event()
        self.has_started = False
        self.has_answer = False
        self.task: asyncio.Task[None] | None = None
