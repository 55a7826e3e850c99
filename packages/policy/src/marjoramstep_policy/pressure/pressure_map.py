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

    def record(self, service: ServiceName, admitted_weight: int, age_ms: float) -> None:
        """Note a report carried on an answer."""

    def reports(self) -> list[PressureReport]:
        """Return the reports to pass on."""

    def admits(self, services: Iterable[ServiceName], weight: int) -> bool:
        """Tell whether a root of a weight is admitted."""


@dataclass(slots=True)
class _Entry:
    admitted_weight: int
    stated_ms: float
    refused: int = 0


class PressureMap:
    """Reports of deep services, each for a bounded time.

    The report with the lowest age is used for each service. Ages add up from hop to
    hop, so a report that circulates among nodes still expires.

    :param clock: source of monotonic milliseconds
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: OrderedDict[ServiceName, _Entry] = OrderedDict()

    def record(self, service: ServiceName, admitted_weight: int, age_ms: float) -> None:
        """Note a report carried on an answer.

        :param service: the service that stated it
        :param admitted_weight: lowest weight admitted; 0 when nothing is shed
        :param age_ms: time since the service stated it, in milliseconds; a negative
            one counts as 0
        """
        if age_ms >= REPORT_LIFETIME_MS:
            return
        stated_ms = self._clock.now_ms() - max(age_ms, 0.0)
        entry = self._entries.get(service)
        if entry is None:
            # A service that sheds nothing needs no entry. After it shed, the entry
            # stays until it expires, so that older reports do not bring it back.
            if admitted_weight <= 0:
                return
            if len(self._entries) >= MAX_SERVICES:
                self._entries.popitem(last=False)
            self._entries[service] = _Entry(admitted_weight, stated_ms)
        elif stated_ms >= entry.stated_ms:
            entry.admitted_weight = max(admitted_weight, 0)
            entry.stated_ms = stated_ms
            self._entries.move_to_end(service)

    def reports(self) -> list[PressureReport]:
        """Return the reports to pass on.

        :return: at most 256 reports with their present age
        """
        now_ms = self._clock.now_ms()
        reports = []
        for service, entry in list(self._entries.items()):
            age_ms = now_ms - entry.stated_ms
            if age_ms >= REPORT_LIFETIME_MS:
                del self._entries[service]
            else:
                reports.append(PressureReport(service, entry.admitted_weight, age_ms))
        return reports

    def admits(self, services: Iterable[ServiceName], weight: int) -> bool:
        """Tell whether a root of a weight is admitted.

        :param services: services that the root is known to reach
        :param weight: weight of the root
        :return: true if each service admits the weight, or for a probe
        """
        now_ms = self._clock.now_ms()
        strictest: _Entry | None = None
        for service in services:
            entry = self._entries.get(service)
            if entry is None:
                continue
            if now_ms - entry.stated_ms >= REPORT_LIFETIME_MS:
                del self._entries[service]
            elif weight < entry.admitted_weight and (
                strictest is None or entry.admitted_weight > strictest.admitted_weight
            ):
                strictest = entry
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

    def record(self, service: ServiceName, admitted_weight: int, age_ms: float) -> None:
        """Ignore a report.

        :param service: the service that stated it
        :param admitted_weight: lowest weight admitted
        :param age_ms: milliseconds since the service stated it
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
