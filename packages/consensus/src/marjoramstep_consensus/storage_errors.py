"""Errors of the data folder."""

from __future__ import annotations

from marjoramstep_core.errors import MarjoramstepError


class StorageError(MarjoramstepError):
    """The data folder cannot be used."""


class FolderLockedError(StorageError):
    """Another process has locked the data folder."""


class FolderReadOnlyError(StorageError):
    """The data folder is not writable."""


class DiskFullError(StorageError):
    """The disk is full; data stored earlier is not affected."""


class StoredDataDamagedError(StorageError):
    """Stored data is corrupt, except for a torn last record, or a file is missing."""


class IdentityExistsError(StorageError):
    """The data folder already has an identity."""
