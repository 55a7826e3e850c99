"""Checked reading of JSON objects."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_core.errors import InvalidInputError


if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path
    from typing import TypeVar

    T = TypeVar("T")


class Fields:
    """Reads the fields of one JSON object and refuses fields that nobody read.

    :param document: value found
    :param where: place of the object, used in error messages
    :raises InvalidInputError: if the value is not an object
    """

    def __init__(self, document: Any, where: str) -> None:
        self.where = where
        if not isinstance(document, dict):
            raise self.error(f"expected an object, found {document!r}")
        self._document: dict[str, Any] = document
        self._read: set[str] = set()

    def error(self, problem: str) -> InvalidInputError:
        """Build an error that names the place.

        :param problem: what was found and expected
        :return: the error, to be raised by the caller
        """
        return InvalidInputError(f"{self.where}: {problem}", step="read document")

    def __contains__(self, name: str) -> bool:
        return name in self._document

    def raw(self, name: str, default: Any = None) -> Any:
        """Return a field without a check.

        :param name: name of the field
        :param default: value when the field is missing
        :return: the value found
        """
        self._read.add(name)
        return self._document.get(name, default)

    def text(self, name: str, default: str | None = None) -> str:
        """Return a text.

        :param name: name of the field
        :param default: value when the field is missing; None makes it required
        :return: the text
        :raises InvalidInputError: if it is missing or no text
        """
        value = self.raw(name, default)
        if not isinstance(value, str):
            raise self.error(f"{name} must be a text, found {value!r}")
        return value

    def choice(self, name: str, choices: tuple[str, ...], default: str) -> str:
        """Return one of several texts.

        :param name: name of the field
        :param choices: texts allowed
        :param default: value when the field is missing
        :return: the text
        :raises InvalidInputError: if it is another value
        """
        value = self.text(name, default)
        if value not in choices:
            known = ", ".join(choices)
            raise self.error(f"{name} must be one of {known}, found {value!r}")
        return value

    def number(
        self, name: str, default: float | None = None, low: float = 0.0
    ) -> float:
        """Return a number.

        :param name: name of the field
        :param default: value when the field is missing; None makes it required
        :param low: smallest value allowed
        :return: the number
        :raises InvalidInputError: if it is missing, no number or too small
        """
        value = self.raw(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.error(f"{name} must be a number, found {value!r}")
        if not low <= value < float("inf"):
            raise self.error(f"{name} must be at least {low:g}, found {value!r}")
        return float(value)

    def integer(self, name: str, default: int | None = None, low: int = 0) -> int:
        """Return a whole number.

        :param name: name of the field
        :param default: value when the field is missing; None makes it required
        :param low: smallest value allowed
        :return: the number
        :raises InvalidInputError: if it is missing, not whole or too small
        """
        value = self.number(name, default, low)
        if value != int(value):
            raise self.error(f"{name} must be a whole number, found {value!r}")
        return int(value)

    def flag(self, name: str, default: bool) -> bool:
        """Return a truth value.

        :param name: name of the field
        :param default: value when the field is missing
        :return: the value
        :raises InvalidInputError: if it is another value
        """
        value = self.raw(name, default)
        if not isinstance(value, bool):
            raise self.error(f"{name} must be true or false, found {value!r}")
        return value

    def texts(self, name: str) -> dict[str, str]:
        """Return an object of texts; empty when the field is missing.

        :param name: name of the field
        :return: text by name
        :raises InvalidInputError: if it is another value
        """
        value = self.raw(name, {})
        if not isinstance(value, dict) or not all(
            isinstance(text, str) for text in value.values()
        ):
            raise self.error(f"{name} must be an object of texts, found {value!r}")
        return dict(value)

    def list(self, name: str, parse: Callable[[Any, str], T]) -> tuple[T, ...]:
        """Return a list whose entries are parsed; empty when the field is missing.

        :param name: name of the field
        :param parse: takes an entry and its place
        :return: the parsed entries
        :raises InvalidInputError: if it is no list, or an entry is not valid
        """
        value = self.raw(name, [])
        if not isinstance(value, list):
            raise self.error(f"{name} must be a list, found {value!r}")
        where = f"{self.where}.{name}"
        return tuple(
            parse(entry, f"{where}[{index}]") for index, entry in enumerate(value)
        )

    def finish(self) -> None:
        """Refuse fields that were not read.

        :raises InvalidInputError: names the unknown fields
        """
        unknown = sorted(set(self._document) - self._read)
        if unknown:
            raise self.error(f"unknown fields {', '.join(unknown)}")


def read_json(path: Path) -> Any:
    """Read a JSON file.

    :param path: the file
    :return: the value in it
    :raises InvalidInputError: if the file cannot be read or holds no JSON
    """
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise InvalidInputError(
            f"cannot read JSON: {error}", step="read document", peer=str(path)
        ) from error
