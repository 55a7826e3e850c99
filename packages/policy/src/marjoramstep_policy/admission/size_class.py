"""Duration class of a row, learned from observed durations."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Protocol

from marjoramstep_core.registry import Registry
from marjoramstep_core.states import SizeClass
from marjoramstep_core.table import SizeClassRule


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.ids import RowName
    from marjoramstep_core.table import Row

ROW_QUANTILE = 0.75
# Typical short work stays typical until more than three in four calls are long.
TYPICAL_QUANTILE = 0.25
QUANTILE_STEP_LOG = 0.1
# A row is long if it runs many times longer than typical work, and for long enough to
# be felt by what waits behind it. The gap between the two sets is the hysteresis.
LONG_RATIO = 8.0
LONG_FLOOR_MS = 250.0
SHORT_RATIO = 4.0
SHORT_FLOOR_MS = 125.0
# Rows that are left out of the table are forgotten with the oldest ones.
MAX_ROWS = 4096


class SizeClasses(Protocol):
    """Finds the duration class of a row."""

    def classify(self, row: Row) -> SizeClass:
        """Return the duration class of a row."""

    def observe(self, row: Row, duration_ms: float) -> None:
        """Note the duration of a call of a row."""


class QuantileEstimate:
    """Running estimate of one quantile, moved by a fixed step of the logarithm.

    :param quantile: between 0 and 1
    :param start_ms: first estimate in milliseconds
    """

    def __init__(self, quantile: float, start_ms: float) -> None:
        self._quantile = quantile
        self._log_ms = math.log(max(start_ms, 1e-3))

    @property
    def value_ms(self) -> float:
        """Present estimate in milliseconds."""
        return math.exp(self._log_ms)

    def observe(self, duration_ms: float) -> None:
        """Note one duration.

        :param duration_ms: milliseconds
        """
        if math.log(max(duration_ms, 1e-3)) > self._log_ms:
            self._log_ms += QUANTILE_STEP_LOG * self._quantile
        else:
            self._log_ms -= QUANTILE_STEP_LOG * (1.0 - self._quantile)


class SizeClassifier:
    """Learns the class of rows that do not state it.

    A row is compared with the typical duration at this backend server, so that a
    service that does only long work still uses all its slots.
    """

    def __init__(self) -> None:
        self._rows: dict[RowName, QuantileEstimate] = {}
        self._classes: dict[RowName, SizeClass] = {}
        self._typical: QuantileEstimate | None = None

    def classify(self, row: Row) -> SizeClass:
        """Return the duration class of a row.

        :param row: the row
        :return: the stated class, or the learned one
        """
        if row.size_class is not SizeClassRule.LEARN:
            return _stated(row)
        return self._classes.get(row.name, SizeClass.SHORT)

    def observe(self, row: Row, duration_ms: float) -> None:
        """Note the duration of a call of a row.

        :param row: the row
        :param duration_ms: milliseconds
        """
        if self._typical is None:
            self._typical = QuantileEstimate(TYPICAL_QUANTILE, duration_ms)
        self._typical.observe(duration_ms)
        if row.size_class is not SizeClassRule.LEARN:
            return
        estimate = self._rows.get(row.name)
        if estimate is None:
            if len(self._rows) >= MAX_ROWS:
                oldest = next(iter(self._rows))
                del self._rows[oldest]
                self._classes.pop(oldest, None)
            estimate = QuantileEstimate(ROW_QUANTILE, float(row.expected_ms))
            self._rows[row.name] = estimate
        estimate.observe(duration_ms)
        self._update(row.name, estimate.value_ms, self._typical.value_ms)

    def _update(self, name: RowName, value_ms: float, typical_ms: float) -> None:
        if value_ms >= max(LONG_RATIO * typical_ms, LONG_FLOOR_MS):
            self._classes[name] = SizeClass.LONG
        elif value_ms <= max(SHORT_RATIO * typical_ms, SHORT_FLOOR_MS):
            self._classes[name] = SizeClass.SHORT


class StatedSizeClasses:
    """Uses only what rows state; rows that are to be learned count as short."""

    def classify(self, row: Row) -> SizeClass:
        """Return the duration class of a row.

        :param row: the row
        :return: the stated class, or short
        """
        return _stated(row)

    def observe(self, row: Row, duration_ms: float) -> None:
        """Ignore a duration.

        :param row: the row
        :param duration_ms: milliseconds
        """


def _stated(row: Row) -> SizeClass:
    if row.size_class is SizeClassRule.LONG:
        return SizeClass.LONG
    return SizeClass.SHORT


SIZE_CLASS_VARIANTS: Registry[Callable[[], SizeClasses]] = Registry(
    "size class variant"
)
SIZE_CLASS_VARIANTS.register("learned")(SizeClassifier)
SIZE_CLASS_VARIANTS.register("stated")(StatedSizeClasses)
