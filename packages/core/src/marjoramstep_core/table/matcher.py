"""Finds the row of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .table import DEFAULT_ROW_NAME


if TYPE_CHECKING:
    from ..ids import ServiceName
    from .row import Row
    from .table import Table

ANY = "*"


class RowMatcher:
    """Index of a table by service; the most specific row wins.

    :param table: the table in force
    """

    def __init__(self, table: Table) -> None:
        self._default = table.rows[DEFAULT_ROW_NAME]
        self._by_service: dict[str, list[Row]] = {}
        for row in table.rows.values():
            if row.name != DEFAULT_ROW_NAME:
                self._by_service.setdefault(row.service, []).append(row)
        for rows in self._by_service.values():
            rows.sort(key=_specificity)

    def match(self, service: ServiceName, method: str, path: str) -> Row:
        """Return the row of a request.

        :param service: service that is called
        :param method: HTTP method in upper case
        :param path: path with or without a query
        :return: the most specific row, or the default row
        """
        for name in (service, ANY):
            for row in self._by_service.get(name, ()):
                if row.method not in (ANY, method):
                    continue
                if path.startswith(row.path_prefix):
                    return row
        return self._default


def _specificity(row: Row) -> tuple[int, bool, str]:
    return (-len(row.path_prefix), row.method == ANY, row.name)
