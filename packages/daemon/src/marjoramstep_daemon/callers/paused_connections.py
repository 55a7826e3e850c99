"""Notices callers that leave while their connection is not being read."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .http_connection import CallerConnection

# The event loop reports nothing about a connection whose reading is paused.
CHECK_INTERVAL_SECONDS = 0.1


class PausedConnections:
    """Checks the connections whose reading is paused; idle if there are none."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._connections: set[CallerConnection] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, connection: CallerConnection) -> None:
        """Watch a connection until its reading resumes or it has closed.

        :param connection: connection whose reading has just been paused
        """
        self._connections.add(connection)
        if self._timer is None:
            self._schedule()

    def close(self) -> None:
        """Stop watching."""
        self._connections.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        self._timer = self._loop.call_later(CHECK_INTERVAL_SECONDS, self._check)

    def _check(self) -> None:
        self._timer = None
        self._connections = {
            connection for connection in self._connections if connection.is_paused
        }
        for connection in self._connections:
            if connection.has_caller_left():
                connection.abort()
        if self._connections:
            self._schedule()
