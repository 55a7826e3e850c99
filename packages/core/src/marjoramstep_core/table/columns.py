"""Columns of the table with the parser, bounds and description of each."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..registry import Registry


if TYPE_CHECKING:
    from collections.abc import Callable

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
METHODS = ("*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
HOST_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9.-]{0,252}")
_TARGET = r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}:[0-9]{1,9}"
TARGETS_PATTERN = re.compile(rf"{_TARGET}(?:,{_TARGET})*")
NO_TARGETS = "none"
PATH_LIMIT_CHARACTERS = 512
HOUR_MS = 3_600_000
MEBIBYTE = 1024 * 1024

CellValue = str | int | bool


class CellError(ValueError):
    """A cell value is not valid; the message states what is expected."""


@dataclass(frozen=True)
class Column:
    """One column of the table.

    :param name: name of the column, with its unit as suffix
    :param description: what the value does, for operators
    :param default: value of a cell that is not given
    :param parse: converts text or a JSON value to a validated cell value; raises
        :class:`CellError`
    """

    name: str
    description: str
    default: CellValue
    parse: Callable[[object], CellValue]


COLUMNS: Registry[Column] = Registry("column")


def _add_column(
    name: str,
    default: CellValue,
    description: str,
    parse: Callable[[object], CellValue],
) -> None:
    COLUMNS.register(name)(Column(name, description, default, parse))


def _integer(low: int, high: int) -> Callable[[object], CellValue]:
    def parse(value: object) -> CellValue:
        number = _to_int(value)
        if number is None or not low <= number <= high:
            raise CellError(f"expected a whole number from {low} to {high}")
        return number

    return parse


def _to_int(value: object) -> int | None:
    if isinstance(value, bool):
        return None
    if isinstance(value, int):
        return value
    if isinstance(value, str) and re.fullmatch(r"[0-9]{1,15}", value):
        return int(value)
    return None


def _choice(*choices: str) -> Callable[[object], CellValue]:
    def parse(value: object) -> CellValue:
        if not isinstance(value, str) or value not in choices:
            raise CellError(f"expected one of {', '.join(choices)}")
        return value

    return parse


def _parse_bool(value: object) -> CellValue:
    if isinstance(value, bool):
        return value
    if isinstance(value, str) and value.lower() in ("true", "yes"):
        return True
    if isinstance(value, str) and value.lower() in ("false", "no"):
        return False
    raise CellError("expected true or false")


def _parse_name(value: object) -> CellValue:
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise CellError("expected 1 to 64 letters, digits, '.', '_' or '-'")
    return value


def _parse_service(value: object) -> CellValue:
    if value == "*":
        return "*"
    return _parse_name(value)


def _parse_host(value: object) -> CellValue:
    if value == "*":
        return "*"
    if not isinstance(value, str) or not HOST_PATTERN.fullmatch(value):
        raise CellError("expected * or a host name of at most 253 characters")
    return value.lower()


def _parse_targets(value: object) -> CellValue:
    if value == NO_TARGETS:
        return NO_TARGETS
    if not isinstance(value, str) or not TARGETS_PATTERN.fullmatch(value):
        raise CellError("expected none or shares such as archive:90,panels:10")
    if not any(int(part.rpartition(":")[2]) for part in value.split(",")):
        raise CellError("expected at least one share above 0")
    return value


def _parse_path_prefix(value: object) -> CellValue:
    if (
        not isinstance(value, str)
        or not value.startswith("/")
        or len(value) > PATH_LIMIT_CHARACTERS
        or not value.isprintable()
        or any(c.isspace() for c in value)
    ):
        raise CellError(
            "expected a path that starts with '/', without white space, of at most "
            f"{PATH_LIMIT_CHARACTERS} characters"
        )
    return value


_add_column("name", "", "Unique name of the row.", _parse_name)
_add_column("service", "*", "Service that the row applies to, or *.", _parse_service)
_add_column(
    "host",
    "*",
    "Host that callers name; a row with a host is found by host and path, and its "
    "requests go to its targets.",
    _parse_host,
)
_add_column(
    "targets",
    NO_TARGETS,
    "Services that requests of a row with a host go to, with their shares.",
    _parse_targets,
)
_add_column("method", "*", "HTTP method, or *.", _choice(*METHODS))
_add_column("path_prefix", "/", "Start of the request's path.", _parse_path_prefix)
_add_column(
    "weight",
    100,
    "Importance from 1 to 1000; under overload lower weights are shed first.",
    _integer(1, 1000),
)
_add_column(
    "repeatable",
    False,
    "Whether running a request twice does no harm. If false, a request runs at most "
    "once under a durable claim and needs a request key.",
    _parse_bool,
)
_add_column(
    "claimed",
    True,
    "Whether a row that is not repeatable runs under a durable claim. If false, an "
    "attempt is never sent again once it may have run.",
    _parse_bool,
)
_add_column(
    "deadline_ms",
    5_000,
    "Time for the whole request; a caller may ask for less, not for more.",
    _integer(10, HOUR_MS),
)
_add_column(
    "objective_ms",
    0,
    "Time within which an answer has its full value; 0 for the deadline.",
    _integer(0, HOUR_MS),
)
_add_column(
    "concurrency_share_percent",
    100,
    "Largest share of a backend server's limit that this row may hold.",
    _integer(1, 100),
)
_add_column(
    "size_class",
    "learn",
    "Duration class: short, long, or learn from observed durations.",
    _choice("short", "long", "learn"),
)
_add_column(
    "expected_ms",
    50,
    "Expected service time, used until durations have been observed.",
    _integer(1, HOUR_MS),
)
_add_column(
    "retries",
    2,
    "Retries of one whole request over its call chain, resends included.",
    _integer(0, 10),
)
_add_column(
    "attempts",
    11,
    "Backend servers that one call may reach; its retries bound the whole chain.",
    _integer(1, 11),
)
_add_column(
    "queue_length",
    64,
    "Largest number of requests of this row that wait at one backend server.",
    _integer(0, 10_000),
)
_add_column(
    "queue_wait_ms",
    500,
    "Longest wait in that queue.",
    _integer(0, HOUR_MS),
)
_add_column(
    "body_limit_bytes",
    MEBIBYTE,
    "Largest request body.",
    _integer(0, 16 * 1024 * MEBIBYTE),
)
_add_column(
    "stored_answer_limit_bytes",
    65_536,
    "Largest answer kept for resends of a request that may not be repeated.",
    _integer(0, MEBIBYTE),
)
_add_column(
    "header_timeout_ms",
    30_000,
    "Longest time for the head of a request; the value of the row default counts.",
    _integer(10, HOUR_MS),
)
_add_column(
    "body_timeout_ms",
    30_000,
    "Longest time from the head of a request to the end of its body or of its first "
    "64 KiB, and to each later part; the value of the row default counts.",
    _integer(10, HOUR_MS),
)
_add_column(
    "idle_timeout_ms",
    75_000,
    "Longest idle time of a caller's connection; the value of the row default counts.",
    _integer(10, HOUR_MS),
)
