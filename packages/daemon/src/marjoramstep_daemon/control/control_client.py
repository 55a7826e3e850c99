"""Connects a node to the replicas: table, membership, claims and quarantine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_core.addresses import Address
from marjoramstep_core.addresses import split_address
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.ids import Fingerprint
from marjoramstep_core.ids import ReplicaId
from marjoramstep_core.ids import ServiceName
from marjoramstep_policy.membership import choose_replicas
from marjoramstep_wire.messages import ClaimReply
from marjoramstep_wire.messages import Member
from marjoramstep_wire.messages import MemberUpdate
from marjoramstep_wire.messages import QuarantineNotice
from marjoramstep_wire.messages import RegisterReply
from marjoramstep_wire.messages import RegisterServer
from marjoramstep_wire.messages import ReplicaList
from marjoramstep_wire.messages import TableGet
from marjoramstep_wire.messages import TableNotice
from marjoramstep_wire.messages import TableReply
from marjoramstep_wire.messages import WatchService

from .claim_client import ClaimClient
from .control_link import ControlLink
from .replica_directory import ReplicaDirectory
from .table_requests import REPLY_TIMEOUT_MS
from .table_requests import TableRequests


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.clock import Clock
    from marjoramstep_core.states import ConnectionClass
    from marjoramstep_wire.messages import Hello
    from marjoramstep_wire.messages import Message

    from ..log import EventLog
    from .quarantine_client import QuarantineClient
    from .table_store import TableStore

LEASE_MS = 3_000.0
HEARTBEAT_INTERVAL_SECONDS = 1.0
TABLE_REQUEST_INTERVAL_SECONDS = 5.0
# Number of replicas that hold the members of a service. Nodes may temporarily have
# different lists of voters, so the sets that they choose have to overlap. With 3, two
# sets share a replica if each list has at most 2 that the other lacks.
REGISTRY_REPLICAS = 3
# Delay before a node asks again if a reply did not bring the announced version.
TABLE_RETRY_SECONDS = 0.1
SECOND_MS = 1_000.0


class ControlClient:
    """Owns the links to the replicas, the node's registration and its subscriptions.

    :param addresses: peer addresses of the replicas
    :param key: the deployment's key
    :param make_hello: builds a hello for a connection class
    :param clock: clock of the node
    :param tables: holds the table in force
    :param quarantine: quarantined fingerprints
    :param own_member: returns the member entry of this node's backend server, None
        before it is announced
    :param on_members: called with the address of the replica and each member update
    :param log: event log
    """

    def __init__(
        self,
        addresses: tuple[Address, ...],
        key: bytes,
        make_hello: Callable[[ConnectionClass], Hello],
        clock: Clock,
        tables: TableStore,
        quarantine: QuarantineClient,
        own_member: Callable[[], Member | None],
        on_members: Callable[[str, MemberUpdate], None],
        log: EventLog,
    ) -> None:
        self._tables = tables
        self._quarantine = quarantine
        self._own_member = own_member
        self._on_members = on_members
        self._log = log
        self._subscriptions: set[ServiceName] = set()
        self._key = key
        self._make_hello = make_hello
        self._directory = ReplicaDirectory(addresses)
        self._table_requests = TableRequests(clock)
        self._table_timer: asyncio.TimerHandle | None = None
        self._links: dict[str, ControlLink] = {}
        # Services whose members have been subscribed to on the open connection.
        self._watched: dict[Address, set[ServiceName]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._is_running = False
        self.claims = ClaimClient(clock, lambda: list(self._links.values()))
        tables.on_newer_version = self._request_table
        quarantine.on_report = self._broadcast

    async def run(self) -> None:
        """Keep links open and send heartbeats and table requests until cancelled."""
        self._is_running = True
        self._update_links()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._run_heartbeats())
                group.create_task(self._run_table_requests())
        finally:
            self._is_running = False
            if self._table_timer is not None:
                self._table_timer.cancel()
            for task in self._tasks.values():
                task.cancel()

    def set_configured_addresses(self, addresses: tuple[Address, ...]) -> None:
        """Replace the addresses from the settings.

        :param addresses: peer addresses of replicas
        """
        self._directory.set_configured(addresses)
        self._update_links()

    def _update_links(self) -> None:
        """Open links to the replicas that are wanted and close the others."""
        if not self._is_running:
            return
        wanted = self._directory.wanted(self._open_addresses())
        names = {f"{host}:{port}": (host, port) for host, port in wanted}
        for name in self._links.keys() - names.keys():
            self._tasks.pop(name).cancel()
            self._watched.pop(self._links.pop(name).address, None)
        for name in names.keys() - self._links.keys():
            link = self._links[name] = ControlLink(
                names[name],
                self._key,
                self._make_hello,
                self._on_open,
                self._on_message,
                self._log,
            )
            self._tasks[name] = asyncio.create_task(link.run())

    def _open_addresses(self) -> list[Address]:
        return [link.address for link in self._links.values() if link.is_open]

    def watch(self, service: ServiceName) -> None:
        """Subscribe to the members of a service.

        :param service: name of the service
        """
        if service in self._subscriptions:
            return
        self._subscriptions.add(service)
        self._watch_at_registries()

    def _watch_at_registries(self) -> None:
        """Subscribe at the registries, which may have changed with the voters."""
        for service in self._subscriptions:
            for link in self._registry_links(service):
                watched = self._watched.setdefault(link.address, set())
                if link.is_open and service not in watched:
                    watched.add(service)
                    self._try_send(link, WatchService(service_name=service))

    def unwatch(self, service: ServiceName) -> None:
        """End a subscription at this node; replicas drop it when the connection closes.

        :param service: name of the service
        """
        self._subscriptions.discard(service)
        for watched in self._watched.values():
            watched.discard(service)

    def is_watched(self, service: ServiceName) -> bool:
        """Return whether this node subscribes to the members of a service.

        :param service: name of the service
        :return: whether there is a subscription
        """
        return service in self._subscriptions

    def register(self) -> None:
        """Send this node's member to the registry of its service."""
        member = self._own_member()
        if member is None:
            return
        message = RegisterServer(member=member, lease_ms=LEASE_MS)
        for link in self._registry_links(ServiceName(member.service_name)):
            self._try_send(link, message)

    def _registry_links(self, service: ServiceName) -> list[ControlLink]:
        voters = (ReplicaId(f"{h}:{p}") for h, p in self._directory.voters())
        names = choose_replicas(service, voters, REGISTRY_REPLICAS)
        return [self._links[name] for name in names if name in self._links]

    async def _run_heartbeats(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            self._directory.expire_lists(self._open_addresses())
            self._update_links()
            self._watch_at_registries()

    async def _run_table_requests(self) -> None:
        while True:
            self._request_table()
            await asyncio.sleep(TABLE_REQUEST_INTERVAL_SECONDS)

    def _request_table(self) -> None:
        replica = self._table_requests.choose(self._open_addresses())
        if replica is None:
            return
        link = next(x for x in self._links.values() if x.address == replica)
        self._try_send(link, TableGet(have_version=self._tables.version))
        self._retry_table_after(REPLY_TIMEOUT_MS / SECOND_MS)

    def _retry_table_after(self, delay_seconds: float) -> None:
        if self._table_timer is not None:
            self._table_timer.cancel()
        loop = asyncio.get_running_loop()
        self._table_timer = loop.call_later(delay_seconds, self._on_table_timer)

    def _on_table_timer(self) -> None:
        self._table_timer = None
        if self._lacks_table():
            self._request_table()

    def _lacks_table(self) -> bool:
        tables = self._tables
        return not tables.has_table or tables.newest_reported_version > tables.version

    def _on_table_reply(self, link: ControlLink, message: TableReply) -> None:
        self._table_requests.record_reply(link.address)
        self._tables.receive(message)
        if self._lacks_table():
            self._retry_table_after(TABLE_RETRY_SECONDS)

    def _broadcast(self, message: Message) -> None:
        for link in self._links.values():
            self._try_send(link, message)

    def _try_send(self, link: ControlLink, message: Message) -> None:
        if not link.is_open:
            return
        try:
            link.send(message)
        except MarjoramstepError as error:
            self._log.write("message not sent", step=error.step, peer=error.peer)

    def _on_open(self, link: ControlLink) -> None:
        self._tables.record_version(link.peer_table_version)
        if self._lacks_table():
            self._request_table()
        self._watched.pop(link.address, None)
        self._watch_at_registries()
        self.register()

    def _on_message(self, link: ControlLink, message: Message) -> None:
        if isinstance(message, TableReply):
            self._on_table_reply(link, message)
        elif isinstance(message, TableNotice):
            self._table_requests.record_announcement(link.address)
            self._tables.record_version(message.version)
        elif isinstance(message, MemberUpdate):
            self._on_members(f"{link.address[0]}:{link.address[1]}", message)
        elif isinstance(message, ClaimReply):
            self.claims.on_reply(message)
        elif isinstance(message, RegisterReply):
            self._tables.record_version(message.table_version)
        elif isinstance(message, ReplicaList):
            addresses = {split_address(text) for text in message.addresses}
            self._directory.record_list(link.address, addresses)
            self._update_links()
        elif isinstance(message, QuarantineNotice):
            self._quarantine.add(
                ServiceName(message.service_name),
                Fingerprint(message.fingerprint),
                message.remaining_ms,
            )
        else:
            raise ProtocolError(
                f"unexpected {type(message).__name__}", step="receive from replica"
            )
