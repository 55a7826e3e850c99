"""The role ``control`` of a process: a replica and its services."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from marjoramstep_consensus.data_folder import DataFolder
from marjoramstep_consensus.data_folder import make_replica_id
from marjoramstep_consensus.file_storage import LocalFileStorage
from marjoramstep_consensus.membership import Membership
from marjoramstep_consensus.voter_policy import count_target_voters
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.ids import ReplicaId
from marjoramstep_core.ids import ZoneName
from marjoramstep_core.states import ConnectionClass
from marjoramstep_core.states import Role
from marjoramstep_state import MembershipRegistry
from marjoramstep_wire.handshake import make_hello

from ..peer_listener import ConnectionPurpose
from .node_service import NodeService
from .replica import Replica
from .replica_links import ReplicaLinks
from .replica_set_reconciler import ReplicaSetReconciler


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock
    from marjoramstep_wire.connection import PeerConnection
    from marjoramstep_wire.messages import Hello
    from marjoramstep_wire.messages import Message

    from ..log import EventLog
    from ..peer_listener import PeerListener
    from ..settings import ControlSettings
    from ..settings import Settings
    from .operator_servers import OperatorServers


def _import_operator_servers() -> type[OperatorServers]:
    from .operator_servers import OperatorServers

    return OperatorServers


class _NodeControlSession:
    def __init__(self, service: NodeService, connection: PeerConnection) -> None:
        self._service = service
        self._connection = connection
        service.on_open(connection)

    def on_message(self, message: Message) -> None:
        self._service.on_message(self._connection, message)

    def on_closed(self, _: MarjoramstepError) -> None:
        self._service.on_closed(self._connection)


class _ReplicationSession:
    def __init__(self, replica: Replica, connection: PeerConnection) -> None:
        self._replica = replica
        self._sender = ReplicaId(connection.peer_hello.process_id)

    def on_message(self, message: Message) -> None:
        self._replica.receive(self._sender, message)

    def on_closed(self, error: MarjoramstepError) -> None:
        """Do nothing: the core detects a lost replica by missing messages."""


def initialize_data_folder(settings: Settings) -> ReplicaId:
    """Prepare the empty data folder of an initial replica of a new deployment.

    This is a separate step that is done once. A replica that starts on an empty folder
    without it, and without the setting ``starts_deployment``, takes a new identity and
    waits to be admitted, so that a replica whose disk was wiped never votes again under
    its old one.

    :param settings: settings with the role ``control``
    :return: the id of the replica
    :raises MarjoramstepError: if the folder is not empty or the settings do not list
        this process among ``initial_replicas``
    """
    control = _control_settings(settings)
    replica_id = ReplicaId(settings.process_id)
    voters = {
        ReplicaId(replica.replica_id): f"{replica.address[0]}:{replica.address[1]}"
        for replica in control.initial_replicas
    }
    if replica_id not in voters:
        raise InvalidInputError(
            f"control.initial_replicas does not list {replica_id}",
            step="initialize data folder",
        )
    folder = DataFolder(LocalFileStorage(control.data_folder), str(control.data_folder))
    try:
        folder.create(replica_id, Membership(voters))
    finally:
        folder.close()
    return replica_id


def _control_settings(settings: Settings) -> ControlSettings:
    if settings.control is None:
        raise InvalidInputError(
            "the settings do not have the role control", step="read settings"
        )
    return settings.control


def _initial_voter_id(address: tuple[str, int]) -> ReplicaId:
    return ReplicaId(f"seed-{address[0]}-{address[1]}")


class ControlProcess:
    """Runs the replica and the servers of the role ``control``.

    :param settings: checked settings
    :param clock: clock of the process
    :param log: event log
    :param listener: started listener for nodes and replicas
    :param peer_address: its bound address
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        log: EventLog,
        listener: PeerListener,
        peer_address: tuple[str, int],
    ) -> None:
        self._settings = settings
        self._control = _control_settings(settings)
        self._log = log
        path = self._control.data_folder
        self._folder = DataFolder(LocalFileStorage(path), str(path))
        if self._folder.is_empty:
            self._create_identity(peer_address)
        self._links = ReplicaLinks(
            peer_address,
            settings.control_addresses,
            settings.deployment_key,
            self.make_hello,
            log,
        )
        address = f"{peer_address[0]}:{peer_address[1]}"
        target_voters = count_target_voters(self._control.tolerated_losses)
        self.replica = Replica(
            self._folder,
            address,
            clock,
            random.Random(),
            self._links,
            log,
            target_voters=target_voters,
        )
        self._registry = MembershipRegistry(clock)
        self._service = NodeService(
            clock, self.replica, self._registry, log, self._replica_addresses
        )
        self._operator_servers: OperatorServers | None = None
        self.replica.observed.on_table_version = self._service.on_table_version
        self.replica.observed.on_quarantine = self._service.on_quarantine
        self._replica_set_reconciler = ReplicaSetReconciler(
            self.replica, target_voters, log
        )
        listener.accept_connections(
            ConnectionPurpose.NODE_CONTROL,
            lambda c: _NodeControlSession(self._service, c),
        )
        listener.accept_connections(
            ConnectionPurpose.REPLICATION,
            lambda c: _ReplicationSession(self.replica, c),
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def replica_id(self) -> ReplicaId:
        """Id of the replica, from the data folder."""
        return self._folder.replica_id

    def make_hello(self, connection_class: ConnectionClass) -> Hello:
        """Build the hello of this replica.

        :param connection_class: what the connection is for
        :return: the message
        """
        version = self.replica.machine.table.version if self._has_replica() else 0
        return make_hello(
            self._folder.replica_id,
            Role.CONTROL,
            ZoneName(self._settings.zone),
            version,
            connection_class,
        )

    async def start(self) -> dict[str, tuple[str, int]]:
        """Start the replica and bind the HTTP addresses.

        :return: bound address by name
        :raises OSError: if the address cannot be bound
        """
        self.replica.start()
        self._tasks = [
            asyncio.create_task(self.replica.run()),
            asyncio.create_task(self._service.run()),
        ]
        if self._control.manages_replicas:
            self._tasks.append(asyncio.create_task(self._replica_set_reconciler.run()))
        for task in self._tasks:
            task.add_done_callback(self._on_task_done)
        self._operator_servers = await self._load_operator_servers()
        return await self._operator_servers.start()

    async def _load_operator_servers(self) -> OperatorServers:
        # The HTTP library takes nearly half of the start time. It is imported in a
        # thread, so that nodes and other replicas are served meanwhile.
        servers_class = await asyncio.get_running_loop().run_in_executor(
            None, _import_operator_servers
        )
        return servers_class(
            self._settings, self._control, self.replica, self._registry, self._log
        )

    async def close(self) -> None:
        """Stop serving and release the data folder."""
        if self._operator_servers is not None:
            await self._operator_servers.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._links.close()
        await self.replica.close()

    def add_configured_addresses(self, addresses: tuple[tuple[str, int], ...]) -> None:
        """Add the addresses of replicas in changed settings.

        :param addresses: peer addresses
        """
        for host, port in addresses:
            self._links.add_address(f"{host}:{port}")

    def _create_identity(self, own_address: tuple[str, int]) -> None:
        """Prepare an empty data folder.

        At the first start of a deployment, the replicas in the settings become its
        voters, each under an id derived from its address. While ``starts_deployment``
        is true, an emptied folder gets the same identity and vote again, so it must
        only be true for the first start. Any other empty folder belongs to a new or
        repaired VM, whose replica waits to be admitted.
        """
        initial_addresses = self._settings.control_addresses
        if self._control.starts_deployment and own_address in initial_addresses:
            voters = {
                _initial_voter_id(initial): f"{initial[0]}:{initial[1]}"
                for initial in initial_addresses
            }
            self._folder.create(_initial_voter_id(own_address), Membership(voters))
        else:
            self._folder.create(make_replica_id(self._settings.process_id))

    def _replica_addresses(self) -> list[str]:
        # Learners do not vote and apply changes late, so nodes do not connect to them.
        return list(self.replica.core.membership.voters.values())

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.replica.fail(error)

    def _has_replica(self) -> bool:
        # The links are created before the replica and get make_hello.
        return hasattr(self, "replica")
