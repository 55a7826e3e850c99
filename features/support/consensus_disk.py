"""In-memory file storage that loses unsynced data in a crash."""

from __future__ import annotations

import copy
import errno
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from random import Random


class SimulatedCrashError(BaseException):
    """The process crashes during a file operation."""


class _Inode:
    def __init__(self) -> None:
        self.data = b""
        self.synced = b""


class MemoryDisk:
    """Files of one folder, which survive a crash of the process that uses them."""

    def __init__(self) -> None:
        self._live: dict[str, _Inode] = {}
        self._durable: dict[str, _Inode] = {}
        self.operations_left: int | None = None
        self.append_error: int | None = None
        self.sync_error: int | None = None
        self.operations: list[str] = []

    def lose_unsynced(self, rng: Random) -> None:
        """Drop unsynced names and bytes; any prefix of an append may remain."""
        self.operations_left = None
        self._live = dict(self._durable)
        for inode in self._live.values():
            added = inode.data[len(inode.synced) :]
            kept = bytearray(added[: rng.randint(0, len(added))])
            if kept and rng.random() < 0.5:
                kept[rng.randrange(len(kept))] ^= 0x5A
            inode.data = inode.synced = inode.synced + bytes(kept)

    def copy(self) -> MemoryDisk:
        """Return an independent copy."""
        return copy.deepcopy(self)

    def _step(self, name: str) -> None:
        self.operations.append(name)
        if self.operations_left is not None:
            self.operations_left -= 1
            if self.operations_left < 0:
                raise SimulatedCrashError(name)

    def lock(self, name: str) -> None:
        """Do nothing; locking is tested with real files."""

    def names(self) -> list[str]:
        return list(self._live)

    def read(self, name: str) -> bytes:
        return self._live[name].data

    def write(self, name: str, data: bytes) -> None:
        self._live[name] = _Inode()
        self.append(name, data)

    def append(self, name: str, data: bytes) -> None:
        inode = self._live.setdefault(name, _Inode())
        if self.append_error is not None:
            inode.data += data[: len(data) // 2]
            raise OSError(self.append_error, errno.errorcode[self.append_error])
        inode.data += data
        self._step(f"append {name}")

    def truncate(self, name: str, size: int) -> None:
        inode = self._live[name]
        inode.data = inode.data[:size]
        inode.synced = inode.synced[:size]

    def sync(self, name: str) -> None:
        if self.sync_error is not None:
            raise OSError(self.sync_error, errno.errorcode[self.sync_error])
        inode = self._live[name]
        inode.synced = inode.data
        self._step(f"sync {name}")

    def replace(self, source: str, target: str) -> None:
        self._live[target] = self._live.pop(source)
        self._step(f"replace {target}")

    def remove(self, name: str) -> None:
        del self._live[name]

    def sync_folder(self) -> None:
        self._durable = dict(self._live)
        self._step("sync folder")

    def close(self) -> None:
        pass
