"""Time limit for a block of code on a given event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from types import TracebackType


class Deadline:
    """Context manager that cancels its block after a time limit.

    It raises ``TimeoutError`` then. It is equivalent to ``asyncio.timeout`` but does
    not look up the running loop. In CPython 3.11 that lookup calls ``getpid``, a system
    call, and every call uses this class.

    :param loop: the running event loop
    :param limit_seconds: maximum duration of the block
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
        # A cancellation from outside takes precedence: its CancelledError continues.
        is_only_timeout = self._task.uncancel() <= self._cancelling
        if is_only_timeout and kind is asyncio.CancelledError:
            raise TimeoutError from error

    def _on_timeout(self) -> None:
        self._is_expired = True
        self._task.cancel()
