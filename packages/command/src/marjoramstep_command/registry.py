"""Registry of the commands."""

from __future__ import annotations

import importlib
import inspect
import pkgutil
from dataclasses import dataclass
from importlib.metadata import entry_points
from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_core.registry import Registry

from .session import CONTROL_VARIABLE
from .session import TOKEN_FILE_VARIABLE


if TYPE_CHECKING:
    from collections.abc import Callable

    Handler = Callable[..., int | None]

# Other packages add commands by entry points of this group: the entry's name is the
# command's name, its object a handler as defopt reads it, which returns an exit status.
ENTRY_POINT_GROUP = "marjoramstep.commands"

COMMON_OPTIONS = {
    "control": (
        "Operator addresses ip:port of the replicas, separated by commas; by default "
        f"from {CONTROL_VARIABLE}."
    ),
    "token_file": f"File with the token; by default from {TOKEN_FILE_VARIABLE}.",
    "timeout_ms": "Longest wait for one answer, in milliseconds.",
    "edit_key": "Key of an edit that is sent again; needs the same --base-version.",
    "base_version": "Version of the table that is edited; by default the one in force.",
    "json": "Write JSON.",
}


@dataclass(frozen=True)
class Command:
    """A command.

    :param name: one or two words
    :param description: one sentence
    :param handler: function whose arguments defopt reads; returns the exit status
    """

    name: str
    description: str
    handler: Handler


COMMANDS: Registry[Command] = Registry("command")


def command(name: str, description: str) -> Callable[[Handler], Handler]:
    """Return a decorator that registers a handler.

    The help text is made of the description, the parameters in the handler's
    docstring and the common options among its parameters.

    :param name: one or two words
    :param description: one sentence
    :return: the decorator
    """

    def add(handler: Handler) -> Handler:
        _, marker, own = inspect.cleandoc(handler.__doc__ or "").partition(":param")
        common = [
            f":param {parameter}: {COMMON_OPTIONS[parameter]}"
            for parameter in inspect.signature(handler).parameters
            if parameter in COMMON_OPTIONS and f"param {parameter}:" not in marker + own
        ]
        handler.__doc__ = "\n".join([description, "", marker + own, *common])
        COMMANDS.register(name)(Command(name, description, handler))
        return handler

    return add


def load_commands() -> dict[str, Any]:
    """Import all commands, those of other packages included.

    :return: handlers by the first and, where there is one, the second word
    """
    package = importlib.import_module(".commands", __package__)
    for module in pkgutil.iter_modules(package.__path__):
        importlib.import_module(f".commands.{module.name}", __package__)
    functions: dict[str, Any] = {}
    for name in sorted(COMMANDS):
        first, _, second = name.partition(" ")
        handler = COMMANDS.get(name).handler
        if second:
            functions.setdefault(first, {})[second] = handler
        else:
            functions[first] = handler
    for entry in sorted(entry_points(group=ENTRY_POINT_GROUP), key=lambda e: e.name):
        functions.setdefault(entry.name, entry.load())
    return functions
