"""Writes log lines without ever waiting for their reader."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from typing import Any

import orjson


# Lines that wait for a slow reader; about a second's worth at the rate limits.
BUFFER_LIMIT_BYTES = 1024 * 1024
# Lines are collected for this long, so that a burst costs few system calls.
FLUSH_SECONDS = 0.1
RETRY_SECONDS = 0.25
WRITE_LIMIT_BYTES = 64 * 1024


class LogSink:
    """Destination of log messages: a bounded buffer in front of a file descriptor.

    What does not fit is dropped and counted; the count is written with the next line
    that fits.

    :param descriptor: a file descriptor; a pipe is made non-blocking
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped = 0
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Take a message.

        :param message: its fields
        """
        if self._dropped and self._buffered_bytes < BUFFER_LIMIT_BYTES // 2:
            message = {**message, "lines_dropped_before": self._dropped}
            self._dropped = 0
        line = orjson.dumps(message, default=str) + b"\n"
        if self._buffered_bytes + len(line) > BUFFER_LIMIT_BYTES:
            self._dropped += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)
        self._schedule(FLUSH_SECONDS)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._lines:
            data = self._lines[0]
            try:
                written = os.write(self._descriptor, data[:WRITE_LIMIT_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more; its lines cannot be reported anywhere.
                self._dropped += len(self._lines)
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written == len(data):
                self._lines.popleft()
            else:
                self._lines[0] = data[written:]

    def _schedule(self, delay_seconds: float) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before the event loop runs and after it has ended.
            self.flush()
            return
        self._timer = loop.call_later(delay_seconds, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._merge()
        self.flush()
        if self._lines:
            self._schedule(RETRY_SECONDS)

    def _merge(self) -> None:
        """Join the lines, so that they are written by few system calls."""
        if len(self._lines) > 1:
            data = b"".join(self._lines)
            self._lines.clear()
            self._lines.append(data)
