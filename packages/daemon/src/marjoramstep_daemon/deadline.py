"""Bounds the time of a block of code on a known event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from types import TracebackType


class Deadline:
    """Cancels the task in its block after a time and raises ``TimeoutError`` then.

    Does what ``asyncio.timeout`` does, without looking up the running loop: each
    look-up is a system call on this version of Python, and each call passes here.

    :param loop: the running event loop
    :param limit_seconds: time that the block may take
    """

    __slots__ = (
        "_cancelling",
        "_is_expired",
        "_limit_seconds",
        "_loop",
        "_task",
        "_timer",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, limit_seconds: float) -> None:
        self._loop = loop
        self._limit_seconds = limit_seconds
        self._is_expired = False

    async def __aenter__(self) -> None:
        task = asyncio.current_task(self._loop)
        assert task is not None
        self._task = task
        self._cancelling = task.cancelling()
        self._timer = self._loop.call_later(
            max(self._limit_seconds, 0.0), self._on_timeout
        )

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._timer.cancel()
        if not self._is_expired:
            return
        is_own = self._task.uncancel() <= self._cancelling
        if is_own and kind is asyncio.CancelledError:
            # A cancellation by somebody else goes before the timeout.
            raise TimeoutError from error

    def _on_timeout(self) -> None:
        self._is_expired = True
        self._task.cancel()
