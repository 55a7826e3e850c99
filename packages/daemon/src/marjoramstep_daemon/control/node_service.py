"""Serves the nodes that are connected to this replica."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.ids import Fingerprint
from marjoramstep_core.ids import NodeId
from marjoramstep_core.ids import ServiceName
from marjoramstep_state.commands import ReportCrash
from marjoramstep_state.results import CrashReportResult
from marjoramstep_wire.messages import ClaimEnd
from marjoramstep_wire.messages import ClaimLookup
from marjoramstep_wire.messages import ClaimRequest
from marjoramstep_wire.messages import QuarantineNotice
from marjoramstep_wire.messages import QuarantineReport
from marjoramstep_wire.messages import RegisterReply
from marjoramstep_wire.messages import RegisterServer
from marjoramstep_wire.messages import ReplicaList
from marjoramstep_wire.messages import TableGet
from marjoramstep_wire.messages import TableNotice
from marjoramstep_wire.messages import TableReply
from marjoramstep_wire.messages import WatchService

from .claim_service import ClaimService
from .replicated_state import NotLeaderError
from .table_encoder import TableEncoder


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable

    from marjoramstep_core.clock import Clock
    from marjoramstep_state import MembershipRegistry
    from marjoramstep_state.command import Command
    from marjoramstep_state.membership.registry import MemberPush
    from marjoramstep_wire.connection import PeerConnection
    from marjoramstep_wire.messages import Message

    from ..log import EventLog
    from .replicated_state import ReplicatedState

REGISTRY_TICK_SECONDS = 0.2
STALL_THRESHOLD_MS = 1_000.0
# As long as LEASE_MS of the nodes, within which each live member sends a heartbeat.
REGISTRY_WARM_UP_MS = 3_000.0


class NodeService:
    """Serves table, membership, claims and quarantine to nodes.

    :param clock: clock of the process
    :param state: the replicated state
    :param registry: members of services and their subscribers at this replica
    :param log: event log
    :param replicas: returns the peer addresses of all replicas
    """

    def __init__(
        self,
        clock: Clock,
        state: ReplicatedState,
        registry: MembershipRegistry,
        log: EventLog,
        replicas: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self._clock = clock
        self._state = state
        self._table_encoder = TableEncoder(state.machine)
        self._registry = registry
        self._replicas = replicas
        self._sent_replicas: frozenset[str] = frozenset()
        self._log = log
        self._warm_up_end_ms = clock.now_ms() + REGISTRY_WARM_UP_MS
        self._warm_up_watches: list[tuple[NodeId, WatchService]] = []
        self._connections: dict[NodeId, PeerConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._claims = ClaimService(state, self._send)
        self._handlers: dict[
            type[Message], Callable[[PeerConnection, Message], None]
        ] = {
            TableGet: self._on_table_get,
            RegisterServer: self._on_register,
            WatchService: self._on_watch,
            ClaimRequest: self._claims.on_claim,
            ClaimEnd: self._claims.on_claim_end,
            ClaimLookup: self._claims.on_claim_lookup,
            QuarantineReport: self._on_quarantine_report,
        }

    async def run(self) -> None:
        """Expire leases and send changed replica and member lists until cancelled."""
        last_tick_ms = self._clock.now_ms()
        while True:
            now_ms = self._clock.now_ms()
            if now_ms - last_tick_ms > STALL_THRESHOLD_MS:
                # This process was stalled and has not yet read the heartbeats that
                # arrived meanwhile; expiring leases now would withdraw every member.
                self._warm_up_end_ms = now_ms + REGISTRY_WARM_UP_MS
                self._log.write("expiry of leases paused", step="expire leases")
            last_tick_ms = now_ms
            self._push_replicas()
            if not self._is_warming_up():
                self._push(self._registry.tick())
                self._send_full_lists()
            await asyncio.sleep(REGISTRY_TICK_SECONDS)

    def on_open(self, connection: PeerConnection) -> None:
        """Add a connection of a node, which replaces an earlier one of the same node.

        :param connection: connection whose handshake is complete
        """
        node_id = NodeId(connection.peer_hello.process_id)
        previous = self._connections.get(node_id)
        self._connections[node_id] = connection
        if previous is not None:
            self._registry.unwatch(node_id)
            previous.close()
        self._send(connection, self._replica_list())
        for entry in self._state.machine.quarantined():
            self._send(
                connection,
                _to_notice(entry.service_name, entry.fingerprint, entry.remaining_ms),
            )

    def on_closed(self, connection: PeerConnection) -> None:
        """Remove a connection and its subscriptions.

        :param connection: closed connection
        """
        node_id = NodeId(connection.peer_hello.process_id)
        if self._connections.get(node_id) is connection:
            del self._connections[node_id]
            self._registry.unwatch(node_id)

    def on_message(self, connection: PeerConnection, message: Message) -> None:
        """Dispatch a message of a node.

        :param connection: connection that the message arrived on
        :param message: the message
        :raises ProtocolError: if nodes must not send messages of this type
        """
        handler = self._handlers.get(type(message))
        if handler is None:
            raise ProtocolError(
                f"unexpected {type(message).__name__}",
                step="receive from node",
                peer=connection.peer,
            )
        handler(connection, message)

    def on_table_version(self, version: int) -> None:
        """Notify all nodes of a new table version.

        :param version: version that has been applied
        """
        notice = TableNotice(version=version)
        for connection in list(self._connections.values()):
            self._send(connection, notice)

    def _replica_list(self) -> ReplicaList:
        return ReplicaList(addresses=sorted(self._replicas()))

    def _push_replicas(self) -> None:
        replicas = frozenset(self._replicas())
        if replicas == self._sent_replicas:
            return
        self._sent_replicas = replicas
        for connection in list(self._connections.values()):
            self._send(connection, self._replica_list())

    def on_quarantine(
        self, service: ServiceName, fingerprint: Fingerprint, remaining_ms: float
    ) -> None:
        """Notify all nodes of a quarantined fingerprint.

        :param service: service whose nodes refuse the request
        :param fingerprint: fingerprint of the request
        :param remaining_ms: time until the quarantine ends
        """
        notice = _to_notice(service, fingerprint, remaining_ms)
        for connection in list(self._connections.values()):
            self._send(connection, notice)

    def _on_table_get(self, connection: PeerConnection, message: TableGet) -> None:
        reply = TableReply(
            version=self._state.machine.table.version,
            table_json=self._table_encoder.encode(message.have_version),
            confirmed_ms=self._state.confirmed_age_ms(),
        )
        self._send(connection, reply)

    def _on_register(self, connection: PeerConnection, message: RegisterServer) -> None:
        if message.member is None:
            raise ProtocolError("no member", step="register", peer=connection.peer)
        self._push(self._registry.register(message))
        reply = RegisterReply(
            server_id=message.member.server_id,
            sequence=message.member.sequence,
            table_version=self._state.machine.table.version,
        )
        self._send(connection, reply)

    def _on_watch(self, connection: PeerConnection, message: WatchService) -> None:
        node_id = NodeId(connection.peer_hello.process_id)
        update = self._registry.watch(node_id, message)
        if self._is_warming_up():
            update.full = False
            self._warm_up_watches.append((node_id, message))
        self._send(connection, update)

    def _is_warming_up(self) -> bool:
        # After a restart or a stall the registry lacks members until they send a
        # heartbeat. A full list sent before that would make nodes drop live members.
        return self._clock.now_ms() < self._warm_up_end_ms

    def _send_full_lists(self) -> None:
        watches, self._warm_up_watches = self._warm_up_watches, []
        for node_id, message in watches:
            connection = self._connections.get(node_id)
            if connection is not None:
                self._send(connection, self._registry.watch(node_id, message))

    def _on_quarantine_report(
        self, connection: PeerConnection, message: QuarantineReport
    ) -> None:
        # The message carries the node's CrashReport; the replicas commit it as a
        # ReportCrash.
        def make_command(log_time_ms: int) -> Command:
            return ReportCrash(
                log_time_ms,
                ServiceName(message.service_name),
                Fingerprint(message.fingerprint),
                message.report_id,
            )

        async def report() -> None:
            try:
                result = await self._state.submit(make_command)
            except NotLeaderError:
                # Nodes send the report to every replica, so the leader receives it too.
                return
            except MarjoramstepError as error:
                self._log.write(
                    "crash report not recorded", step=error.step, peer=connection.peer
                )
                return
            if isinstance(result, CrashReportResult) and result.remaining_ms > 0:
                self.on_quarantine(
                    ServiceName(message.service_name),
                    Fingerprint(message.fingerprint),
                    result.remaining_ms,
                )

        self._start_task(report())

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _push(self, pushes: list[MemberPush]) -> None:
        for push in pushes:
            connection = self._connections.get(push.watcher)
            if connection is not None:
                self._send(connection, push.update)

    def _send(self, connection: PeerConnection, message: Message) -> None:
        if not connection.is_open:
            return
        try:
            connection.send(message)
        except MarjoramstepError as error:
            self._log.write("message not sent", step=error.step, peer=error.peer)


def _to_notice(
    service: ServiceName, fingerprint: Fingerprint, remaining_ms: float
) -> QuarantineNotice:
    return QuarantineNotice(
        service_name=service, fingerprint=fingerprint, remaining_ms=remaining_ms
    )
