"""Reads times such as ``1500ms`` and ``2.5s``."""

from __future__ import annotations

import re

from marjoramstep_core.errors import InvalidInputError


_DURATION = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)(ms|s)")
_UNIT_MS = {"ms": 1.0, "s": 1_000.0}


def parse_duration_ms(value: object, name: str) -> float:
    """Read a time with its unit.

    :param value: a text
    :param name: name of the field, for the error
    :return: milliseconds
    :raises InvalidInputError: if the value is no such time
    """
    found = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if found is None:
        raise InvalidInputError(
            f"{name}: expected a time such as 1500ms, found {str(value)[:40]!r}",
            step="read time",
        )
    return float(found[1]) * _UNIT_MS[found[2]]
