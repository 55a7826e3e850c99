"""Fits a workload to one machine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from ..deployment import Deployment
from ..load.warm_up import PROBE_PATH


if TYPE_CHECKING:
    from .workload import Service
    from .workload import ServicePath
    from .workload import Workload

LEAST_SERVERS = 2
LEAST_SLOTS = 4
PROBE_WORK_MS = 1.0


@dataclass(frozen=True)
class Scale:
    """How a workload is made smaller.

    :param servers: factor of the number of backend servers
    :param slots: factor of the slots and connections of each one
    :param capacity_per_s: root requests a second of the base mix that the most loaded
        service can just run; service times are stretched to match
    """

    servers: float = 1.0
    slots: float = 0.1
    capacity_per_s: float = 150.0


class SizedWorkload:
    """A workload with scaled servers, slots and service times.

    :param workload: the workload
    :param scale: how it is made smaller
    """

    def __init__(self, workload: Workload, scale: Scale) -> None:
        self.workload = workload
        self.scale = scale
        self.time_factor = self._unscaled_capacity_per_s() / scale.capacity_per_s

    def servers(self, service: Service) -> int:
        """Return the number of backend servers of a service.

        :param service: the service
        :return: scaled number
        """
        return max(LEAST_SERVERS, round(service.servers * self.scale.servers))

    def slots(self, service: Service) -> int:
        """Return the slots of each backend server of a service.

        :param service: the service
        :return: scaled number
        """
        return max(LEAST_SLOTS, round(service.slots * self.scale.slots))

    def server_names(self, name: str) -> list[str]:
        """Return the names of the backend servers of a service.

        :param name: name of the service
        :return: names as the runner gives them
        """
        count = self.servers(self.workload.service(name))
        return [f"{name}-{index + 1}" for index in range(count)]

    def hold_ms(self, service: str, path: str) -> float:
        """Return how long a request holds its slot, further calls included.

        :param service: name of the service
        :param path: its path
        :return: relative time before stretching, in milliseconds
        """
        entry = self.workload.path(service, path)
        calls = [self.hold_ms(call.service, call.path) for call in entry.calls]
        if not calls:
            return entry.work_ms
        together = max(calls) if entry.mode == "parallel" else sum(calls)
        return entry.work_ms + together

    def deployment(self, replicas: int) -> Deployment:
        """Build the deployment.

        :param replicas: number of control replicas
        :return: the checked deployment
        :raises InvalidInputError: if the workload holds a row that is not valid
        """
        services = [
            {
                "name": service.name,
                "servers": self.servers(service),
                "slots": self.slots(service),
                "connections": max(
                    self.slots(service), round(service.connections * self.scale.slots)
                ),
                "profile": {"paths": self._paths(service)},
            }
            for service in self.workload.services
        ]
        return Deployment.from_json(
            {
                "name": self.workload.name,
                "zones": list(self.workload.zones),
                "replicas": replicas,
                "services": services,
                "rows": [dict(row) for row in self.workload.rows],
            }
        )

    def _paths(self, service: Service) -> list[dict[str, Any]]:
        probe_time = {"kind": "constant", "mean_ms": PROBE_WORK_MS}
        paths = [self._path(path) for path in service.paths]
        paths.append({"prefix": PROBE_PATH, "service_time": probe_time})
        paths.append({"prefix": "/", "service_time": probe_time})
        return paths

    def _path(self, path: ServicePath) -> dict[str, Any]:
        return {
            "prefix": path.prefix,
            "service_time": {
                "kind": "lognormal",
                "median_ms": round(path.work_ms * self.time_factor, 3),
                "sigma": path.sigma,
            },
            "mode": path.mode,
            "calls": [
                {"service": call.service, "method": call.method, "path": call.path}
                for call in path.calls
            ],
        }

    def _unscaled_capacity_per_s(self) -> float:
        busy_ms: dict[str, float] = {s.name: 0.0 for s in self.workload.services}
        for flow in self.workload.flows:
            self._add_busy(busy_ms, flow.service, flow.path, flow.share)
        return min(
            self.servers(service) * self.slots(service) * 1000.0 / busy_ms[service.name]
            for service in self.workload.services
            if busy_ms[service.name]
        )

    def _add_busy(
        self, busy_ms: dict[str, float], service: str, path: str, share: float
    ) -> None:
        busy_ms[service] += share * self.hold_ms(service, path)
        for call in self.workload.path(service, path).calls:
            self._add_busy(busy_ms, call.service, call.path, share)
