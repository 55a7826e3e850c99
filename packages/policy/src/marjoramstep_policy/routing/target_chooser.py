"""Weighted distribution of the requests of a row over its target services."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from marjoramstep_core.ids import RowName
    from marjoramstep_core.ids import ServiceName
    from marjoramstep_core.table import Row
    from marjoramstep_core.table import TargetShare

# The state of all rows, including removed ones, is discarded at this number.
MAX_ROWS = 20_000


class _WeightedRoundRobin:
    """Smooth weighted round-robin over the targets of one row."""

    def __init__(self, shares: Sequence[TargetShare]) -> None:
        self.shares = tuple(shares)
        self._total = sum(target.share for target in shares)
        self._credits = [0] * len(self.shares)

    def next(self) -> ServiceName:
        best = 0
        for index, target in enumerate(self.shares):
            self._credits[index] += target.share
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= self._total
        return self.shares[best].service


class TargetChooser:
    """Chooses a service in the proportions of the row's shares.

    An overloaded target keeps its share: requests beyond its capacity are refused and
    not sent to another target.
    """

    def __init__(self) -> None:
        self._rows: dict[RowName, _WeightedRoundRobin] = {}

    def choose(self, row: Row) -> ServiceName:
        """Choose the service of one request.

        :param row: row of the request, with at least one target
        :return: name of the service
        """
        shares = row.target_shares
        if len(shares) == 1:
            return shares[0].service
        state = self._rows.get(row.name)
        if state is None or state.shares != shares:
            if len(self._rows) >= MAX_ROWS:
                self._rows.clear()
            state = self._rows[row.name] = _WeightedRoundRobin(shares)
        return state.next()
