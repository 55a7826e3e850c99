"""Description of a workload: services, call graph of their paths, flows of callers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_core.registry import Registry


if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True)
class Call:
    """A further call of a path.

    :param service: called service
    :param method: HTTP method
    :param path: path, which starts with the prefix of one of that service's paths
    """

    service: str
    method: str
    path: str


@dataclass(frozen=True)
class ServicePath:
    """A path of a service.

    :param prefix: start of the path
    :param work_ms: relative own work; the generator scales it to the wanted capacity
    :param calls: further calls
    :param mode: ``sequential`` or ``parallel``
    :param sigma: spread of the logarithm of the work
    """

    prefix: str
    work_ms: float
    calls: tuple[Call, ...] = ()
    mode: str = "sequential"
    sigma: float = 0.4


@dataclass(frozen=True)
class Service:
    """A service at the size of the requirements.

    :param name: name of the service
    :param servers: number of backend servers
    :param slots: slots of each one
    :param connections: connections of each one
    :param paths: its paths
    """

    name: str
    servers: int
    slots: int
    connections: int
    paths: tuple[ServicePath, ...]


@dataclass(frozen=True)
class Flow:
    """A kind of requests that callers send.

    :param group: group in stated outcomes
    :param service: called service
    :param method: HTTP method
    :param path: path; ``{n}`` is replaced with a number
    :param share: share of all root requests at base load
    :param body_bytes: length of the body
    :param callers: number of different callers
    """

    group: str
    service: str
    method: str
    path: str
    share: float
    body_bytes: int = 0
    callers: int = 50


@dataclass(frozen=True)
class Workload:
    """A whole workload.

    :param name: name
    :param zones: availability zones
    :param services: services
    :param rows: table rows as cells
    :param flows: short requests of the base load
    :param upload: the long uploads; its share is not used
    :param lookups: groups of short requests to the service that takes the uploads
    :param important: groups that must complete under overload
    :param deep_service: service at the end of the call chains
    """

    name: str
    zones: tuple[str, ...]
    services: tuple[Service, ...]
    rows: tuple[dict[str, Any], ...]
    flows: tuple[Flow, ...]
    upload: Flow
    lookups: tuple[str, ...]
    important: tuple[str, ...]
    deep_service: str

    def service(self, name: str) -> Service:
        """Return a service.

        :param name: its name
        :return: the service
        """
        return next(service for service in self.services if service.name == name)

    def path(self, service: str, path: str) -> ServicePath:
        """Return the entry of a path.

        :param service: name of the service
        :param path: a path
        :return: the entry with the longest prefix
        """
        paths = self.service(service).paths
        matching = [entry for entry in paths if path.startswith(entry.prefix)]
        return max(matching, key=lambda entry: len(entry.prefix))


WORKLOADS: Registry[Callable[[], Workload]] = Registry("workload")
