"""Reads and checks the values of a JSON object in the settings file."""

from __future__ import annotations

import ipaddress
import json
import re
from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_core.durations import parse_duration_ms
from marjoramstep_core.errors import InvalidInputError


if TYPE_CHECKING:
    from marjoramstep_core.addresses import Address

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
MISSING = object()


class SettingsReader:
    """Reads values from a JSON object and collects all faults.

    :param document: the object
    :param path: its path in the settings file, with a dot at the end unless empty
    :param faults: list that the faults are added to, one line each
    """

    def __init__(self, document: dict[str, Any], path: str, faults: list[str]) -> None:
        self._document = document
        self._path = path
        self.faults = faults
        self._known_keys: set[str] = set()

    def add_fault(self, key: str, value: object, expected: str) -> None:
        """Add a fault.

        :param key: name of the setting
        :param value: value found
        :param expected: what was expected
        """
        found = "nothing" if value is MISSING else json.dumps(value, default=str)
        self.faults.append(f"{self._path}{key}: expected {expected}, found {found}")

    def read(self, key: str, default: object = MISSING) -> Any:
        """Read a value and mark its key as known.

        :param key: name of the setting
        :param default: value if it is absent
        :return: the value
        """
        self._known_keys.add(key)
        return self._document.get(key, default)

    def name(self, key: str) -> str:
        """Read a name, such as that of a service.

        :param key: name of the setting
        :return: the value, empty after a fault
        """
        value = self.read(key)
        if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
            self.add_fault(
                key,
                value,
                "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit",
            )
            return ""
        return value

    def string(self, key: str, default: object = MISSING) -> str:
        """Read a text that is not empty.

        :param key: name of the setting
        :param default: value if it is absent
        :return: the value, empty after a fault
        """
        value = self.read(key, default)
        if not isinstance(value, str) or not value:
            self.add_fault(key, value, "a non-empty string")
            return ""
        return value

    def integer(self, key: str, low: int, high: int, default: int) -> int:
        """Read a whole number.

        :param key: name of the setting
        :param low: lowest valid value
        :param high: highest valid value
        :param default: value if it is absent
        :return: the value, the default after a fault in its type
        """
        value = self.read(key, default)
        if isinstance(value, bool) or not isinstance(value, int):
            self.add_fault(key, value, f"a whole number from {low} to {high}")
            return default
        if not low <= value <= high:
            self.add_fault(key, value, f"a whole number from {low} to {high}")
        return value

    def optional_string(self, key: str) -> str:
        """Read a text that may be absent or empty.

        :param key: name of the setting
        :return: the value, empty after a fault
        """
        value = self.read(key, "")
        if not isinstance(value, str):
            self.add_fault(key, value, "a string")
            return ""
        return value

    def optional_duration_ms(self, key: str) -> float | None:
        """Read a duration with its unit.

        :param key: name of the setting
        :return: milliseconds, None if it is absent or after a fault
        """
        value = self.read(key, None)
        if value is None:
            return None
        try:
            return parse_duration_ms(value, key)
        except InvalidInputError:
            self.add_fault(key, value, "a duration such as 6s or 1500ms")
            return None

    def flag(self, key: str) -> bool:
        """Read a flag that is false if it is absent.

        :param key: name of the setting
        :return: the value, false after a fault
        """
        value = self.read(key, False)
        if not isinstance(value, bool):
            self.add_fault(key, value, "true or false")
            return False
        return value

    def optional_address(self, key: str) -> Address | None:
        """Read an address that may be absent.

        :param key: name of the setting
        :return: the address, None if it is absent
        """
        value = self.read(key, None)
        return None if value is None else self._to_address(key, value)

    def address(self, key: str) -> Address:
        """Read an address.

        :param key: name of the setting
        :return: IP address and port
        """
        return self._to_address(key, self.read(key))

    def addresses(self, key: str) -> tuple[Address, ...]:
        """Read a list of addresses.

        :param key: name of the setting
        :return: IP address and port of each
        """
        return tuple(
            self._to_address(f"{key}[{i}]", v) for i, v in enumerate(self.items(key))
        )

    def items(self, key: str) -> list[Any]:
        """Read a list that is empty if it is absent.

        :param key: name of the setting
        :return: the list, empty after a fault
        """
        value = self.read(key, [])
        if not isinstance(value, list):
            self.add_fault(key, value, "a list")
            return []
        return value

    def section(self, key: str, value: object) -> SettingsReader:
        """Return a reader of an object within this one.

        :param key: name of the setting
        :param value: its value
        :return: a reader that adds its faults to this one's
        """
        if not isinstance(value, dict):
            self.add_fault(key, value, "an object")
            value = {}
        return SettingsReader(value, f"{self._path}{key}.", self.faults)

    def reject_unknown_keys(self) -> None:
        """Add a fault for each key that was not read."""
        for key in self._document.keys() - self._known_keys:
            self.add_fault(key, self._document[key], "no setting of this name")

    def _to_address(self, key: str, value: object) -> Address:
        host, _, port = (
            value.rpartition(":") if isinstance(value, str) else ("", "", "")
        )
        try:
            ipaddress.ip_address(host.strip("[]"))
            if not 0 <= int(port) <= 65_535:
                raise ValueError
        except ValueError:
            self.add_fault(key, value, "an IP address and port such as 10.0.0.1:7000")
            return ("", 0)
        return (host.strip("[]"), int(port))
