"""Metric families of a Prometheus scrape."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import SummaryMetricFamily


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from hdrh.histogram import HdrHistogram
    from marjoramstep_wire.traffic import SentTraffic
    from prometheus_client.core import Metric

US_PER_MS = 1_000.0
QUANTILES = (50.0, 90.0, 99.0, 99.9)


def make_counter(
    name: str,
    text: str,
    labels: Sequence[str],
    counts: Iterable[tuple[tuple[str, ...], int]],
) -> Metric:
    """Build a family of counters.

    :param name: name of the family
    :param text: description
    :param labels: names of the labels
    :param counts: values of the labels and count
    :return: the family
    """
    family = CounterMetricFamily(name, text, labels=labels)
    for values, count in counts:
        family.add_metric(list(values), count)
    return family


def make_gauge(name: str, text: str, value: float) -> Metric:
    """Build a gauge without labels.

    :param name: name of the gauge
    :param text: description
    :param value: current value
    :return: the family
    """
    return GaugeMetricFamily(name, text, value=value)


def make_traffic(traffic: Iterable[SentTraffic]) -> Iterator[Metric]:
    """Build the counters of frames and bytes sent to other processes.

    :param traffic: what was sent of each kind of message
    :return: the families
    """
    labels = ["message", "to_zone"]
    frames = CounterMetricFamily(
        "marjoramstep_sent_frames", "Frames sent to other processes.", labels=labels
    )
    sent_bytes = CounterMetricFamily(
        "marjoramstep_sent_bytes", "Bytes of these frames.", labels=labels
    )
    for sent in traffic:
        values = [sent.message_type, "other" if sent.crosses_zones else "own"]
        frames.add_metric(values, sent.frames)
        sent_bytes.add_metric(values, sent.sent_bytes)
    yield frames
    yield sent_bytes


def make_durations(
    name: str, histograms: Iterable[tuple[str, HdrHistogram]]
) -> Iterator[Metric]:
    """Build count, sum and quantiles of durations by row.

    :param name: name of the family, whose values are in milliseconds
    :param histograms: row and histogram in microseconds
    :return: the families
    """
    family = SummaryMetricFamily(name, "Durations by row.", labels=["row"])
    quantiles = GaugeMetricFamily(
        f"{name}_quantile", "Quantiles by row.", labels=["row", "quantile"]
    )
    for label, histogram in histograms:
        count = histogram.get_total_count()
        total_ms = histogram.get_mean_value() * count / US_PER_MS
        family.add_metric([label], count_value=count, sum_value=total_ms)
        for quantile in QUANTILES:
            value_ms = histogram.get_value_at_percentile(quantile) / US_PER_MS
            quantiles.add_metric([label, f"{quantile / 100.0:g}"], value_ms)
    yield family
    yield quantiles
