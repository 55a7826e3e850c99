"""Non-blocking destination for log lines."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from typing import Any

import orjson


# Holds about one second of lines at the rate limits while the reader is slow.
BUFFER_LIMIT_BYTES = 1024 * 1024
# Lines are collected for this time, so that a burst needs few system calls.
FLUSH_SECONDS = 0.1
RETRY_SECONDS = 0.25
WRITE_LIMIT_BYTES = 64 * 1024


class LogSink:
    """Log destination with a bounded buffer in front of a file descriptor.

    Lines that exceed the buffer are dropped and counted; the count is written with a
    later line, once there is room again.

    :param descriptor: file descriptor, which is set to non-blocking mode
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped_lines = 0
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Add a message to the buffer.

        :param message: fields of the message
        """
        if self._dropped_lines and self._buffered_bytes < BUFFER_LIMIT_BYTES // 2:
            message = {**message, "lines_dropped_before": self._dropped_lines}
            self._dropped_lines = 0
        line = orjson.dumps(message, default=str) + b"\n"
        if self._buffered_bytes + len(line) > BUFFER_LIMIT_BYTES:
            self._dropped_lines += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)
        self._schedule(FLUSH_SECONDS)

    def flush(self) -> None:
        """Write as much as possible without blocking."""
        while self._lines:
            data = self._lines[0]
            try:
                written = os.write(self._descriptor, data[:WRITE_LIMIT_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the log: there is nowhere left to report to.
                self._dropped_lines += len(self._lines)
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
            # The event loop has not started yet or has ended.
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
        """Join the lines, so that writing them takes few system calls."""
        if len(self._lines) > 1:
            data = b"".join(self._lines)
            self._lines.clear()
            self._lines.append(data)
