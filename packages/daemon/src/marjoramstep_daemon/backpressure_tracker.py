"""Backpressure of downstream services, tracked by table row."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from marjoramstep_core.ids import ServiceName


if TYPE_CHECKING:
    from collections.abc import Iterable

    from marjoramstep_core.ids import RowName
    from marjoramstep_policy.pressure import Backpressure
    from marjoramstep_policy.pressure import BackpressureReport
    from marjoramstep_wire.messages import LoadReport

ROW_LIMIT = 10_000
SERVICES_PER_ROW_LIMIT = 64


class BackpressureTracker:
    """Tracks the services that a row reaches and checks root requests against them.

    A root request that one of these services would shed is refused at the entry.

    :param pressure: lowest weight that each service admits
    """

    def __init__(self, pressure: Backpressure) -> None:
        self._pressure = pressure
        self._services_by_row: OrderedDict[RowName, set[ServiceName]] = OrderedDict()

    def record(
        self, row_name: RowName, service: ServiceName, load: LoadReport, source: str
    ) -> set[ServiceName]:
        """Record the load report of a reply.

        :param row_name: row of the call
        :param service: service that was called
        :param load: its load and the load of its downstream services
        :param source: backend server that replied
        :return: the services that the call reached
        """
        self._pressure.record(service, load.admitted_weight, 0.0, source)
        reached = {service}
        for report in load.pressures[:SERVICES_PER_ROW_LIMIT]:
            name = ServiceName(report.service_name)
            self._pressure.record(name, report.admitted_weight, report.age_ms, source)
            reached.add(name)
        known = self._services_by_row.setdefault(row_name, set())
        if len(known) < SERVICES_PER_ROW_LIMIT:
            known |= reached
        if len(self._services_by_row) > ROW_LIMIT:
            self._services_by_row.popitem(last=False)
        return reached

    def admits(self, row_name: RowName, service: ServiceName, weight: int) -> bool:
        """Check whether a root request should be admitted at the entry.

        :param row_name: row of the request
        :param service: service that it calls
        :param weight: its weight
        :return: whether no service that it reaches would shed it; a few requests are
            admitted nevertheless, to detect the end of an overload
        """
        services = self._services_by_row.get(row_name) or {service}
        return self._pressure.admits(services, weight)

    def reports(self, services: Iterable[str]) -> list[BackpressureReport]:
        """Return the pressure reports of some services.

        :param services: downstream services of a call
        :return: known reports with their age
        """
        requested = set(services)
        if not requested:
            return []
        return [r for r in self._pressure.reports() if r.service in requested]
