"""What the router knows of a member and hears from an answer."""

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
    """A backend server as announced.

    :param server_id: id of the backend server, unique over all services
    :param node_id: id of its node
    :param address: ``ip:port`` of its node towards other nodes
    :param zone: its availability zone
    :param slots: requests that it runs at once
    :param connections: connections that it accepts
    :param state: announced state
    :param incarnation: rises with each restart of the backend server
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
class RouteLoad:
    """Load that came with an answer or a refusal.

    :param in_flight: requests running at the serving node
    :param limit: its concurrency limit
    :param queue_length: requests queued there
    :param age_ms: age of the figures on arrival in milliseconds
    """

    in_flight: int
    limit: int
    queue_length: int
    age_ms: float = 0.0


@dataclass(frozen=True)
class RouteChange:
    """A change of what the router believes of a member, with what decided it.

    :param suspended: whether regular traffic stops or starts again
    :param latency_ms: latency of the member, or age of its oldest call if longer
    :param reference_ms: median latency of the service
    :param failures: failures in a row
    :param in_flight: calls of this node that the member has not answered
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
    """How a call to a backend server ended, as far as routing is concerned."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED_OVERLOAD = "refused-overload"
    REFUSED_DRAINING = "refused-draining"
    CANCELLED = "cancelled"
