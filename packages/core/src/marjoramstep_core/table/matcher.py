"""Lookup of the row that applies to a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .table import DEFAULT_ROW_NAME


if TYPE_CHECKING:
    from ..ids import ServiceName
    from .row import Row
    from .table import Table

WILDCARD = "*"


class RowMatcher:
    """Index of a table by service and by host; the most specific row wins.

    :param table: the table in force
    """

    def __init__(self, table: Table) -> None:
        self._default = table.rows[DEFAULT_ROW_NAME]
        self._by_service: dict[str, list[Row]] = {}
        self._by_host: dict[str, dict[str, Row]] = {}
        for row in table.rows.values():
            if row.host != WILDCARD:
                self._by_host.setdefault(row.host, {})[row.path_prefix] = row
            elif row.name != DEFAULT_ROW_NAME:
                self._by_service.setdefault(row.service, []).append(row)
        for rows in self._by_service.values():
            rows.sort(key=_specificity)

    @property
    def has_hosts(self) -> bool:
        """Whether any row has a host."""
        return bool(self._by_host)

    def match(self, service: ServiceName, method: str, path: str) -> Row:
        """Return the row of a request.

        :param service: service to which the request is sent
        :param method: HTTP method in upper case
        :param path: path with or without a query
        :return: the most specific row, or the default row
        """
        for name in (service, WILDCARD):
            for row in self._by_service.get(name, ()):
                if row.method not in (WILDCARD, method):
                    continue
                if path.startswith(row.path_prefix):
                    return row
        return self._default

    def match_host(self, host: str, path: str) -> Row | None:
        """Return the row of a request that names a host.

        :param host: host name without a port
        :param path: path with or without a query
        :return: the row with the longest prefix of the path, or None
        """
        rows = self._by_host.get(host.lower())
        if rows is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/") + 1
        while end > 0:
            row = rows.get(path[:end])
            if row is not None:
                return row
            end = path.rfind("/", 0, end - 1) + 1
        return self._match_prefix(rows, path)

    def _match_prefix(self, rows: dict[str, Row], path: str) -> Row | None:
        # A prefix without a trailing slash can end in the middle of a path segment.
        matching = [row for prefix, row in rows.items() if path.startswith(prefix)]
        return max(matching, key=lambda row: len(row.path_prefix), default=None)


def _specificity(row: Row) -> tuple[int, bool, str]:
    return (-len(row.path_prefix), row.method == WILDCARD, row.name)
