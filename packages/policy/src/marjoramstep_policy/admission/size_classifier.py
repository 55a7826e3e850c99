"""Size class of a row (short or long), learned from observed durations."""

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
# With this quantile, short calls count as typical until more than three in four calls
# are long.
TYPICAL_QUANTILE = 0.25
# Step of an estimate, in its natural logarithm.
QUANTILE_STEP_LOG = 0.1
# A row is long if its calls take many times longer than a typical call, and long enough
# to delay queued calls noticeably. The gap between the two pairs is a hysteresis.
LONG_RATIO = 8.0
LONG_FLOOR_MS = 250.0
SHORT_RATIO = 4.0
SHORT_FLOOR_MS = 125.0
# At this number the row that was observed first is discarded, even if it is still used.
MAX_ROWS = 4096


class SizeClassifier(Protocol):
    """Determines the size class of a row."""

    def classify(self, row: Row) -> SizeClass:
        """Return the size class of a row."""

    def observe(self, row: Row, duration_ms: float) -> None:
        """Record the duration of a call of a row."""


class QuantileEstimate:
    """Running estimate of a quantile, adjusted in steps of fixed size in the logarithm.

    :param quantile: between 0 and 1
    :param start_ms: initial estimate in milliseconds
    """

    def __init__(self, quantile: float, start_ms: float) -> None:
        self._quantile = quantile
        self._log_ms = math.log(max(start_ms, 1e-3))

    @property
    def value_ms(self) -> float:
        """Current estimate in milliseconds."""
        return math.exp(self._log_ms)

    def observe(self, duration_ms: float) -> None:
        """Record a duration.

        :param duration_ms: milliseconds
        """
        if math.log(max(duration_ms, 1e-3)) > self._log_ms:
            self._log_ms += QUANTILE_STEP_LOG * self._quantile
        else:
            self._log_ms -= QUANTILE_STEP_LOG * (1.0 - self._quantile)


class LearnedSizeClassifier:
    """Learns the size class of rows that do not specify one.

    The duration of a row's calls is compared with the typical duration of all observed
    calls, so that a service with only long calls still uses all its slots.
    """

    def __init__(self) -> None:
        self._row_estimates: dict[RowName, QuantileEstimate] = {}
        self._classes: dict[RowName, SizeClass] = {}
        self._typical: QuantileEstimate | None = None

    def classify(self, row: Row) -> SizeClass:
        """Return the size class of a row.

        :param row: the row
        :return: the specified class, or else the learned one
        """
        if row.size_class is not SizeClassRule.LEARN:
            return _specified_class(row)
        return self._classes.get(row.name, SizeClass.SHORT)

    def observe(self, row: Row, duration_ms: float) -> None:
        """Record the duration of a call of a row.

        :param row: the row
        :param duration_ms: milliseconds
        """
        if self._typical is None:
            self._typical = QuantileEstimate(TYPICAL_QUANTILE, duration_ms)
        self._typical.observe(duration_ms)
        if row.size_class is not SizeClassRule.LEARN:
            return
        estimate = self._row_estimates.get(row.name)
        if estimate is None:
            if len(self._row_estimates) >= MAX_ROWS:
                oldest = next(iter(self._row_estimates))
                del self._row_estimates[oldest]
                self._classes.pop(oldest, None)
            estimate = QuantileEstimate(ROW_QUANTILE, float(row.expected_ms))
            self._row_estimates[row.name] = estimate
        estimate.observe(duration_ms)
        self._update(row.name, estimate.value_ms, self._typical.value_ms)

    def _update(self, row_name: RowName, value_ms: float, typical_ms: float) -> None:
        if value_ms >= max(LONG_RATIO * typical_ms, LONG_FLOOR_MS):
            self._classes[row_name] = SizeClass.LONG
        elif value_ms <= max(SHORT_RATIO * typical_ms, SHORT_FLOOR_MS):
            self._classes[row_name] = SizeClass.SHORT


class SpecifiedSizeClassifier:
    """Uses only the specified size class; rows without one count as short."""

    def classify(self, row: Row) -> SizeClass:
        """Return the size class of a row.

        :param row: the row
        :return: the specified class, or else short
        """
        return _specified_class(row)

    def observe(self, row: Row, duration_ms: float) -> None:
        """Ignore a duration.

        :param row: the row
        :param duration_ms: milliseconds
        """


def _specified_class(row: Row) -> SizeClass:
    if row.size_class is SizeClassRule.LONG:
        return SizeClass.LONG
    return SizeClass.SHORT


SIZE_CLASSIFIERS: Registry[Callable[[], SizeClassifier]] = Registry("size classifier")
SIZE_CLASSIFIERS.register("learned")(LearnedSizeClassifier)
SIZE_CLASSIFIERS.register("stated")(SpecifiedSizeClassifier)
