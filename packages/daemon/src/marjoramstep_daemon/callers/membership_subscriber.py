"""Subscriptions to the members of the services that this node calls."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_core.addresses import split_address
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.ids import ReplicaId


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import ServiceName
    from marjoramstep_policy.membership import MembershipView
    from marjoramstep_policy.routing import Router
    from marjoramstep_wire.messages import MemberUpdate

    from ..log import EventLog
    from ..nodes.link_pool import LinkPool

FIRST_UPDATE_TIMEOUT_MS = 1_000.0
SECOND_MS = 1_000.0
SERVICE_LIMIT = 1_000


class _Subscription:
    """Subscription to one service."""

    def __init__(self, started_ms: float) -> None:
        self.started_ms = started_ms
        self.has_members = asyncio.Event()


class MembershipSubscriber:
    """Subscribes to services and keeps the router up to date.

    :param clock: clock of the node
    :param view: members as reported by the control replicas that keep the list of a
        service
    :param router: receives each change
    :param links: closes connections to nodes that are no longer members
    :param log: event log

    The factory sets ``watch`` and ``unwatch``, which start and end the updates of a
    service.
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
        self._subscriptions: dict[ServiceName, _Subscription] = {}
        self.watch: Callable[[ServiceName], None] = lambda _: None
        self.unwatch: Callable[[ServiceName], None] = lambda _: None

    def subscribe(self, service: ServiceName) -> None:
        """Subscribe to a service, if that has not happened yet.

        :param service: the service
        """
        if service in self._subscriptions:
            return
        if not self._make_room():
            self._log.write("service limit reached", step="watch", peer=service)
            return
        self._subscriptions[service] = _Subscription(self._clock.now_ms())
        self.watch(service)

    async def ensure_subscribed(self, service: ServiceName, deadline_ms: float) -> None:
        """Subscribe to a service and wait for its first members.

        :param service: the service to call
        :param deadline_ms: absolute deadline of the call
        """
        now_ms = self._clock.now_ms()
        self.subscribe(service)
        subscription = self._subscriptions.get(service)
        if subscription is None:
            return
        # The wait starts with the subscription, so that a service without members only
        # delays the calls that arrive right after it.
        until_ms = min(subscription.started_ms + FIRST_UPDATE_TIMEOUT_MS, deadline_ms)
        if subscription.has_members.is_set() or now_ms >= until_ms:
            return
        try:
            async with asyncio.timeout((until_ms - now_ms) / SECOND_MS):
                await subscription.has_members.wait()
        except TimeoutError:
            return

    def _make_room(self) -> bool:
        """Drop the oldest subscription without members if the limit is reached.

        :return: whether another service can be subscribed to
        """
        if len(self._subscriptions) < SERVICE_LIMIT:
            return True
        for service in self._subscriptions:
            if not self._view.members(service):
                del self._subscriptions[service]
                self._view.remove_service(service)
                self.unwatch(service)
                return True
        return False

    def on_update(self, source: str, update: MemberUpdate) -> None:
        """Apply a member update of a control replica.

        :param source: id of the replica that sent it
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
        addresses = {
            split_address(member.address)
            for name in self._view.services()
            for member in self._view.members(name)
        }
        self._links.retain(addresses)
        if members and service in self._subscriptions:
            self._subscriptions[service].has_members.set()
