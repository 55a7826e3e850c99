"""Times after which a refused caller may come back."""

from __future__ import annotations

import random


class RetryAfterRange:
    """Times drawn evenly from a range, so that callers do not return together.

    :param least_ms: shortest time in milliseconds
    :param most_ms: longest time in milliseconds
    """

    def __init__(self, least_ms: float, most_ms: float) -> None:
        self._least_ms = least_ms
        self._most_ms = most_ms

    def next_ms(self) -> float:
        """Draw a time.

        :return: milliseconds
        """
        return random.uniform(self._least_ms, self._most_ms)


# A process that has just started has its table and the first members within this time:
# they arrive with the first answer of a replica and the next announcements.
START_RETRY_AFTER = RetryAfterRange(700.0, 1_400.0)
