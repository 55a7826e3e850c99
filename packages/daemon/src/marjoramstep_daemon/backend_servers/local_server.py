"""State of the backend server on the same VM, as it announced itself."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from marjoramstep_core.states import ServerState
from marjoramstep_wire.messages import Member

from .announcement import invalid_announcement
from .client import BackendServerClient
from .departures import Departures
from .protocol import NativeBackendProtocol


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.addresses import Address
    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import NodeId
    from marjoramstep_core.ids import RequestKey
    from marjoramstep_core.ids import ServiceName

    from ..control.services_in_use import ServicesInUse
    from .announcement import Announcement
    from .protocol import BackendProtocol

ANNOUNCE_TIMEOUT_MS = 3_000.0


class LocalServer:
    """Tracks the state of the local backend server and owns the client to it.

    :param clock: clock of the node
    :param node_id: id of the node, which is also the id of its only backend server
    :param protocol: HTTP protocol of the backend server
    :param timeout_ms: time without an announcement after which the backend server is
        considered gone
    """

    def __init__(
        self,
        clock: Clock,
        node_id: NodeId,
        protocol: BackendProtocol | None = None,
        timeout_ms: float = ANNOUNCE_TIMEOUT_MS,
    ) -> None:
        self._clock = clock
        self._node_id = node_id
        self._protocol = protocol or NativeBackendProtocol()
        self._timeout_ms = timeout_ms
        self._is_draining = False
        self._departures = Departures(clock)
        self.known_services: ServicesInUse | None = None
        self.on_change: Callable[[], None] = lambda: None
        self.on_answer_skipped: Callable[[RequestKey, int], None] = (
            lambda _key, _status: None
        )
        self.peer_address: Address = ("", 0)
        self._announced_ms = float("-inf")
        self._sequence = 0
        self.announcement: Announcement | None = None
        self.client: BackendServerClient | None = None
        self.opened_connections = 0

    @property
    def state(self) -> ServerState:
        """Announced state; ``DRAINING`` while this node shuts down.

        ``GONE`` before the first announcement and after :meth:`mark_gone`.
        """
        if self.announcement is None:
            return ServerState.GONE
        if self._is_draining:
            return ServerState.DRAINING
        return self.announcement.state

    def serves(self, service: ServiceName) -> bool:
        """Check whether the backend server runs a service.

        :param service: name of the service
        :return: whether its announcement names this service
        """
        return self.announcement is not None and self.announcement.service == service

    async def announce(self, announcement: Announcement) -> None:
        """Apply an announcement.

        The client is replaced when the address, incarnation or number of connections
        changes.

        :param announcement: the announcement
        :raises InvalidInputError: if its incarnation is lower than the previous one
        """
        previous = self.announcement
        if previous is not None and announcement.incarnation < previous.incarnation:
            raise invalid_announcement(
                "incarnation: lower than that of the previous announcement"
            )
        self._announced_ms = self._clock.now_ms()
        self.announcement = announcement
        old_client = self.client
        is_new = previous is None or _client_key(previous) != _client_key(announcement)
        if is_new or self.client is None:
            self.client = BackendServerClient(
                announcement.address,
                announcement.connections,
                self._protocol,
                self._count_connection,
                self._report_skipped_answer,
            )
        if previous != announcement:
            self.on_change()
        if old_client is not None and old_client is not self.client:
            await old_client.close()

    def _report_skipped_answer(self, request_key: RequestKey, status: int) -> None:
        self.on_answer_skipped(request_key, status)

    def _count_connection(self) -> None:
        self.opened_connections += 1

    def mark_gone(self) -> None:
        """Mark the backend server as gone until its next announcement.

        It cannot be reached, its connection limit is reached, or its announcements have
        stopped.
        """
        if self.announcement is not None and self.state is not ServerState.GONE:
            self.announcement = replace(self.announcement, state=ServerState.GONE)
            self.on_change()

    def deregister(self, instance: str) -> None:
        """Mark an incarnation as gone for good.

        :param instance: id of the incarnation, which need not be the one in use
        """
        announcement = self.announcement
        is_current = announcement is not None and announcement.instance == instance
        incarnation = announcement.incarnation if announcement and is_current else None
        self._departures.record(instance, incarnation)
        if is_current:
            self.mark_gone()

    def has_left(self, announcement: Announcement) -> bool:
        """Return whether the incarnation of an announcement has deregistered.

        :param announcement: an announcement, which may be late
        :return: whether it must not be applied
        """
        return self._departures.include(announcement.instance, announcement.incarnation)

    def may_announce(self, service: ServiceName) -> bool:
        """Return whether the backend server may announce a service.

        A server in use keeps its service when the table no longer names it.

        :param service: name of the service
        :return: false for a service that nobody names
        """
        if self.known_services is None or self.serves(service):
            return True
        return self.known_services.include(service)

    def check_announcement_age(self) -> None:
        """Mark the backend server as gone if its announcements have stopped."""
        if self._clock.now_ms() - self._announced_ms > self._timeout_ms:
            self.mark_gone()

    def start_draining(self) -> None:
        """Report the backend server as draining, because this node is shutting down."""
        self._is_draining = True
        self.on_change()

    def to_member(self, zone: str) -> Member | None:
        """Return the registration of the backend server.

        The sequence number increases with each call. It is at least the wall-clock
        time, so that it also increases across restarts of the node.

        :param zone: availability zone of the node
        :return: the member, or None before the first announcement
        """
        announcement = self.announcement
        if announcement is None:
            return None
        self._sequence = max(self._sequence + 1, self._clock.wall_ms())
        host, port = self.peer_address
        return Member(
            server_id=self._node_id,
            node_id=self._node_id,
            service_name=announcement.service,
            address=f"{host}:{port}",
            zone=zone,
            slots=announcement.slots,
            connections=announcement.connections,
            state=self.state.value,
            incarnation=announcement.incarnation,
            sequence=self._sequence,
            has_left=self.has_left(announcement) or None,
        )

    async def close(self) -> None:
        """Close the client."""
        if self.client is not None:
            await self.client.close()


def _client_key(announcement: Announcement) -> tuple[Address, int, int]:
    return (announcement.address, announcement.incarnation, announcement.connections)
