"""Name-to-object registry with a registration decorator."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from .errors import InvalidInputError


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

T = TypeVar("T")


class Registry(Generic[T]):
    """Objects of one kind, looked up by name.

    :param kind: kind of the objects, used in error messages
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its target under a name.

        :param name: unique name of the object
        :return: a decorator that returns its target unchanged
        :raises ValueError: if the name is already registered
        """

        def add(target: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._entries[name] = target
            return target

        return add

    def get(self, name: str) -> T:
        """Return the object registered under a name.

        :param name: name of the object
        :return: the registered object
        :raises InvalidInputError: if the name is unknown
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(sorted(self._entries))
            raise InvalidInputError(
                f"unknown {self._kind} {name!r}; expected one of: {known}",
                step=f"look up {self._kind}",
            ) from None

    def names(self) -> list[str]:
        """Return all names in the order of registration.

        :return: the names
        """
        return list(self._entries)

    def __contains__(self, name: object) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)
