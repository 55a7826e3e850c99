"""Notices changes of the settings file."""

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

# The file may change without a signal.
CHECK_SECONDS = 1.0


class SettingsWatch:
    """Reads the settings file again.

    :param path: the file, None if there is none to watch
    """

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._seen = self._stamp()

    async def run(self, on_change: Callable[[str], None]) -> None:
        """Look at the file until cancelled.

        :param on_change: called with the cause of a reload
        """
        while self._path is not None:
            await asyncio.sleep(CHECK_SECONDS)
            stamp = self._stamp()
            if stamp != self._seen:
                self._seen = stamp
                on_change("file changed")

    def read(self, log: EventLog, cause: str) -> Settings | None:
        """Read the file.

        :param log: told why the settings in use are kept
        :param cause: why it is read
        :return: checked settings, None if they are not valid
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

    def _stamp(self) -> tuple[int, int]:
        if self._path is None:
            return 0, 0
        try:
            status = self._path.stat()
        except OSError:
            # A file that is being replaced is looked at again the next time.
            return 0, 0
        return status.st_mtime_ns, status.st_size
