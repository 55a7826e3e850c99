"""Finds the rows of a service whose latencies may be compared."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..admission.size_class import QuantileEstimate


if TYPE_CHECKING:
    from marjoramstep_core.ids import RowName
    from marjoramstep_core.ids import ServiceName

MEDIAN = 0.5
# Rows differ by less than the factor at which a server counts as slowed.
COMPARABLE_FACTOR = 2.0
# Samples before the median of a row says something.
MIN_SAMPLES = 5
# All counts of a service are halved beyond this one, so that old traffic fades.
COUNT_LIMIT = 500
SERVICE_LIMIT = 1_000
ROW_LIMIT = 1_000


class _RowMedian:
    """Median latency of one row and its number of samples."""

    __slots__ = ("count", "median")

    def __init__(self, latency_ms: float) -> None:
        self.median = QuantileEstimate(MEDIAN, latency_ms)
        self.count = 0


class ComparableRows:
    """Compares the rows of each service with the one that is called most.

    A service that runs lookups of 40 ms and reports of 700 ms shows two latencies. A
    mean over both says more of the mix than of the server, and a report in flight looks
    like a lookup that is overdue. Only rows near the usual latency are therefore used
    to judge servers.
    """

    def __init__(self) -> None:
        self._services: dict[ServiceName, dict[RowName, _RowMedian]] = {}
        self._usual: dict[ServiceName, RowName] = {}

    def observe(self, service: ServiceName, row: RowName, latency_ms: float) -> None:
        """Note the latency of an answered call.

        :param service: service that was called
        :param row: row of the call
        :param latency_ms: milliseconds
        """
        rows = self._services.get(service)
        if rows is None:
            if len(self._services) >= SERVICE_LIMIT:
                self._services.clear()
            rows = self._services[service] = {}
        median = rows.get(row)
        if median is None:
            if len(rows) >= ROW_LIMIT:
                rows.clear()
            median = rows[row] = _RowMedian(latency_ms)
        median.median.observe(latency_ms)
        median.count += 1
        usual = rows.get(self._usual.get(service, row))
        if usual is None or median.count >= usual.count:
            self._usual[service] = row
        if median.count > COUNT_LIMIT:
            for other in rows.values():
                other.count //= 2

    def is_comparable(self, service: ServiceName, row: RowName) -> bool:
        """Tell whether a call's latency says something about its server.

        :param service: service that is called
        :param row: row of the call
        :return: whether the row is near the usual latency of the service
        """
        rows = self._services.get(service, {})
        median = rows.get(row)
        usual = rows.get(self._usual.get(service, row))
        if median is None or usual is None or usual.count < MIN_SAMPLES:
            return False
        if median is usual:
            return True
        if median.count < MIN_SAMPLES:
            return False
        ratio = median.median.value_ms / usual.median.value_ms
        return 1.0 / COMPARABLE_FACTOR <= ratio <= COMPARABLE_FACTOR
