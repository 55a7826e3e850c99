"""Exception classes shared by all packages."""

from __future__ import annotations


class MarjoramstepError(Exception):
    """Base class of all errors of marjoramstep.

    :param message: what went wrong, in one sentence
    :param step: the operation that failed, such as ``read settings``
    :param peer: the other side: an address, a file name or ``local``
    """

    def __init__(self, message: str, *, step: str, peer: str = "local") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        return f"{self.message} (step: {self.step}, peer: {self.peer})"


class InvalidInputError(MarjoramstepError):
    """Input from a file, a peer or an operator is not valid."""


class ConnectionFailedError(MarjoramstepError):
    """A connection could not be opened or was lost."""


class ProtocolError(MarjoramstepError):
    """A peer violated the protocol."""


class UnavailableError(MarjoramstepError):
    """A required component does not respond or has no quorum."""
