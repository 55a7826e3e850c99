"""Counters and histograms of a node, rendered in the Prometheus text format."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.registry import Collector

from .calls import Answer


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from prometheus_client.core import Metric

    from .calls import Call
    from .calls import Reply

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
KEPT_BITS = 8
US_PER_MS = 1_000.0
SERIES_LIMIT = 1_000
QUANTILES = (50.0, 90.0, 99.0, 99.9)


# Values kept apart before they go into the histogram, which costs more for each call.
PENDING_LIMIT = 500


class _Series:
    """One histogram with values that it has not taken yet."""

    __slots__ = ("histogram", "pending")

    def __init__(self) -> None:
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.pending: dict[int, int] = {}

    def record(self, value_us: int) -> None:
        self.pending[value_us] = self.pending.get(value_us, 0) + 1
        if len(self.pending) > PENDING_LIMIT:
            self.take_pending()

    def take_pending(self) -> None:
        for value_us, count in self.pending.items():
            self.histogram.record_value(value_us, count)
        self.pending.clear()


class Histograms:
    """HDR histograms of durations in microseconds, by label."""

    def __init__(self) -> None:
        self._by_label: dict[str, _Series] = {}

    def record(self, label: str, duration_ms: float) -> None:
        """Record a duration.

        :param label: name of the series; beyond the limit all share ``other``
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
            series.take_pending()
        return [(label, series.histogram) for label, series in self._by_label.items()]


def _rounded_us(duration_ms: float) -> int:
    """Return microseconds with as many bits as the histogram tells apart."""
    value_us = max(int(duration_ms * US_PER_MS), LOWEST_US)
    shift = max(value_us.bit_length() - KEPT_BITS, 0)
    return value_us >> shift << shift


class NodeMetrics(Collector):
    """What a node counts; a scrape reads it."""

    def __init__(self) -> None:
        self._gauges: Callable[[], dict[str, float]] = dict
        self._outcomes: Counter[tuple[str, str, str]] = Counter()
        self._events: Counter[str] = Counter()
        self._entry = Histograms()
        self._runs = Histograms()

    def set_gauges(self, gauges: Callable[[], dict[str, float]]) -> None:
        """Set the source of current values.

        :param gauges: returns values by name
        """
        self._gauges = gauges

    def count_reply(self, call: Call, reply: Reply) -> None:
        """Count a refusal or failure of the serving side.

        :param call: the call
        :param reply: its reply
        """
        reason = "" if isinstance(reply, Answer) else reply.reason.value
        self._outcomes[("serving", call.row.name, reason)] += 1

    def count_outcome(self, row_name: str, reason: str, duration_ms: float) -> None:
        """Count an outcome towards a caller.

        :param row_name: row of the request
        :param reason: empty for an answer
        :param duration_ms: time from the request's head to its answer's head
        """
        self._outcomes[("entry", row_name, reason)] += 1
        self._entry.record(row_name, duration_ms)

    def count_event(self, event: str) -> None:
        """Count an event such as a retry.

        :param event: kind of event
        """
        self._events[event] += 1

    def observe_run(self, call: Call, duration_ms: float) -> None:
        """Record the time that the backend server took.

        :param call: the call
        :param duration_ms: duration in milliseconds
        """
        self._runs.record(call.row.name, duration_ms)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics for a scrape."""
        replies = CounterMetricFamily(
            "marjoramstep_replies",
            "Replies by side, row and reason; an empty reason is an answer.",
            labels=["side", "row", "reason"],
        )
        for labels, count in self._outcomes.items():
            replies.add_metric(list(labels), count)
        yield replies
        events = CounterMetricFamily(
            "marjoramstep_events", "Events by kind.", labels=["event"]
        )
        for event, count in self._events.items():
            events.add_metric([event], count)
        yield events
        for name, value in self._gauges().items():
            yield GaugeMetricFamily(f"marjoramstep_{name}", name, value=value)
        yield from _render("marjoramstep_entry_ms", self._entry)
        yield from _render("marjoramstep_run_ms", self._runs)


def _render(name: str, histograms: Histograms) -> Iterator[Metric]:
    family = SummaryMetricFamily(name, "Durations by row.", labels=["row"])
    quantiles = GaugeMetricFamily(
        f"{name}_quantile", "Quantiles by row.", labels=["row", "quantile"]
    )
    for label, histogram in histograms.items():
        count = histogram.get_total_count()
        total_ms = histogram.get_mean_value() * count / US_PER_MS
        family.add_metric([label], count_value=count, sum_value=total_ms)
        for quantile in QUANTILES:
            value_ms = histogram.get_value_at_percentile(quantile) / US_PER_MS
            quantiles.add_metric([label, f"{quantile / 100.0:g}"], value_ms)
    yield family
    yield quantiles
