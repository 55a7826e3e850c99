"""Incremental, copy-on-write encoding of the claims for a snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson


if TYPE_CHECKING:
    from collections.abc import Sequence

    from .partition import ClaimPartition


class ClaimsEncoder:
    """Encodes the claims one partition at a time.

    A partition that is about to change is encoded before the change, so the result is
    the state at the time the encoding began.

    :param partitions: all partitions
    :param prune_cursor: number of the partition to prune next
    """

    def __init__(self, partitions: Sequence[ClaimPartition], prune_cursor: int) -> None:
        self._partitions = partitions
        self._prune_cursor = prune_cursor
        self._pending = {n for n, partition in enumerate(partitions) if len(partition)}
        self._encoded: dict[str, orjson.Fragment] = {}

    def encode_partition(self, number: int) -> None:
        """Encode a partition unless it is already encoded.

        :param number: number of the partition
        """
        if number in self._pending:
            self._pending.remove(number)
            document = self._partitions[number].to_json()
            data = orjson.dumps(document, option=orjson.OPT_SORT_KEYS)
            self._encoded[str(number)] = orjson.Fragment(data)

    def step(self) -> bool:
        """Encode the next partition.

        :return: whether all partitions are encoded
        """
        if self._pending:
            self.encode_partition(min(self._pending))
        return not self._pending

    def to_json(self) -> dict[str, object]:
        """Return the encoded claims; all partitions must be encoded.

        :return: the non-empty partitions by number, and the prune cursor
        """
        return {"partitions": self._encoded, "prune_cursor": self._prune_cursor}
