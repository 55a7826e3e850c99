"""Errors of the command and its exit statuses."""

from __future__ import annotations

from enum import IntEnum
from enum import unique
from typing import ClassVar

from marjoramstep_core.errors import ConnectionFailedError
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.errors import UnavailableError


@unique
class ExitStatus(IntEnum):
    """Exit statuses; scripts rely on them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNKNOWN = 5
    UNAVAILABLE = 6
    NOT_FOUND = 7
    NOT_VERIFIED = 8
    DENIED = 9
    TIMED_OUT = 10
    INTERRUPTED = 130


class UsageError(InvalidInputError):
    """An argument, an environment variable or a file that it names is not valid."""

    exit_status: ClassVar[ExitStatus] = ExitStatus.USAGE


class DeniedError(MarjoramstepError):
    """The token is not accepted."""

    exit_status: ClassVar[ExitStatus] = ExitStatus.DENIED


class NotFoundError(MarjoramstepError):
    """What was asked for does not exist."""

    exit_status: ClassVar[ExitStatus] = ExitStatus.NOT_FOUND


class RefusedError(MarjoramstepError):
    """A replica refused the request."""

    exit_status: ClassVar[ExitStatus] = ExitStatus.REFUSED


class UnknownOutcomeError(MarjoramstepError):
    """A change was sent and its outcome is not known."""

    exit_status: ClassVar[ExitStatus] = ExitStatus.UNKNOWN


class NoReplicaError(UnavailableError):
    """No replica answered, or none had a quorum; nothing was changed."""

    exit_status: ClassVar[ExitStatus] = ExitStatus.UNAVAILABLE


class WaitTimedOutError(MarjoramstepError):
    """A condition did not hold in time."""

    exit_status: ClassVar[ExitStatus] = ExitStatus.TIMED_OUT


def exit_status_of(error: MarjoramstepError) -> ExitStatus:
    """Return the exit status for an error.

    :param error: the error
    :return: its own status, or the one of its kind
    """
    own = getattr(error, "exit_status", None)
    if isinstance(own, ExitStatus):
        return own
    if isinstance(error, (UnavailableError, ConnectionFailedError)):
        return ExitStatus.UNAVAILABLE
    if isinstance(error, InvalidInputError):
        return ExitStatus.USAGE
    if isinstance(error, ProtocolError):
        return ExitStatus.FAILED
    return ExitStatus.FAILED
