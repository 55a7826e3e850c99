"""Time limit for a block of code on a given event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_core.errors import MarjoramstepError


if TYPE_CHECKING:
    from collections.abc import AsyncIterable
    from collections.abc import AsyncIterator
    from types import TracebackType

    from marjoramstep_core.clock import Clock

# How long parts of a body are waited for after the deadline, all together. The sender
# stops at the deadline, and what it has sent is under way then.
LATE_WAIT_MS = 200.0
# What may be under way then: the largest receive buffers of the kernel on both hops
# and those of the nodes.
LATE_BYTES_LIMIT = 16 * 1024 * 1024
SECOND_MS = 1_000.0


class DeadlineExceededError(MarjoramstepError):
    """The rest of a body did not arrive before the deadline."""


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


async def end_at_deadline(
    parts: AsyncIterable[bytes], deadline_ms: float, clock: Clock
) -> AsyncIterator[bytes]:
    """Pass on the parts of a body that have been sent before the deadline.

    A slow reader still gets what has arrived: only the wait for the source counts.

    :param parts: the parts; cancelled when the wait for the next one ends
    :param deadline_ms: deadline in milliseconds of the clock
    :param clock: clock of the node
    :raises DeadlineExceededError: if the rest did not arrive in time
    """
    loop = asyncio.get_running_loop()
    source = aiter(parts)
    late_wait_ms, late_bytes = LATE_WAIT_MS, 0
    while late_bytes <= LATE_BYTES_LIMIT:
        started_ms = clock.now_ms()
        left_ms = max(deadline_ms - started_ms, 0.0) + late_wait_ms
        try:
            async with Deadline(loop, left_ms / SECOND_MS):
                part = await anext(source)
        except StopAsyncIteration:
            return
        except TimeoutError:
            break
        now_ms = clock.now_ms()
        if now_ms > deadline_ms:
            late_wait_ms -= now_ms - max(started_ms, deadline_ms)
            late_bytes += len(part)
        yield part
    raise DeadlineExceededError(
        "the rest of the body did not arrive before the deadline",
        step="receive body",
    )
