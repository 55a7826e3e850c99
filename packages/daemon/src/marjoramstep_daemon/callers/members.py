"""Members of the services that this node calls."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.ids import ReplicaId

from .dispatcher import parse_address


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import ServiceName
    from marjoramstep_policy.membership import MembershipView
    from marjoramstep_policy.routing import Router
    from marjoramstep_wire.messages import MemberUpdate

    from ..log import EventLog
    from ..nodes.link_pool import LinkPool

FIRST_UPDATE_WAIT_MS = 1_000.0
SECOND_MS = 1_000.0
SERVICE_LIMIT = 1_000


class MemberKeeper:
    """Subscribes to a service on its first call and keeps the router up to date.

    :param clock: clock of the node
    :param view: members as the registry replicas report them
    :param router: told each change
    :param links: opened ahead of the first call
    :param log: event log
    """

    def __init__(
        self,
        clock: Clock,
        view: MembershipView,
        router: Router,
        links: LinkPool,
        log: EventLog,
    ) -> None:
        self._clock = clock
        self._view = view
        self._router = router
        self._links = links
        self._log = log
        self._first_updates: dict[ServiceName, asyncio.Event] = {}
        self.watch: Callable[[ServiceName], None] = lambda _: None

    async def ensure(self, service: ServiceName, deadline_ms: float) -> None:
        """Subscribe to a service and wait for its first members.

        :param service: service about to be called
        :param deadline_ms: absolute deadline of the call
        """
        first_update = self._first_updates.get(service)
        if first_update is None:
            if len(self._first_updates) >= SERVICE_LIMIT:
                return
            first_update = self._first_updates[service] = asyncio.Event()
            self.watch(service)
        if first_update.is_set():
            return
        wait_ms = min(FIRST_UPDATE_WAIT_MS, deadline_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout(max(wait_ms, 0.0) / SECOND_MS):
                await first_update.wait()
        except TimeoutError:
            return

    def on_update(self, source: str, update: MemberUpdate) -> None:
        """Take an update of the registry.

        :param source: the replica it came from
        :param update: the message
        """
        try:
            changed = self._view.apply(update, ReplicaId(source))
        except MarjoramstepError as error:
            self._log.write(
                "member update refused",
                step=error.step,
                peer=source,
                error=error.message,
            )
            return
        for service in changed:
            self._publish(service)

    def _publish(self, service: ServiceName) -> None:
        members = self._view.members(service)
        self._router.update_members(service, members)
        for member in members:
            self._links.prepare(parse_address(member.address))
        addresses = {
            parse_address(member.address)
            for name in self._view.services()
            for member in self._view.members(name)
        }
        self._links.retain(addresses)
        if members and service in self._first_updates:
            self._first_updates[service].set()
