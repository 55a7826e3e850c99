"""Builds a dispatcher whose links are given by the test."""

from __future__ import annotations

import random
from typing import Any

from daemon_harness import CLOCK
from marjoramstep_core.ids import NodeId
from marjoramstep_core.ids import ServerId
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.ids import ZoneName
from marjoramstep_core.states import ServerState
from marjoramstep_daemon.backpressure_tracker import BackpressureTracker
from marjoramstep_daemon.callers.dispatcher import Dispatcher
from marjoramstep_daemon.log import EventLog
from marjoramstep_daemon.metrics import NodeMetrics
from marjoramstep_policy.admission import SIZE_CLASSIFIERS
from marjoramstep_policy.pressure import BACKPRESSURE_VARIANTS
from marjoramstep_policy.retries import SERVICE_RETRY_BUDGETS
from marjoramstep_policy.routing import ROUTERS
from marjoramstep_policy.routing import RouteMember


SERVICE = ServiceName("s")


class FakeSubscriber:
    """Knows the members already."""

    async def ensure_subscribed(self, _service: Any, _deadline_ms: float) -> None:
        """Return at once."""


def _member(number: int) -> RouteMember:
    name = f"node-{number}"
    return RouteMember(
        server_id=ServerId(name),
        node_id=NodeId(name),
        address=f"127.0.0.1:{number}",
        zone=ZoneName("a"),
        slots=9,
        connections=100,
        state=ServerState.READY,
        incarnation=1,
    )


def make_dispatcher(members: int, links: Any) -> Dispatcher:
    """Create a dispatcher for one service with some members."""
    router = ROUTERS.get("zone-first")(CLOCK, random.Random(1), ZoneName("a"))
    router.update_members(SERVICE, [_member(n + 1) for n in range(members)])
    return Dispatcher(
        CLOCK,
        NodeId("caller"),
        FakeSubscriber(),  # type: ignore[arg-type]
        router,
        SERVICE_RETRY_BUDGETS.get("share")(CLOCK),
        links,
        None,  # type: ignore[arg-type]
        BackpressureTracker(BACKPRESSURE_VARIANTS.get("reported")(CLOCK)),
        SIZE_CLASSIFIERS.get("learned")(),
        NodeMetrics(),
        EventLog(CLOCK, "test"),
    )
