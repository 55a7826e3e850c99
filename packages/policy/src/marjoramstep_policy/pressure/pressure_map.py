"""Lowest weight that each deep service still admits."""

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

# Backpressure ends by itself after this time without a report, also when no probe
# brings a new one. A chain 7 deep renews reports within a few service times.
REPORT_LIFETIME_MS = 2000.0
# One in this many refused roots goes through, so at most 2% of shed load is spent on
# finding out that the overload ended.
PROBE_INTERVAL = 50
# Reports travel on every answer, so the map holds no more than a node needs.
MAX_SERVICES = 256
# Backend servers of a service whose reports are combined; the oldest one is dropped.
MAX_SOURCES = 64


@dataclass(frozen=True)
class PressureReport:
    """What one service admits.

    :param service: the service
    :param admitted_weight: lowest weight admitted; 0 when nothing is shed
    :param age_ms: time since the service stated it, in milliseconds
    """

    service: ServiceName
    admitted_weight: int
    age_ms: float


class Pressure(Protocol):
    """Decides at the entry whether a root is worth starting."""

    def record(
        self,
        service: ServiceName,
        admitted_weight: int,
        age_ms: float,
        source: str = "",
    ) -> None:
        """Note a report carried on an answer."""

    def reports(self) -> list[PressureReport]:
        """Return the reports to pass on."""

    def admits(self, services: Iterable[ServiceName], weight: int) -> bool:
        """Tell whether a root of a weight is admitted."""


@dataclass(slots=True)
class _Stated:
    admitted_weight: int
    stated_ms: float


class _Entry:
    """Reports on one service by the process that made them."""

    __slots__ = ("_by_source", "refused")

    def __init__(self) -> None:
        self._by_source: OrderedDict[str, _Stated] = OrderedDict()
        self.refused = 0

    def record(self, source: str, admitted_weight: int, stated_ms: float) -> None:
        known = self._by_source.get(source)
        if known is not None and stated_ms < known.stated_ms:
            return
        if known is None and len(self._by_source) >= MAX_SOURCES:
            self._by_source.popitem(last=False)
        self._by_source[source] = _Stated(admitted_weight, stated_ms)
        self._by_source.move_to_end(source)

    def latest(self, now_ms: float) -> _Stated | None:
        """Combine the reports that are still valid.

        The lowest weight counts: while one backend server of a service still admits a
        weight, routing can take the call there.
        """
        for source, stated in list(self._by_source.items()):
            if now_ms - stated.stated_ms >= REPORT_LIFETIME_MS:
                del self._by_source[source]
        if not self._by_source:
            return None
        values = self._by_source.values()
        return _Stated(
            min(stated.admitted_weight for stated in values),
            max(stated.stated_ms for stated in values),
        )


class PressureMap:
    """Reports of deep services, each for a bounded time.

    The report with the lowest age is used for each service and source. Ages add up from
    hop to hop, so a report that circulates among nodes still expires.

    :param clock: source of monotonic milliseconds
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: OrderedDict[ServiceName, _Entry] = OrderedDict()

    def record(
        self,
        service: ServiceName,
        admitted_weight: int,
        age_ms: float,
        source: str = "",
    ) -> None:
        """Note a report carried on an answer.

        :param service: the service that stated it
        :param admitted_weight: lowest weight admitted; 0 when nothing is shed
        :param age_ms: time since the service stated it, in milliseconds; a negative
            one counts as 0
        :param source: backend server that the answer came from
        """
        if age_ms >= REPORT_LIFETIME_MS:
            return
        entry = self._entries.get(service)
        if entry is None:
            # A service that sheds nothing needs no entry. After it shed, the entry
            # stays until it expires, so that older reports do not bring it back.
            if admitted_weight <= 0:
                return
            if len(self._entries) >= MAX_SERVICES:
                self._entries.popitem(last=False)
            entry = self._entries[service] = _Entry()
        stated_ms = self._clock.now_ms() - max(age_ms, 0.0)
        entry.record(source, max(admitted_weight, 0), stated_ms)
        self._entries.move_to_end(service)

    def reports(self) -> list[PressureReport]:
        """Return the reports to pass on.

        :return: at most 256 reports with their present age
        """
        now_ms = self._clock.now_ms()
        reports = []
        for service, entry in list(self._entries.items()):
            stated = entry.latest(now_ms)
            if stated is None:
                del self._entries[service]
            else:
                age_ms = now_ms - stated.stated_ms
                reports.append(PressureReport(service, stated.admitted_weight, age_ms))
        return reports

    def admits(self, services: Iterable[ServiceName], weight: int) -> bool:
        """Tell whether a root of a weight is admitted.

        :param services: services that the root is known to reach
        :param weight: weight of the root
        :return: true if each service admits the weight, or for a probe
        """
        if not self._entries:
            return True
        now_ms = self._clock.now_ms()
        strictest: _Entry | None = None
        highest = weight
        for service in services:
            entry = self._entries.get(service)
            if entry is None:
                continue
            stated = entry.latest(now_ms)
            if stated is None:
                del self._entries[service]
            elif stated.admitted_weight > highest:
                strictest, highest = entry, stated.admitted_weight
        if strictest is None:
            return True
        strictest.refused += 1
        if strictest.refused < PROBE_INTERVAL:
            return False
        strictest.refused = 0
        return True


class IgnoredPressure:
    """Admits every root.

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

        :param service: the service that stated it
        :param admitted_weight: lowest weight admitted
        :param age_ms: milliseconds since the service stated it
        :param source: backend server that the answer came from
        """

    def reports(self) -> list[PressureReport]:
        """Return no report."""
        return []

    def admits(self, services: Iterable[ServiceName], weight: int) -> bool:
        """Admit a root.

        :param services: services that the root is known to reach
        :param weight: weight of the root
        :return: true
        """
        return True


PRESSURE_VARIANTS: Registry[Callable[[Clock], Pressure]] = Registry("pressure variant")
PRESSURE_VARIANTS.register("reported")(PressureMap)
PRESSURE_VARIANTS.register("ignored")(IgnoredPressure)
