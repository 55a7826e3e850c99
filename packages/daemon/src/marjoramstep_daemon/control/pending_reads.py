"""Reads of a replica that wait for the confirmation of a quorum."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .futures import fail_future
from .futures import resolve_future


if TYPE_CHECKING:
    from collections.abc import Iterable

    from marjoramstep_core.errors import MarjoramstepError


class PendingReads:
    """Holds the future of each read by its number."""

    def __init__(self) -> None:
        self._futures: dict[int, asyncio.Future[None]] = {}

    def add(self, read_id: int) -> asyncio.Future[None]:
        """Add a read.

        :param read_id: its number
        :return: resolved once the read is confirmed
        """
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._futures[read_id] = future
        return future

    def discard(self, read_id: int) -> None:
        """Forget a read that has ended.

        :param read_id: its number
        """
        self._futures.pop(read_id, None)

    def confirm(self, read_ids: Iterable[int]) -> None:
        """Let reads continue.

        :param read_ids: their numbers; unknown ones are ignored
        """
        for read_id in read_ids:
            resolve_future(self._futures.get(read_id), None)

    def fail(self, read_ids: Iterable[int], error: MarjoramstepError) -> None:
        """Fail reads.

        :param read_ids: their numbers; unknown ones are ignored
        :param error: the error that their callers get
        """
        for read_id in read_ids:
            fail_future(self._futures.get(read_id), error)
