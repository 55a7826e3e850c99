"""Randomised Retry-After times of refused requests."""

from __future__ import annotations

import random


class RetryAfterRange:
    """Uniform distribution of retry times, so that callers do not retry in step.

    :param min_ms: shortest time in milliseconds
    :param max_ms: longest time in milliseconds
    """

    def __init__(self, min_ms: float, max_ms: float) -> None:
        self._min_ms = min_ms
        self._max_ms = max_ms

    def next_ms(self) -> float:
        """Return a random time.

        :return: milliseconds
        """
        return random.uniform(self._min_ms, self._max_ms)


# Used without a table or a ready backend server of the service. A process that has just
# started receives its table and the first members within this time: they come with the
# first answer of a replica and the next announcements.
NOT_READY_RETRY_AFTER = RetryAfterRange(700.0, 1_400.0)
