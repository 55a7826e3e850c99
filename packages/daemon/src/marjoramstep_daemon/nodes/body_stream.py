"""Streams bodies over a connection between nodes with a credit window."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from marjoramstep_core.errors import ProtocolError
from marjoramstep_wire.messages import BodyPart
from marjoramstep_wire.messages import Credit


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from marjoramstep_core.errors import MarjoramstepError
    from marjoramstep_wire.connection import PeerConnection

    from ..calls import Body

WINDOW_BYTES = 256 * 1024
PART_LIMIT_BYTES = 64 * 1024


class CreditWindow:
    """Bytes that may still be sent on one stream."""

    def __init__(self) -> None:
        self._available_bytes = WINDOW_BYTES
        self._changed = asyncio.Event()
        self._error: MarjoramstepError | None = None

    def add(self, credit_bytes: int, peer: str) -> None:
        """Allow more bytes.

        :param credit_bytes: bytes that the receiver has consumed
        :param peer: the receiver, for the error
        :raises ProtocolError: if the credit goes beyond the window
        """
        if not 0 <= credit_bytes <= WINDOW_BYTES - self._available_bytes:
            raise ProtocolError(
                f"a credit of {credit_bytes} bytes goes beyond the window",
                step="receive credit",
                peer=peer,
            )
        self._available_bytes += credit_bytes
        self._changed.set()

    def fail(self, error: MarjoramstepError) -> None:
        """Wake the sender with an error.

        :param error: why nothing can be sent any more
        """
        self._error = error
        self._changed.set()

    async def take(self, wanted_bytes: int) -> int:
        """Wait until at least one byte may be sent.

        :param wanted_bytes: bytes at hand
        :return: bytes that may be sent now, at most ``wanted_bytes``
        :raises MarjoramstepError: if the stream has failed
        """
        while self._available_bytes <= 0 and self._error is None:
            self._changed.clear()
            await self._changed.wait()
        if self._error is not None:
            raise self._error
        granted_bytes = min(wanted_bytes, self._available_bytes, PART_LIMIT_BYTES)
        self._available_bytes -= granted_bytes
        return granted_bytes


class IncomingBody:
    """Rest of a body that arrives in parts; holds at most one credit window.

    :param connection: where the parts come from
    :param stream_id: id of the stream
    """

    def __init__(self, connection: PeerConnection, stream_id: int) -> None:
        self._connection = connection
        self._stream_id = stream_id
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._is_finished = False
        self._error: MarjoramstepError | None = None
        self._changed = asyncio.Event()

    def feed(self, part: BodyPart) -> None:
        """Take a part from the connection.

        :param part: the next part
        :raises ProtocolError: if the sender ignores its credit or sends after the end
        """
        self._buffered_bytes += len(part.data)
        if self._buffered_bytes > WINDOW_BYTES or self._is_finished:
            raise ProtocolError(
                "a body part outside the credit window",
                step="receive body",
                peer=self._connection.peer,
            )
        if part.data:
            self._parts.append(part.data)
        self._is_finished = part.last
        self._changed.set()

    def fail(self, error: MarjoramstepError) -> None:
        """Break the body off.

        :param error: raised to the reader after the parts received so far
        """
        self._error = error
        self._changed.set()

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        while not self._parts:
            if self._is_finished:
                raise StopAsyncIteration
            if self._error is not None:
                raise self._error
            self._changed.clear()
            await self._changed.wait()
        part = self._parts.popleft()
        self._buffered_bytes -= len(part)
        if self._connection.is_open and not self._is_finished:
            self._connection.send(
                Credit(stream_id=self._stream_id, credit_bytes=len(part))
            )
        return part


async def send_rest(
    connection: PeerConnection, stream_id: int, body: Body, window: CreditWindow
) -> None:
    """Send the parts of a body after its first one.

    :param connection: where to send
    :param stream_id: id of the stream
    :param body: the body; its ``rest`` is read
    :param window: credit of the stream
    :raises MarjoramstepError: if the body's source or the connection breaks
    """
    if body.rest is None:
        return
    async for part in body.rest:
        offset = 0
        while offset < len(part):
            size = await window.take(len(part) - offset)
            data = part[offset : offset + size]
            connection.send(BodyPart(stream_id=stream_id, data=data, last=False))
            await connection.drain()
            offset += size
    connection.send(BodyPart(stream_id=stream_id, data=b"", last=True))
