"""Validated access to the fields of a JSON object."""

from __future__ import annotations

import base64
import binascii
import re
from typing import Any

from .errors import InvalidCommandError


TEXT_LIMIT_CHARACTERS = 512
# Integers up to this limit are exact in every JSON parser.
INTEGER_LIMIT = 2**53
# Year 5138. Sums of a time and a duration stay below INTEGER_LIMIT, so that every state
# that a command can produce can be restored from its snapshot.
TIME_LIMIT_MS = 10**14
EDIT_KEY_PATTERN = re.compile(r"[A-Za-z0-9_.:-]{1,128}")


class Fields:
    """Reads typed fields; errors name the invalid field.

    :param document: the decoded JSON value
    :raises InvalidCommandError: if the value is not an object
    """

    def __init__(self, document: Any) -> None:
        if not isinstance(document, dict):
            raise InvalidCommandError("expected a JSON object")
        self._document: dict[str, Any] = document

    def text(self, name: str, *, limit: int = TEXT_LIMIT_CHARACTERS) -> str:
        """Return a string of limited length.

        :param name: name of the field
        :param limit: maximum number of characters
        :return: the string, may be empty
        :raises InvalidCommandError: if it is missing, not a string or too long
        """
        value = self._document.get(name)
        if not isinstance(value, str) or len(value) > limit:
            raise self._error(name, f"a string of at most {limit} characters")
        return value

    def non_empty_text(self, name: str) -> str:
        """Return a non-empty string.

        :param name: name of the field
        :return: the string
        :raises InvalidCommandError: if it is missing, not a string, empty or too long
        """
        value = self.text(name)
        if not value:
            raise self._error(name, "a non-empty string")
        return value

    def edit_key(self, name: str) -> str:
        """Return an edit key.

        :param name: name of the field
        :return: the key
        :raises InvalidCommandError: if the key is malformed
        """
        value = self.text(name)
        if not EDIT_KEY_PATTERN.fullmatch(value):
            raise self._error(name, "1 to 128 letters, digits, '_', '.', ':' or '-'")
        return value

    def integer(self, name: str) -> int:
        """Return a non-negative integer.

        :param name: name of the field
        :return: the integer
        :raises InvalidCommandError: if it is missing, not an integer or out of range
        """
        value = self._document.get(name)
        if type(value) is not int or not 0 <= value <= INTEGER_LIMIT:
            raise self._error(name, "an integer from 0 to 2^53")
        return value

    def time_ms(self, name: str) -> int:
        """Return a time in Unix milliseconds.

        :param name: name of the field
        :return: the time
        :raises InvalidCommandError: if it is missing, not an integer or out of range
        """
        value = self.integer(name)
        if value > TIME_LIMIT_MS:
            raise self._error(name, f"Unix milliseconds up to {TIME_LIMIT_MS}")
        return value

    def flag(self, name: str) -> bool:
        """Return a boolean.

        :param name: name of the field
        :return: the value
        :raises InvalidCommandError: if it is missing or not a boolean
        """
        value = self._document.get(name)
        if not isinstance(value, bool):
            raise self._error(name, "true or false")
        return value

    def list_field(self, name: str) -> list[Any]:
        """Return a list with elements of any type.

        :param name: name of the field
        :return: the list
        :raises InvalidCommandError: if it is missing or not a list
        """
        value = self._document.get(name)
        if not isinstance(value, list):
            raise self._error(name, "a list")
        return value

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of strings.

        :param name: name of the field
        :return: the strings
        :raises InvalidCommandError: if it is missing or not a list of strings
        """
        values = self.list_field(name)
        if not all(isinstance(value, str) for value in values):
            raise self._error(name, "a list of strings")
        return tuple(values)

    def value(self, name: str) -> Any:
        """Return a field of any type.

        :param name: name of the field
        :return: the value, ``None`` when it is missing
        """
        return self._document.get(name)

    def base64_bytes(self, name: str) -> bytes:
        """Decode bytes from base64.

        :param name: name of the field
        :return: the bytes
        :raises InvalidCommandError: if it is missing or not base64
        """
        value = self._document.get(name)
        if not isinstance(value, str):
            raise self._error(name, "a base64 string")
        try:
            return base64.b64decode(value, validate=True)
        except (binascii.Error, ValueError):
            raise self._error(name, "a base64 string") from None

    def _error(self, name: str, expected: str) -> InvalidCommandError:
        found = repr(self._document.get(name))[:80]
        return InvalidCommandError(f"{name}: expected {expected}, found {found}")


def encode_base64(data: bytes) -> str:
    """Encode bytes as base64 for JSON.

    :param data: the bytes
    :return: ASCII string
    """
    return base64.b64encode(data).decode("ascii")
