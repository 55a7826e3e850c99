"""Expected service time of each row."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from marjoramstep_core.ids import RowName
    from marjoramstep_core.table import Row

SMOOTHING = 0.1
# Without an expiry, an estimate raised by a slowdown could persist and cause the
# refusal of nearly all calls of a row, because refused calls yield no observation.
ESTIMATE_LIFETIME_MS = 10_000.0


class ServiceTimes:
    """Smoothed service time of each row.

    Without recent observations, the value configured in the row is used.
    """

    def __init__(self) -> None:
        self._estimates: dict[RowName, tuple[float, float]] = {}

    def expected_ms(self, now_ms: float, row: Row) -> float:
        """Return the expected service time.

        :param now_ms: current time in milliseconds
        :param row: row of the call
        :return: milliseconds
        """
        estimate = self._estimates.get(row.name)
        if estimate is None or now_ms - estimate[1] > ESTIMATE_LIFETIME_MS:
            return float(row.expected_ms)
        return estimate[0]

    def observe(self, now_ms: float, row: Row, duration_ms: float) -> None:
        """Record a service time.

        :param now_ms: current time in milliseconds
        :param row: row of the call
        :param duration_ms: its service time in milliseconds
        """
        old_ms = self.expected_ms(now_ms, row)
        self._estimates[row.name] = (
            old_ms + SMOOTHING * (duration_ms - old_ms),
            now_ms,
        )
