"""Expected work of queued calls by weight."""

from __future__ import annotations


# Weights go up to 1000. With blocks of 32, a sum over weights adds at most 64 numbers.
WEIGHTS_PER_BLOCK = 32
BLOCK_COUNT = 32


class WorkByWeight:
    """Expected work of queued calls by weight, with sums over blocks of weights."""

    def __init__(self) -> None:
        self._sums = [0.0] * (WEIGHTS_PER_BLOCK * BLOCK_COUNT)
        self._blocks = [0.0] * BLOCK_COUNT

    def add(self, weight: int, work_ms: float) -> None:
        """Add work.

        :param weight: from 1 to 1000
        :param work_ms: expected service time in milliseconds, negative to subtract it
        """
        self._sums[weight] += work_ms
        self._blocks[weight // WEIGHTS_PER_BLOCK] += work_ms

    def at_least(self, weight: int) -> float:
        """Return the work of all calls of at least a weight.

        :param weight: from 1 to 1001
        :return: milliseconds
        """
        block = weight // WEIGHTS_PER_BLOCK + 1
        total = sum(self._sums[weight : block * WEIGHTS_PER_BLOCK])
        return max(total + sum(self._blocks[block:]), 0.0)
