"""Counters and histograms of a node, rendered in the Prometheus text format."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram
from marjoramstep_wire.traffic import PROCESS_TRAFFIC

from .calls import Answer


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from prometheus_client.core import Metric

    from .calls import Call
    from .calls import Reply

MIN_VALUE_US = 1
MAX_VALUE_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
SIGNIFICANT_BITS = 8
US_PER_MS = 1_000.0
SERIES_LIMIT = 1_000
# Number of distinct values buffered before they are recorded in the histogram, since
# recording each call there is more expensive.
PENDING_LIMIT = 500


class _Series:
    """A histogram with a buffer of values not recorded in it yet."""

    __slots__ = ("histogram", "pending")

    def __init__(self) -> None:
        self.histogram = HdrHistogram(MIN_VALUE_US, MAX_VALUE_US, SIGNIFICANT_DIGITS)
        self.pending: dict[int, int] = {}

    def record(self, value_us: int) -> None:
        self.pending[value_us] = self.pending.get(value_us, 0) + 1
        if len(self.pending) > PENDING_LIMIT:
            self.record_pending()

    def record_pending(self) -> None:
        for value_us, count in self.pending.items():
            self.histogram.record_value(value_us, count)
        self.pending.clear()


class Histograms:
    """HDR histograms of durations in microseconds by label."""

    def __init__(self) -> None:
        self._by_label: dict[str, _Series] = {}

    def record(self, label: str, duration_ms: float) -> None:
        """Record a duration.

        :param label: name of the series; labels beyond the limit share ``other``
        :param duration_ms: duration in milliseconds
        """
        series = self._by_label.get(label)
        if series is None:
            if len(self._by_label) >= SERIES_LIMIT:
                label = "other"
            series = self._by_label.setdefault(label, _Series())
        series.record(_rounded_us(duration_ms))

    def items(self) -> Iterable[tuple[str, HdrHistogram]]:
        """Return all series.

        :return: pairs of label and histogram
        """
        for series in self._by_label.values():
            series.record_pending()
        return [(label, series.histogram) for label, series in self._by_label.items()]


def _rounded_us(duration_ms: float) -> int:
    """Return microseconds rounded down to the precision of the histogram."""
    value_us = max(int(duration_ms * US_PER_MS), MIN_VALUE_US)
    shift = max(value_us.bit_length() - SIGNIFICANT_BITS, 0)
    return value_us >> shift << shift


class NodeMetrics:
    """Metrics of a node, collected by a Prometheus scrape."""

    def __init__(self) -> None:
        self._gauges: Callable[[], dict[str, float]] = dict
        self._reply_counts: Counter[tuple[str, str, str]] = Counter()
        self._event_counts: Counter[str] = Counter()
        self._entry_durations = Histograms()
        self._run_durations = Histograms()

    def set_gauges(self, gauges: Callable[[], dict[str, float]]) -> None:
        """Set the source of the gauges.

        :param gauges: returns current values by name
        """
        self._gauges = gauges

    def count_reply(self, call: Call, reply: Reply) -> None:
        """Count a reply of the serving side; only refusals and failures are passed.

        :param call: the call
        :param reply: its reply
        """
        reason = "" if isinstance(reply, Answer) else reply.reason.value
        self._reply_counts[("serving", call.row.name, reason)] += 1

    def record_outcome(self, row_name: str, reason: str, duration_ms: float) -> None:
        """Count an outcome reported to a caller and record its duration.

        :param row_name: row of the request
        :param reason: empty for an answer
        :param duration_ms: time from the head of the request to the head of the answer
        """
        self._reply_counts[("entry", row_name, reason)] += 1
        self._entry_durations.record(row_name, duration_ms)

    def count_event(self, event: str) -> None:
        """Count an event such as a retry.

        :param event: kind of event
        """
        self._event_counts[event] += 1

    def observe_run(self, call: Call, duration_ms: float) -> None:
        """Record the run time at the backend server.

        :param call: the call
        :param duration_ms: duration in milliseconds
        """
        self._run_durations.record(call.row.name, duration_ms)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics for a scrape."""
        # Imported at the first scrape, since it takes much memory and start time.
        from . import metric_families as families

        yield families.make_counter(
            "marjoramstep_replies",
            "Replies by side, row and reason; an empty reason is an answer.",
            ("side", "row", "reason"),
            self._reply_counts.items(),
        )
        yield families.make_counter(
            "marjoramstep_events",
            "Events by kind.",
            ("event",),
            (((event,), count) for event, count in self._event_counts.items()),
        )
        for name, value in self._gauges().items():
            yield families.make_gauge(f"marjoramstep_{name}", name, value)
        for name, histograms in (
            ("marjoramstep_entry_ms", self._entry_durations),
            ("marjoramstep_run_ms", self._run_durations),
        ):
            yield from families.make_durations(name, histograms.items())
        yield from families.make_traffic(PROCESS_TRAFFIC.sent())
