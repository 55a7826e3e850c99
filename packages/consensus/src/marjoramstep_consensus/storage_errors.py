"""Errors of the data folder."""

from __future__ import annotations

from marjoramstep_core.errors import MarjoramstepError


class StorageError(MarjoramstepError):
    """The data folder cannot be used."""


class FolderLockedError(StorageError):
    """Another process uses the data folder."""


class FolderReadOnlyError(StorageError):
    """The data folder cannot be written."""


class DiskFullError(StorageError):
    """The disk has no room; nothing that was stored is lost."""


class StoredDataDamagedError(StorageError):
    """Stored data is damaged before the end of the log, or a file is missing."""


class FolderNotEmptyError(StorageError):
    """A deployment can be started only on an empty data folder."""
