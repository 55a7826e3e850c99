"""Backpressure: the lowest weight that each downstream service still admits."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from marjoramstep_core.registry import Registry


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import ServiceName

# Without a newer report, backpressure on a service ends after this time. Answers renew
# the reports, along a chain of 7 services within a few service times.
REPORT_LIFETIME_MS = 2000.0
# One in this many roots that would be refused is admitted as a probe, so at most 2% of
# the shed load is spent on detecting the end of the overload.
PROBE_INTERVAL = 50
# Reports are sent with answers, so the number of reported services is bounded.
MAX_SERVICES = 256
# Backend servers of a service whose reports are kept; the one whose report was recorded
# least recently is evicted.
MAX_SERVERS_PER_SERVICE = 64


@dataclass(frozen=True)
class BackpressureReport:
    """Lowest weight that one service admits.

    :param service: the service
    :param admitted_weight: lowest weight admitted; 0 when nothing is shed
    :param age_ms: time since the service made the report, in milliseconds
    """

    service: ServiceName
    admitted_weight: int
    age_ms: float


class Backpressure(Protocol):
    """Decides at the entry node whether to start a root request."""

    def record(
        self,
        service: ServiceName,
        admitted_weight: int,
        age_ms: float,
        source: str = "",
    ) -> None:
        """Record a report received with an answer."""

    def reports(self) -> list[BackpressureReport]:
        """Return the reports to send upstream."""

    def admits(self, services: Iterable[ServiceName], weight: int) -> bool:
        """Return whether a root of a weight is admitted; call it once for each root."""


@dataclass(slots=True)
class _TimedWeight:
    admitted_weight: int
    reported_ms: float


class _ServiceReports:
    """Latest reports on one service, by the backend server that made them."""

    __slots__ = ("_by_source", "refused_since_probe")

    def __init__(self) -> None:
        self._by_source: OrderedDict[str, _TimedWeight] = OrderedDict()
        self.refused_since_probe = 0

    def record(self, source: str, admitted_weight: int, reported_ms: float) -> None:
        known = self._by_source.get(source)
        if known is not None and reported_ms < known.reported_ms:
            return
        if known is None and len(self._by_source) >= MAX_SERVERS_PER_SERVICE:
            self._by_source.popitem(last=False)
        self._by_source[source] = _TimedWeight(admitted_weight, reported_ms)
        self._by_source.move_to_end(source)

    def combined(self, now_ms: float) -> _TimedWeight | None:
        """Combine the reports that have not expired.

        The lowest weight counts: while one backend server of a service still admits a
        weight, a call can be routed there.
        """
        for source, report in list(self._by_source.items()):
            if now_ms - report.reported_ms >= REPORT_LIFETIME_MS:
                del self._by_source[source]
        if not self._by_source:
            return None
        values = self._by_source.values()
        return _TimedWeight(
            min(report.admitted_weight for report in values),
            max(report.reported_ms for report in values),
        )


class ReportedBackpressure:
    """Keeps the reports of downstream services until they expire.

    The newest report of each service and backend server is used. The age of a report
    adds up from hop to hop, so a report that circulates among nodes still expires.

    :param clock: source of monotonic milliseconds
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: OrderedDict[ServiceName, _ServiceReports] = OrderedDict()

    def record(
        self,
        service: ServiceName,
        admitted_weight: int,
        age_ms: float,
        source: str = "",
    ) -> None:
        """Record a report received with an answer.

        :param service: the service that made the report
        :param admitted_weight: lowest weight admitted; 0 when nothing is shed
        :param age_ms: time since the service made the report, in milliseconds; a
            negative value counts as 0
        :param source: backend server that sent the answer
        """
        if age_ms >= REPORT_LIFETIME_MS:
            return
        entry = self._entries.get(service)
        if entry is None:
            # A service that sheds nothing needs no entry. An entry of a service that
            # has shed load stays until it expires, so that reports older than the end
            # of shedding do not restore it.
            if admitted_weight <= 0:
                return
            if len(self._entries) >= MAX_SERVICES:
                self._entries.popitem(last=False)
            entry = self._entries[service] = _ServiceReports()
        reported_ms = self._clock.now_ms() - max(age_ms, 0.0)
        entry.record(source, max(admitted_weight, 0), reported_ms)
        self._entries.move_to_end(service)

    def reports(self) -> list[BackpressureReport]:
        """Return the reports to send upstream.

        :return: at most 256 reports with their current age
        """
        now_ms = self._clock.now_ms()
        reports = []
        for service, entry in list(self._entries.items()):
            report = entry.combined(now_ms)
            if report is None:
                del self._entries[service]
            else:
                age_ms = now_ms - report.reported_ms
                reports.append(
                    BackpressureReport(service, report.admitted_weight, age_ms)
                )
        return reports

    def admits(self, services: Iterable[ServiceName], weight: int) -> bool:
        """Return whether a root of a weight is admitted.

        Must be called once for each root: every 50th root that would be refused is
        admitted as a probe.

        :param services: services that the root is known to reach
        :param weight: weight of the root
        :return: true if each service admits the weight or if the root is a probe
        """
        if not self._entries:
            return True
        now_ms = self._clock.now_ms()
        strictest: _ServiceReports | None = None
        highest_weight = weight
        for service in services:
            entry = self._entries.get(service)
            if entry is None:
                continue
            report = entry.combined(now_ms)
            if report is None:
                del self._entries[service]
            elif report.admitted_weight > highest_weight:
                strictest, highest_weight = entry, report.admitted_weight
        if strictest is None:
            return True
        strictest.refused_since_probe += 1
        if strictest.refused_since_probe < PROBE_INTERVAL:
            return False
        strictest.refused_since_probe = 0
        return True


class DisabledBackpressure:
    """Baseline that ignores reports and admits every root.

    :param clock: not used
    """

    def __init__(self, clock: Clock) -> None:
        pass

    def record(
        self,
        service: ServiceName,
        admitted_weight: int,
        age_ms: float,
        source: str = "",
    ) -> None:
        """Ignore a report.

        :param service: the service that made the report
        :param admitted_weight: lowest weight admitted
        :param age_ms: time since the service made the report, in milliseconds
        :param source: backend server that sent the answer
        """

    def reports(self) -> list[BackpressureReport]:
        """Return an empty list."""
        return []

    def admits(self, services: Iterable[ServiceName], weight: int) -> bool:
        """Admit a root.

        :param services: services that the root is known to reach
        :param weight: weight of the root
        :return: true
        """
        return True


BACKPRESSURE_VARIANTS: Registry[Callable[[Clock], Backpressure]] = Registry(
    "backpressure variant"
)
BACKPRESSURE_VARIANTS.register("reported")(ReportedBackpressure)
BACKPRESSURE_VARIANTS.register("ignored")(DisabledBackpressure)
