"""A streamed body of a caller, kept from its start as long as that is cheap."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_core.errors import ConnectionFailedError
from marjoramstep_core.errors import InvalidInputError


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

# A serving node takes no more than one credit window of 256 KiB before it runs the
# call, and one part of 64 KiB may wait for credit. A refused call can be sent again
# while no more than that has been read.
RESTART_LIMIT_BYTES = 320 * 1024


class BodyTooLongError(InvalidInputError):
    """The body turned out to be longer than its row allows."""


class Upload:
    """Reads the rest of a caller's body; can be read from its start more than once.

    Each reader replaces the one before, which fails from then on.

    :param read: returns the next part, empty at the end
    :param before_bytes: length of the first part, which is not part of this object
    """

    def __init__(self, read: Callable[[], Awaitable[bytes]], before_bytes: int) -> None:
        self._read = read
        self._before_bytes = before_bytes
        self._total_bytes = 0
        self._kept: list[bytes] = []
        self._dropped_parts = 0
        self._is_finished = False
        self._lock = asyncio.Lock()
        self._reader: _Reader | None = None
        self.limit_bytes: int | None = None

    @property
    def can_restart(self) -> bool:
        """Whether everything that was read is still there."""
        return self._dropped_parts == 0

    def open(self) -> AsyncIterator[bytes]:
        """Return a reader that starts at the first part.

        :return: the parts in order
        :raises ConnectionFailedError: if the first parts are gone
        """
        if not self.can_restart:
            raise ConnectionFailedError(
                "the start of the body is gone", step="read body", peer="caller"
            )
        self._reader = _Reader(self)
        return self._reader

    async def part(self, reader: _Reader, index: int) -> bytes | None:
        """Return one part.

        :param reader: who asks
        :param index: number of the part
        :return: the part, or None at the end
        :raises MarjoramstepError: if the body breaks off or is too long, or another
            reader has taken over
        """
        async with self._lock:
            # The former reader may still be waiting when a new one starts.
            if reader is not self._reader:
                raise ConnectionFailedError(
                    "the body is read again from its start",
                    step="read body",
                    peer="caller",
                )
            while index >= self._dropped_parts + len(self._kept):
                if self._is_finished:
                    return None
                await self._read_next()
            part = self._kept[index - self._dropped_parts]
            if self._total_bytes > RESTART_LIMIT_BYTES:
                del self._kept[: index + 1 - self._dropped_parts]
                self._dropped_parts = index + 1
            return part

    async def _read_next(self) -> None:
        part = await self._read()
        if not part:
            self._is_finished = True
            return
        self._total_bytes += len(part)
        length = self._before_bytes + self._total_bytes
        if self.limit_bytes is not None and length > self.limit_bytes:
            raise BodyTooLongError(
                f"the body is longer than {self.limit_bytes} bytes",
                step="read body",
                peer="caller",
            )
        self._kept.append(part)


class _Reader:
    # A class instead of a generator: a generator that is cancelled while it waits
    # ends, and the next read would take that for the end of the body.

    def __init__(self, upload: Upload) -> None:
        self._upload = upload
        self._index = 0

    def __aiter__(self) -> _Reader:
        return self

    async def __anext__(self) -> bytes:
        part = await self._upload.part(self, self._index)
        if part is None:
            raise StopAsyncIteration
        self._index += 1
        return part
