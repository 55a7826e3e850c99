"""Shares of the concurrency limit that rows of the table may use."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from marjoramstep_core.ids import RowName
    from marjoramstep_core.table import Row

WHOLE_LIMIT_PERCENT = 100


class RowShares:
    """Holds the share of each row in percent of the concurrency limit."""

    __slots__ = ("_percents",)

    def __init__(self) -> None:
        self._percents: dict[RowName, int] = {}

    def update(self, row: Row) -> bool:
        """Take the share of a row from the table.

        :param row: row of a call
        :return: whether the share has changed
        """
        percent = row.concurrency_share_percent
        if self._percents.get(row.name, WHOLE_LIMIT_PERCENT) == percent:
            return False
        self._percents[row.name] = percent
        return True

    def has_slot(self, name: RowName, in_flight: int, limit: int) -> bool:
        """Return whether a row may start another call.

        :param name: name of the row
        :param in_flight: number of its calls in flight
        :param limit: concurrency limit of the backend server
        :return: whether the calls in flight are fewer than its share, which is at
            least one call
        """
        percent = self._percents.get(name, WHOLE_LIMIT_PERCENT)
        if percent == WHOLE_LIMIT_PERCENT:
            return True
        return in_flight < max(1, limit * percent // WHOLE_LIMIT_PERCENT)
