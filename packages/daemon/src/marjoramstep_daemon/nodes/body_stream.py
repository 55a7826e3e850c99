"""Streaming of bodies between nodes with credit-based flow control."""

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
    """Flow control window of one stream: bytes that may still be sent."""

    def __init__(self) -> None:
        self._available_bytes = WINDOW_BYTES
        self._changed = asyncio.Event()
        self._error: MarjoramstepError | None = None

    def add(self, credit_bytes: int, peer: str) -> None:
        """Add credit from the receiver.

        :param credit_bytes: bytes that the receiver has consumed
        :param peer: the receiver, for the error message
        :raises ProtocolError: if the credit exceeds the window
        """
        if not 0 <= credit_bytes <= WINDOW_BYTES - self._available_bytes:
            raise ProtocolError(
                f"a credit of {credit_bytes} bytes exceeds the window",
                step="receive credit",
                peer=peer,
            )
        self._available_bytes += credit_bytes
        self._changed.set()

    def fail(self, error: MarjoramstepError) -> None:
        """Wake the sender with an error.

        :param error: the reason, raised to the sender
        """
        self._error = error
        self._changed.set()

    async def take(self, wanted_bytes: int) -> int:
        """Wait until at least one byte may be sent.

        :param wanted_bytes: bytes that are ready to be sent
        :return: number of bytes that may be sent now, at most ``wanted_bytes``
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
    """Rest of a body that is received in parts; buffers at most one window.

    :param connection: connection that receives the parts
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
        """Add a received part.

        :param part: the next part
        :raises ProtocolError: if the sender exceeds its credit or sends after the end
        """
        self._buffered_bytes += len(part.data)
        if self._buffered_bytes > WINDOW_BYTES or self._is_finished:
            raise ProtocolError(
                "body part exceeds the credit window or follows the end of the body",
                step="receive body",
                peer=self._connection.peer,
            )
        if part.data:
            self._parts.append(part.data)
        self._is_finished = part.last
        self._changed.set()

    def fail(self, error: MarjoramstepError) -> None:
        """Fail the body.

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

    :param connection: connection to send on
    :param stream_id: id of the stream
    :param body: the body; its ``rest`` is read
    :param window: credit of the stream
    :raises MarjoramstepError: if the source of the body or the connection fails
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
