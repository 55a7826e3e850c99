"""Detects changes of the settings file and reloads it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .settings import InvalidSettingsError
from .settings import read_settings


if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from .log import EventLog
    from .settings import Settings

# The file is polled, since it may change without SIGHUP being sent.
POLL_INTERVAL_SECONDS = 1.0


class SettingsWatcher:
    """Polls the settings file for changes and reads it again.

    :param path: the settings file, None to watch nothing
    """

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._last_file_state = self._file_state()

    async def run(self, on_change: Callable[[str], None]) -> None:
        """Poll the file until cancelled.

        :param on_change: called with the cause of the reload after each change
        """
        while self._path is not None:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            file_state = self._file_state()
            if file_state != self._last_file_state:
                self._last_file_state = file_state
                on_change("file changed")

    def read(self, log: EventLog, cause: str) -> Settings | None:
        """Read the file.

        :param log: receives the faults of a file that is missing or not valid
        :param cause: cause of the reload, for the log
        :return: the settings, None if no file is watched or it cannot be read or is
            not valid
        """
        if self._path is None:
            return None
        try:
            return read_settings(self._path)
        except InvalidSettingsError as error:
            log.write(
                "settings not reloaded",
                step="reload",
                cause=cause,
                faults=error.faults[:10],
            )
            return None

    def _file_state(self) -> tuple[int, int]:
        if self._path is None:
            return 0, 0
        try:
            status = self._path.stat()
        except OSError:
            # A missing file counts as a change, and so does its return.
            return 0, 0
        return status.st_mtime_ns, status.st_size
