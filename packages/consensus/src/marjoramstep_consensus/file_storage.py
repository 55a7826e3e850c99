"""File operations that the data folder needs, all within one folder."""

from __future__ import annotations

import contextlib
import fcntl
import os
from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from pathlib import Path


class FileStorage(Protocol):
    """Files of one folder; every method raises :class:`OSError` on failure.

    File contents are durable after ``sync``; created, renamed and removed names are
    durable after ``sync_folder``.
    """

    def lock(self, name: str) -> None:
        """Create the folder if needed and lock it until ``close``.

        :raises BlockingIOError: if another process holds the lock
        """

    def names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def write(self, name: str, data: bytes) -> None:
        """Create or replace a file."""

    def append(self, name: str, data: bytes) -> None:
        """Append all bytes to a file or raise."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    def replace(self, source: str, target: str) -> None:
        """Rename a file over another one."""

    def remove(self, name: str) -> None:
        """Delete a file."""

    def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""

    def close(self) -> None:
        """Close open files and release the lock."""


class LocalFileStorage:
    """Files of a folder on a local disk.

    :param folder: path of the folder; ``lock`` creates it if it does not exist
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._handles: dict[str, int] = {}
        self._lock_handle: int | None = None

    def lock(self, name: str) -> None:
        """Create the folder if needed and take an exclusive lock on a file in it.

        :param name: name of the lock file
        :raises BlockingIOError: if another process holds it
        """
        if not self._folder.is_dir():
            self._folder.mkdir(parents=True)
            _sync_folder(self._folder.parent)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        handle = os.open(self._folder / name, flags, 0o600)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(handle)
            raise
        self._lock_handle = handle

    def names(self) -> list[str]:
        """Return the names of all files.

        :return: names in arbitrary order
        """
        return os.listdir(self._folder)

    def read(self, name: str) -> bytes:
        """Return the content of a file.

        :param name: name of the file
        :return: its bytes
        """
        return (self._folder / name).read_bytes()

    def write(self, name: str, data: bytes) -> None:
        """Create or replace a file.

        :param name: name of the file
        :param data: its new content
        """
        self._close_handle(name)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._folder / name)
        self.append(name, data)

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file.

        :param name: name of the file
        :param data: bytes to append
        """
        handle = self._handle(name)
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file.

        :param name: name of the file
        :param size: new size in bytes
        """
        os.ftruncate(self._handle(name), size)

    def sync(self, name: str) -> None:
        """Make the content of a file durable.

        :param name: name of the file
        """
        os.fsync(self._handle(name))

    def replace(self, source: str, target: str) -> None:
        """Rename a file over another one.

        :param source: name of the new file
        :param target: its name after the call
        """
        self._close_handle(source)
        self._close_handle(target)
        os.replace(self._folder / source, self._folder / target)

    def remove(self, name: str) -> None:
        """Delete a file.

        :param name: name of the file
        """
        self._close_handle(name)
        os.unlink(self._folder / name)

    def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""
        _sync_folder(self._folder)

    def close(self) -> None:
        """Close open files and release the lock."""
        for name in list(self._handles):
            self._close_handle(name)
        if self._lock_handle is not None:
            os.close(self._lock_handle)
            self._lock_handle = None

    def _handle(self, name: str) -> int:
        if name not in self._handles:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            self._handles[name] = os.open(self._folder / name, flags, 0o600)
        return self._handles[name]

    def _close_handle(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)


def _sync_folder(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
