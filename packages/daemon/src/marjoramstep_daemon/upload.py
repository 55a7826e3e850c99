"""Streamed body of a request, buffered so that a refused call can be resent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_core.errors import ConnectionFailedError
from marjoramstep_core.errors import InvalidInputError


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

# A serving node accepts at most one credit window of 256 KiB before it runs the call,
# and one part of 64 KiB may wait for credit. A refused call can be resent as long as no
# more than that has been read.
RESTART_LIMIT_BYTES = 320 * 1024


class BodyTooLongError(InvalidInputError):
    """A streamed body exceeds the limit of its row."""


class Upload:
    """Rest of a caller's body, which can be read from its start more than once.

    Each new reader replaces the previous one, whose reads fail from then on.

    :param read: returns the next part, empty at the end
    :param first_part_bytes: length of the first part of the body, which is not included
        here
    """

    def __init__(
        self, read: Callable[[], Awaitable[bytes]], first_part_bytes: int
    ) -> None:
        self._read = read
        self._first_part_bytes = first_part_bytes
        self._total_bytes = 0
        self._buffered_parts: list[bytes] = []
        self._dropped_parts = 0
        self._is_finished = False
        self._lock = asyncio.Lock()
        self._reader: _UploadReader | None = None
        self.limit_bytes: int | None = None

    @property
    def can_restart(self) -> bool:
        """Whether all parts read so far are still buffered."""
        return self._dropped_parts == 0

    def open(self) -> AsyncIterator[bytes]:
        """Return a reader that starts at the first part.

        :return: the parts in order
        :raises ConnectionFailedError: if the first parts are no longer buffered
        """
        if not self.can_restart:
            raise ConnectionFailedError(
                "the start of the body is no longer buffered",
                step="read body",
                peer="caller",
            )
        self._reader = _UploadReader(self)
        return self._reader

    async def read_part(self, reader: _UploadReader, index: int) -> bytes | None:
        """Return one part.

        :param reader: reader that requests the part
        :param index: index of the part
        :return: the part, or None at the end
        :raises MarjoramstepError: if the body is truncated or too long, or a newer
            reader has replaced this one
        """
        async with self._lock:
            # The previous reader may still be waiting when a new one starts.
            if reader is not self._reader:
                raise ConnectionFailedError(
                    "a newer reader of the body has replaced this one",
                    step="read body",
                    peer="caller",
                )
            while index >= self._dropped_parts + len(self._buffered_parts):
                if self._is_finished:
                    return None
                await self._read_next()
            part = self._buffered_parts[index - self._dropped_parts]
            if self._total_bytes > RESTART_LIMIT_BYTES:
                del self._buffered_parts[: index + 1 - self._dropped_parts]
                self._dropped_parts = index + 1
            return part

    async def _read_next(self) -> None:
        part = await self._read()
        if not part:
            self._is_finished = True
            return
        self._total_bytes += len(part)
        length = self._first_part_bytes + self._total_bytes
        if self.limit_bytes is not None and length > self.limit_bytes:
            raise BodyTooLongError(
                f"the body is longer than {self.limit_bytes} bytes",
                step="read body",
                peer="caller",
            )
        self._buffered_parts.append(part)


class _UploadReader:
    # Not a generator: cancellation ends a waiting generator, and the next read would
    # mistake that for the end of the body.

    def __init__(self, upload: Upload) -> None:
        self._upload = upload
        self._index = 0

    def __aiter__(self) -> _UploadReader:
        return self

    async def __anext__(self) -> bytes:
        part = await self._upload.read_part(self, self._index)
        if part is None:
            raise StopAsyncIteration
        self._index += 1
        return part
