"""Members of a service and results of calls, as seen by the router."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from marjoramstep_core.ids import NodeId
    from marjoramstep_core.ids import ServerId
    from marjoramstep_core.ids import ZoneName
    from marjoramstep_core.states import ServerState


@dataclass(frozen=True)
class RouteMember:
    """A backend server as announced to the registry.

    :param server_id: id of the backend server, unique over all services
    :param node_id: id of its node
    :param address: ``ip:port`` at which its node accepts calls of other nodes
    :param zone: its availability zone
    :param slots: requests that it runs concurrently
    :param connections: connections that it accepts
    :param state: announced state
    :param incarnation: increases with each restart of the backend server
    """

    server_id: ServerId
    node_id: NodeId
    address: str
    zone: ZoneName
    slots: int
    connections: int
    state: ServerState
    incarnation: int


@dataclass(frozen=True)
class ReportedLoad:
    """Load reported with an answer or a refusal.

    :param in_flight: requests running at the serving node
    :param limit: concurrency limit of that node
    :param queue_length: requests queued at that node
    :param age_ms: age of the report on arrival in milliseconds
    """

    in_flight: int
    limit: int
    queue_length: int
    age_ms: float = 0.0


@dataclass(frozen=True)
class SuspensionChange:
    """Suspension or recovery of a member, with the measurements behind the decision.

    :param server_id: id of the backend server
    :param zone: its availability zone
    :param suspended: true when regular traffic stops, false when it starts again
    :param latency_ms: latency of the member, or age of its oldest call if longer
    :param reference_ms: median latency of the service
    :param failures: consecutive failures
    :param in_flight: calls from this node that the member has not answered
    """

    server_id: ServerId
    zone: ZoneName
    suspended: bool
    latency_ms: float
    reference_ms: float
    failures: int
    in_flight: int


@unique
class CallResult(Enum):
    """Result of a call to a backend server, as far as it matters for routing."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED_OVERLOAD = "refused-overload"
    REFUSED_DRAINING = "refused-draining"
    CANCELLED = "cancelled"
