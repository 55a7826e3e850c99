"""All processes of one run of a deployment."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError

from .addresses import reserve_addresses
from .process import ManagedProcess
from .settings_files import ReplicaPlan
from .settings_files import SettingsWriter


if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..deployment import Deployment
    from ..deployment import ServiceDeployment

NODE_ADDRESSES = ("caller_address", "announce_address")
REPLICA_ADDRESSES = ("operator_address",)
SERVER_ADDRESSES = ("request_address", "control_address")
END_LIMIT_SECONDS = 10.0
NODE_PREFIX = "node-"


def default_daemon_command() -> list[str]:
    """Return the command of the daemon in the environment of this process.

    :return: path of ``marjoramstepd`` beside the running interpreter
    """
    return [str(Path(sys.executable).parent / "marjoramstepd")]


class Cluster:
    """Starts replicas, nodes and stand-in backend servers, and ends them.

    :param deployment: what to start
    :param folder: folder for settings, data and logs of this run
    :param daemon_command: command that takes a settings file
    :param disabled: decisions that are turned off in the nodes
    :param seed: seed of the stand-in backend servers
    """

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        daemon_command: Sequence[str],
        disabled: Sequence[str],
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._folder = folder
        self._daemon_command = list(daemon_command)
        self._disabled = disabled
        self._seed = seed
        addresses = reserve_addresses(deployment.replicas)
        self._replicas = [
            ReplicaPlan(f"replica-{index + 1}", address)
            for index, address in enumerate(addresses)
        ]
        self._settings = SettingsWriter(folder, self._replicas)
        self.processes: dict[str, ManagedProcess] = {}

    @property
    def token(self) -> str:
        """Token of the operator that the replicas accept."""
        return self._settings.token

    def operator_addresses(self) -> list[str]:
        """Return where the replicas take edits.

        :return: operator addresses as ``ip:port``
        """
        names = [replica.replica_id for replica in self._replicas]
        return [self.processes[name].addresses["operator_address"] for name in names]

    def entry_nodes(self) -> list[str]:
        """Return the names of all nodes; a caller may speak to any of them.

        :return: names in a fixed order
        """
        return [name for name in self.processes if name.startswith(NODE_PREFIX)]

    def address(self, name: str, kind: str) -> str:
        """Return an address of a process.

        :param name: name of the process
        :param kind: field of its ``listening`` log line
        :return: ``ip:port``
        :raises InvalidInputError: if there is no such process or address
        """
        process = self.processes.get(name)
        if process is None or kind not in process.addresses:
            raise InvalidInputError(f"no {kind}", step="look up address", peer=name)
        return process.addresses[kind]

    def run_logs(self) -> list[Path]:
        """Return the run logs that exist.

        :return: one file for each start of a stand-in backend server
        """
        return sorted(self._folder.glob("*.runs.jsonl"))

    async def start(self) -> None:
        """Start everything; each layer waits until the one below listens.

        :raises UnavailableError: if a process does not come up
        """
        zones = self._deployment.zones
        for index, replica in enumerate(self._replicas):
            path = self._settings.write_replica(replica, zones[index % len(zones)])
            await self._initialize(replica.replica_id, path)
            self._start_daemon(replica.replica_id, path)
        names = [replica.replica_id for replica in self._replicas]
        await self._wait(names, REPLICA_ADDRESSES)
        for service in self._deployment.services:
            for index, server in enumerate(service.server_names()):
                name = NODE_PREFIX + server
                zone = zones[index % len(zones)]
                path = self._settings.write_node(name, zone, self._disabled)
                self._start_daemon(name, path)
        await self._wait(self.entry_nodes(), NODE_ADDRESSES)
        servers: list[str] = []
        for service in self._deployment.services:
            profile = self._folder / f"{service.name}.profile.json"
            profile.write_text(json.dumps(service.profile), encoding="utf-8")
            for server in service.server_names():
                self._add(server).start(self._server_command(service, server))
                servers.append(server)
        await self._wait(servers, SERVER_ADDRESSES)

    async def restart(self, name: str) -> None:
        """Start a process again that has ended.

        :param name: name of the process
        :raises UnavailableError: if it runs or does not come up
        """
        process = self.processes[name]
        for service in self._deployment.services:
            if name in service.server_names():
                process.start(self._server_command(service, name))
                await process.wait_until_listening(SERVER_ADDRESSES)
                return
        # A node comes up at other ports, which its backend server does not know; it
        # therefore serves callers only.
        process.start()
        is_node = name.startswith(NODE_PREFIX)
        wanted = NODE_ADDRESSES if is_node else REPLICA_ADDRESSES
        await process.wait_until_listening(wanted)

    async def end(self) -> list[str]:
        """End all processes by id: servers first, replicas last.

        :return: names of the processes that had to be killed
        """
        killed: list[str] = []
        names = list(self.processes)
        replicas = [replica.replica_id for replica in self._replicas]
        nodes = self.entry_nodes()
        servers = [name for name in names if name not in {*replicas, *nodes}]
        for name in servers:
            self.processes[name].kill()
        for layer in (nodes, replicas):
            layer = [name for name in layer if name in self.processes]
            ends = [self.processes[name].end(END_LIMIT_SECONDS) for name in layer]
            results = await asyncio.gather(*ends)
            killed += [n for n, ok in zip(layer, results, strict=True) if not ok]
        return killed

    def kill(self) -> None:
        """End all processes with SIGKILL."""
        for process in self.processes.values():
            process.kill()

    def _add(self, name: str, command: Sequence[str] = ()) -> ManagedProcess:
        process = ManagedProcess(name, command, self._folder / f"{name}.log")
        self.processes[name] = process
        return process

    def _start_daemon(self, name: str, settings_path: Path) -> None:
        self._add(name, [*self._daemon_command, str(settings_path)]).start()

    async def _initialize(self, name: str, settings_path: Path) -> None:
        command = [*self._daemon_command, "--initialize", str(settings_path)]
        log_path = self._folder / f"{name}-initialize.log"
        process = ManagedProcess(f"{name} --initialize", command, log_path)
        try:
            process.start()
            await process.wait_until_ended()
        finally:
            process.kill()

    async def _wait(self, names: Sequence[str], addresses: Sequence[str]) -> None:
        for name in names:
            await self.processes[name].wait_until_listening(addresses)

    def _server_command(self, service: ServiceDeployment, server: str) -> list[str]:
        node = NODE_PREFIX + server
        starts = len(list(self._folder.glob(f"{server}.*.runs.jsonl"))) + 1
        run_log = self._folder / f"{server}.{starts}.runs.jsonl"
        run_log.touch()
        options = {
            "service": service.name,
            "name": server,
            "profile": str(self._folder / f"{service.name}.profile.json"),
            "run-log": str(run_log),
            "slots": str(service.slots),
            "connections": str(service.connections),
            "seed": str(self._seed + list(self.processes).index(server)),
            "announce": self.address(node, "announce_address"),
            "caller": self.address(node, "caller_address"),
        }
        command = [sys.executable, "-m", "marjoramstep_replay.backend_server"]
        for name, value in options.items():
            command += [f"--{name}", value]
        return command
