"""Interface and registry of the commands in the replicated log."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar
from typing import Protocol

from marjoramstep_core.registry import Registry


if TYPE_CHECKING:
    from typing import Self

    from .fields import Fields


class Command(Protocol):
    """A command of the replicated log; the leader sets ``log_time_ms``."""

    kind: ClassVar[str]

    @property
    def log_time_ms(self) -> int:
        """Time of the log entry in Unix milliseconds."""

    def to_json(self) -> dict[str, Any]:
        """Encode the fields as JSON values."""

    @classmethod
    def from_json(cls, fields: Fields) -> Self:
        """Decode the command; raises :class:`InvalidCommandError`."""


COMMANDS: Registry[type[Command]] = Registry("command")
