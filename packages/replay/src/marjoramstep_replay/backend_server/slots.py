"""Slots of a server: work beyond them waits in order of arrival."""

from __future__ import annotations

import asyncio
from collections import deque


class SlotPool:
    """Grants slots in order of arrival.

    :param slots: number of slots
    """

    def __init__(self, slots: int) -> None:
        self._free = slots
        self._slots = slots
        self._waiters: deque[asyncio.Future[None]] = deque()

    @property
    def in_use(self) -> int:
        """Number of slots that are held."""
        return self._slots - self._free

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiters)

    async def acquire(self) -> None:
        """Wait for a slot; a cancelled wait takes none."""
        if self._free > 0:
            self._free -= 1
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            else:
                self._waiters.remove(waiter)
            raise

    def release(self) -> None:
        """Give a slot back; the request that has waited longest gets it."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._free += 1
