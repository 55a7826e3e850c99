"""Encodes the claims at one moment, while later commands change them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson


if TYPE_CHECKING:
    from collections.abc import Sequence

    from .partition import ClaimPartition


class ClaimsEncoding:
    """Encodes one partition after another.

    A partition that is about to change is encoded first, so that the result is the
    state at the moment in which the encoding began.

    :param partitions: all partitions
    :param prune_cursor: the partition that is pruned next
    """

    def __init__(self, partitions: Sequence[ClaimPartition], prune_cursor: int) -> None:
        self._partitions = partitions
        self._prune_cursor = prune_cursor
        self._pending = {n for n, partition in enumerate(partitions) if len(partition)}
        self._encoded: dict[str, orjson.Fragment] = {}

    def capture(self, number: int) -> None:
        """Encode a partition unless that was done already.

        :param number: number of the partition
        """
        if number in self._pending:
            self._pending.remove(number)
            document = self._partitions[number].to_json()
            data = orjson.dumps(document, option=orjson.OPT_SORT_KEYS)
            self._encoded[str(number)] = orjson.Fragment(data)

    def step(self) -> bool:
        """Encode one more partition.

        :return: whether all are encoded
        """
        if self._pending:
            self.capture(min(self._pending))
        return not self._pending

    def to_json(self) -> dict[str, object]:
        """Return the claims; all partitions must be encoded.

        :return: the partitions by number, without empty ones, and the prune cursor
        """
        return {"partitions": self._encoded, "prune_cursor": self._prune_cursor}
