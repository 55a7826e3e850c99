"""Distributes the requests of a row over its targets."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from marjoramstep_core.ids import RowName
    from marjoramstep_core.ids import ServiceName
    from marjoramstep_core.table import Row
    from marjoramstep_core.table import TargetShare

# Rows that were dropped are forgotten when there are many.
ROW_LIMIT = 20_000


class _Shares:
    """Smooth weighted round robin over the targets of one row."""

    def __init__(self, shares: Sequence[TargetShare]) -> None:
        self.shares = tuple(shares)
        self._total = sum(share.share for share in shares)
        self._credit = [0] * len(self.shares)

    def next(self) -> ServiceName:
        best = 0
        for index, share in enumerate(self.shares):
            self._credit[index] += share.share
            if self._credit[index] > self._credit[best]:
                best = index
        self._credit[best] -= self._total
        return self.shares[best].service


class TargetChooser:
    """Chooses a service in the proportions of the row's shares.

    A target that is short of room keeps its share: what does not fit there is refused
    and does not move to another target.
    """

    def __init__(self) -> None:
        self._rows: dict[RowName, _Shares] = {}

    def choose(self, row: Row) -> ServiceName:
        """Choose the service of one request.

        :param row: row of the request, with at least one target
        :return: name of the service
        """
        shares = row.shares
        if len(shares) == 1:
            return shares[0].service
        state = self._rows.get(row.name)
        if state is None or state.shares != shares:
            if len(self._rows) >= ROW_LIMIT:
                self._rows.clear()
            state = self._rows[row.name] = _Shares(shares)
        return state.next()
