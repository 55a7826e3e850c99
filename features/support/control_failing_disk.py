"""Runs the daemon on a file layer that fails while a trigger file exists."""

from __future__ import annotations

import errno
import os
import sys
from pathlib import Path

from marjoramstep_consensus.file_storage import LocalFileStorage
from marjoramstep_daemon.main import main


TRIGGER = Path(sys.argv.pop(1))
append = LocalFileStorage.append


def failing_append(self: LocalFileStorage, name: str, data: bytes) -> None:
    if TRIGGER.exists():
        # A full disk stores part of the bytes before the write fails.
        append(self, name, data[: len(data) // 2])
        number = getattr(errno, TRIGGER.read_text())
        raise OSError(number, os.strerror(number))
    append(self, name, data)


if __name__ == "__main__":
    LocalFileStorage.append = failing_append  # type: ignore[method-assign]
    main()
