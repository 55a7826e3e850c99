"""Base of the exception tree."""

from __future__ import annotations


class MarjoramstepError(Exception):
    """Base of all errors of marjoramstep.

    :param message: what went wrong, in one sentence
    :param step: the step at which the error arose, such as ``read settings``
    :param peer: the peer involved, such as an address, a file or ``local``
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
    """A connection could not be opened, or broke."""


class ProtocolError(MarjoramstepError):
    """A peer broke the protocol."""


class UnavailableError(MarjoramstepError):
    """A part that is needed does not answer or has no quorum."""
