"""Errors of the replicated state."""

from __future__ import annotations

from marjoramstep_core.errors import InvalidInputError


class InvalidCommandError(InvalidInputError):
    """A payload is not a valid command and must not be proposed."""

    def __init__(self, message: str) -> None:
        super().__init__(message, step="decode command")


class InvalidSnapshotError(InvalidInputError):
    """A snapshot is damaged or has an unsupported format."""

    def __init__(self, message: str) -> None:
        super().__init__(message, step="restore snapshot")
