"""Selects the rows of a service whose latencies may be compared across servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..admission.size_classifier import QuantileEstimate


if TYPE_CHECKING:
    from marjoramstep_core.ids import RowName
    from marjoramstep_core.ids import ServiceName

MEDIAN = 0.5
# Below the factor at which a server counts as slow, so that a mix of comparable rows
# alone can't make a server look slow.
COMPARABLE_FACTOR = 2.0
# Samples before the median of a row is used.
MIN_SAMPLES = 5
# When a row exceeds this count, all counts of its service are halved, so that old
# traffic loses its weight.
COUNT_LIMIT = 500
# When one of these numbers is reached, the state of all services, or of all rows of the
# service, is discarded.
MAX_SERVICES = 1_000
MAX_ROWS_PER_SERVICE = 1_000


class _RowMedian:
    """Estimated median latency of one row and its number of samples."""

    __slots__ = ("count", "median")

    def __init__(self, latency_ms: float) -> None:
        self.median = QuantileEstimate(MEDIAN, latency_ms)
        self.count = 0


class ComparableRows:
    """Compares the median latency of each row with that of the service's busiest row.

    The latencies of a service that runs lookups of 40 ms and reports of 700 ms form two
    clusters. A mean over both depends more on the mix of calls than on the server, and
    a report in flight looks like an overdue lookup. Only rows whose median is near that
    of the busiest row are therefore used to detect slow servers.
    """

    def __init__(self) -> None:
        self._services: dict[ServiceName, dict[RowName, _RowMedian]] = {}
        self._busiest_row: dict[ServiceName, RowName] = {}

    def observe(self, service: ServiceName, row: RowName, latency_ms: float) -> None:
        """Record the latency of an answered call.

        :param service: service that was called
        :param row: row of the call
        :param latency_ms: latency of the call in milliseconds
        """
        rows = self._services.get(service)
        if rows is None:
            if len(self._services) >= MAX_SERVICES:
                self._services.clear()
            rows = self._services[service] = {}
        row_median = rows.get(row)
        if row_median is None:
            if len(rows) >= MAX_ROWS_PER_SERVICE:
                rows.clear()
            row_median = rows[row] = _RowMedian(latency_ms)
        row_median.median.observe(latency_ms)
        row_median.count += 1
        reference = rows.get(self._busiest_row.get(service, row))
        if reference is None or row_median.count >= reference.count:
            self._busiest_row[service] = row
        if row_median.count > COUNT_LIMIT:
            for other in rows.values():
                other.count //= 2

    def is_comparable(self, service: ServiceName, row: RowName) -> bool:
        """Tell whether the latency of a row's calls may be used to judge a server.

        :param service: service that is called
        :param row: row of the call
        :return: whether the median of the row is near that of the busiest row
        """
        rows = self._services.get(service, {})
        row_median = rows.get(row)
        reference = rows.get(self._busiest_row.get(service, row))
        if row_median is None or reference is None or reference.count < MIN_SAMPLES:
            return False
        if row_median is reference:
            return True
        if row_median.count < MIN_SAMPLES:
            return False
        ratio = row_median.median.value_ms / reference.median.value_ms
        return 1.0 / COMPARABLE_FACTOR <= ratio <= COMPARABLE_FACTOR
