"""Stated outcomes, read from JSON."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from ..documents import Fields
from ..documents import read_json
from .checks import CHECKS


if TYPE_CHECKING:
    from pathlib import Path

    from .checks import Check


@dataclass(frozen=True)
class StatedCheck:
    """One stated outcome.

    :param kind: kind of check
    :param groups: groups of requests that it applies to; none means all
    :param check: the check with its bounds
    """

    kind: str
    groups: tuple[str, ...]
    check: Check

    @classmethod
    def from_json(cls, document: Any, where: str) -> StatedCheck:
        """Build a stated outcome from JSON values.

        :param document: object with ``kind``, ``groups`` and the kind's bounds
        :param where: its place, for error messages
        :return: the stated outcome
        :raises InvalidInputError: if a field is not valid
        """
        fields = Fields(document, where)
        kind = fields.text("kind")
        groups = fields.list("groups", _group)
        check = CHECKS.get(kind)(fields)
        fields.finish()
        return cls(kind, groups, check)


@dataclass(frozen=True)
class StatedOutcomes:
    """All stated outcomes of a trace.

    :param checks: the stated outcomes; there is at least one
    """

    checks: tuple[StatedCheck, ...]

    @classmethod
    def from_json(cls, document: Any, where: str = "outcomes") -> StatedOutcomes:
        """Build stated outcomes from JSON values.

        :param document: object with a list ``checks``
        :param where: its place, for error messages
        :return: the stated outcomes
        :raises InvalidInputError: if a field is not valid or no check is stated
        """
        fields = Fields(document, where)
        checks = fields.list("checks", StatedCheck.from_json)
        fields.finish()
        if not checks:
            raise fields.error("checks must state at least one outcome")
        return cls(checks)


def read_outcomes(path: Path) -> StatedOutcomes:
    """Read stated outcomes.

    :param path: JSON file
    :return: the stated outcomes
    :raises InvalidInputError: if the file is not valid
    """
    return StatedOutcomes.from_json(read_json(path), str(path))


def _group(value: Any, where: str) -> str:
    if not isinstance(value, str):
        raise Fields({}, where).error(f"expected a text, found {value!r}")
    return value
