"""Parser of durations such as ``1500ms`` and ``2.5s``."""

from __future__ import annotations

import re

from .errors import InvalidInputError


_DURATION = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)(ms|s)")
_UNIT_MS = {"ms": 1.0, "s": 1_000.0}


def parse_duration_ms(value: object, name: str) -> float:
    """Parse a duration with a unit.

    :param value: text such as ``1500ms``
    :param name: name of the field, for the error message
    :return: milliseconds
    :raises InvalidInputError: if the value is not a valid duration
    """
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise InvalidInputError(
            f"{name}: expected a duration such as 1500ms, found {str(value)[:40]!r}",
            step="read duration",
        )
    return float(match[1]) * _UNIT_MS[match[2]]
