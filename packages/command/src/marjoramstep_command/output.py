"""Output for operators: aligned tables, JSON, and errors as one line."""

from __future__ import annotations

import sys
from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING
from typing import Any

import orjson


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

COLUMN_GAP = "  "


def write_line(line: str) -> None:
    """Write a line to standard output at once.

    :param line: text without a line end
    """
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


def write_error(message: str) -> None:
    """Write a message to standard error as one line.

    :param message: text; line ends are replaced by spaces
    """
    sys.stderr.write(f"marjoramstep: {' '.join(message.split())}\n")
    sys.stderr.flush()


def write_json(value: Any) -> None:
    """Write a value as one line of JSON.

    :param value: JSON value
    """
    write_line(orjson.dumps(value).decode())


def write_table(
    rows: Sequence[Mapping[str, Any]], columns: Sequence[str] | None = None
) -> None:
    """Write rows as an aligned table with a heading.

    :param rows: value by column name
    :param columns: columns to write, by default all in order of appearance
    """
    if columns is None:
        columns = list(dict.fromkeys(name for row in rows for name in row))
    lines = [[name.upper() for name in columns]]
    lines += [[cell_text(row.get(name)) for name in columns] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (c.ljust(width) for c, width in zip(line, widths, strict=True))
        write_line(COLUMN_GAP.join(cells).rstrip())


def write_fields(document: Mapping[str, Any]) -> None:
    """Write names and values of an object, one a line.

    :param document: the object
    """
    rows = [{"name": name, "value": value} for name, value in document.items()]
    write_table(rows, ["name", "value"])


def cell_text(value: Any) -> str:
    """Return the text of a cell, always on one line.

    :param value: JSON value
    :return: ``-`` for no value
    """
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (dict, list)):
        return orjson.dumps(value).decode()
    return "".join(c if c.isprintable() else "?" for c in str(value))


def time_text(unix_ms: int) -> str:
    """Return a time as text.

    :param unix_ms: Unix milliseconds
    :return: UTC in ISO 8601 with milliseconds, or the number if it is out of range
    """
    try:
        moment = datetime.fromtimestamp(unix_ms / 1000, UTC)
    except (OverflowError, ValueError, OSError):
        return str(unix_ms)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")
