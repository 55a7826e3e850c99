"""Control replicas and bare nodes in processes of their own."""

from __future__ import annotations

import asyncio
import hashlib
import json
import secrets
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
from marjoramstep_core.errors import UnavailableError
from marjoramstep_daemon.control.control_process import initialize_data_folder
from marjoramstep_daemon.settings import read_settings

from ..launch.addresses import ANY_PORT
from ..launch.addresses import reserve_addresses
from .daemon_process import DaemonProcess


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

LIMIT_SECONDS = 30.0
POLL_SECONDS = 0.05
REQUEST_TIMEOUT_SECONDS = 10.0
SHUTDOWN_LIMIT_MS = 5_000
OPERATORS = ("ana", "luis")
NODES = "nodes"
DAEMON = Path(sys.executable).parent / "marjoramstepd"

Answer = tuple[int, dict[str, Any]]


class ControlCluster:
    """Starts replicas and nodes without backend servers, and ends them by id.

    :param folder: folder for settings, data and logs
    :param count: number of replicas
    :param routes: address to use instead of a replica's own, by source and replica;
        the source is a replica's name or ``nodes``
    :param command: start of the command line of a replica
    """

    def __init__(
        self,
        folder: Path,
        count: int = 3,
        routes: Mapping[tuple[str, str], str] | None = None,
        command: Sequence[str] = (str(DAEMON),),
    ) -> None:
        self.folder = folder
        self._command = list(command)
        self.names = [f"replica-{number + 1}" for number in range(count)]
        self.peer_addresses = dict(
            zip(self.names, reserve_addresses(count), strict=True)
        )
        self.routes = dict(routes or {})
        self.tokens = {name: secrets.token_hex(16) for name in OPERATORS}
        self.processes: dict[str, DaemonProcess] = {}
        self._key_path = folder / "deployment.key"
        self._key_path.write_text(secrets.token_hex(32), encoding="utf-8")
        self._session: aiohttp.ClientSession | None = None

    @property
    def key(self) -> bytes:
        """Key of the deployment."""
        return self._key_path.read_bytes().strip()

    def data_folder(self, name: str) -> Path:
        """Return the data folder of a replica.

        :param name: name of the replica
        :return: its path
        """
        return self.folder / f"{name}-data"

    def address_for(self, source: str, replica: str) -> str:
        """Return the address at which a source reaches a replica.

        :param source: name of a replica, or ``nodes``
        :param replica: name of the replica to reach
        :return: ``ip:port``
        """
        return self.routes.get((source, replica), self.peer_addresses[replica])

    async def start(self) -> None:
        """Initialize and start all replicas, and wait for a leader.

        :raises MarjoramstepError: if one does not come up
        """
        for name in self.names:
            path = Path(self.write_replica(name))
            initialize_data_folder(read_settings(path))
        for name in self.names:
            self.add(name).start()
        for name in self.names:
            await self.processes[name].wait_until_listening(("operator",))
        await self.wait_for_leader()

    def write_replica(
        self, name: str, control: Mapping[str, Any] | None = None, **fields: Any
    ) -> str:
        """Write the settings of a replica.

        :param name: name of the replica
        :param control: fields of the section ``control`` that differ
        :param fields: other fields that differ
        :return: path of the settings file
        """
        operators = [
            {"name": operator, "token_sha256": hashlib.sha256(t.encode()).hexdigest()}
            for operator, t in self.tokens.items()
        ]
        section = {
            "data_folder": str(self.data_folder(name)),
            "operator_address": ANY_PORT,
            "operators": operators,
            "initial_replicas": [
                {"replica_id": other, "address": self.address_for(name, other)}
                for other in self.names
            ],
        }
        document = {
            "role": ["control"],
            "zone": "a",
            "peer_address": self.peer_addresses[name],
            "control_addresses": [
                self.address_for(name, other) for other in self.names if other != name
            ],
            "control": {**section, **(control or {})},
        }
        return self._write(name, {**document, **fields})

    def write_node(self, name: str, **fields: Any) -> str:
        """Write the settings of a node.

        :param name: name of the node
        :param fields: fields that differ
        :return: path of the settings file
        """
        node = {
            "caller_address": ANY_PORT,
            "announce_address": ANY_PORT,
            "metrics_address": ANY_PORT,
        }
        document = {
            "role": ["node"],
            "zone": "a",
            "peer_address": ANY_PORT,
            "control_addresses": [self.address_for(NODES, n) for n in self.names],
            "node": node,
        }
        return self._write(name, {**document, **fields})

    def add(self, name: str, command: Sequence[str] = ()) -> DaemonProcess:
        """Add a process whose settings were written; it is not started yet.

        :param name: name of the process
        :param command: start of its command line, if not the one of the cluster
        :return: the process
        """
        settings = str(self.folder / f"{name}.json")
        command = [*(command or self._command), settings]
        process = DaemonProcess(name, command, self.folder / f"{name}.log")
        self.processes[name] = process
        return process

    async def start_node(self, name: str) -> DaemonProcess:
        """Start a node and wait until it listens.

        :param name: name of the node
        :return: its process
        """
        self.write_node(name)
        process = self.add(name, (str(DAEMON),))
        process.start()
        await process.wait_until_listening(("caller", "announce", "metrics"))
        return process

    async def restart(self, name: str) -> None:
        """Start a replica that has ended.

        :param name: name of the replica
        """
        self.processes[name].start()
        await self.processes[name].wait_until_listening(("operator",))

    async def run_once(self, command: Sequence[str]) -> tuple[int, str]:
        """Run a command to its end.

        :param command: the command line
        :return: exit status and what it wrote
        """
        process = await asyncio.create_subprocess_exec(
            *command,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            async with asyncio.timeout(2 * LIMIT_SECONDS):
                output, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        return process.returncode or 0, output.decode("utf-8", "replace")

    async def request(
        self,
        replica: str,
        method: str,
        path: str,
        document: Any = None,
        operator: str = OPERATORS[0],
        address: str = "",
    ) -> Answer:
        """Send one request of an operator.

        :param replica: name of the replica
        :param method: HTTP method
        :param path: path with its query
        :param document: JSON body
        :param operator: whose token is sent; an unknown name is sent as the token
        :param address: address to use instead of the replica's own
        :return: status, 0 if there was no answer, and the decoded body
        """
        if self._session is None:
            self._session = aiohttp.ClientSession()
        if not address:
            address = self.processes[replica].addresses.get("operator", "")
        if not address:
            return 0, {"error": "the process does not listen yet"}
        token = self.tokens.get(operator, operator)
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                json=document,
                headers=headers,
                timeout=timeout,
            ) as answer:
                found = await answer.json(content_type=None)
                return answer.status, found if isinstance(found, dict) else {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return 0, {"error": repr(error)}

    async def ask(
        self,
        method: str,
        path: str,
        document: Any = None,
        operator: str = OPERATORS[0],
        limit_seconds: float = LIMIT_SECONDS,
    ) -> Answer:
        """Send a request to one replica after the other until one answers it.

        :param method: HTTP method
        :param path: path with its query
        :param document: JSON body, the same each time
        :param operator: whose token is sent
        :param limit_seconds: longest time for all attempts
        :return: status and decoded body
        :raises UnavailableError: if none answers in time
        """
        until_seconds = time.monotonic() + limit_seconds
        last: Answer = (0, {})
        while time.monotonic() < until_seconds:
            for name in self.names:
                if not self.processes[name].is_running:
                    continue
                last = await self.request(name, method, path, document, operator)
                if last[0] not in (0, 421, 503):
                    return last
            await asyncio.sleep(POLL_SECONDS)
        raise UnavailableError(f"last answer: {last}", step=f"{method} {path}")

    async def edit(
        self,
        edit_key: str,
        base_version: int,
        operations: Sequence[Mapping[str, Any]],
        operator: str = OPERATORS[0],
    ) -> Answer:
        """Send an edit until its verdict is known.

        :param edit_key: key of the edit
        :param base_version: version that it is based on
        :param operations: its operations
        :param operator: who edits
        :return: status and verdict
        """
        document = make_edit(edit_key, base_version, operations)
        return await self.ask("POST", "/v1/edits", document, operator)

    async def leader(self) -> str:
        """Return the name of the replica that leads now, or an empty text."""
        for name in self.names:
            if not self.processes[name].is_running:
                continue
            status, document = await self.request(name, "GET", "/v1/status")
            if status == 200 and document["leads"]:
                return name
        return ""

    async def wait_for_leader(self, other_than: str = "") -> str:
        """Wait until a replica leads.

        :param other_than: name of a replica that does not count
        :return: name of the leader
        :raises UnavailableError: if there is none in time
        """
        until_seconds = time.monotonic() + LIMIT_SECONDS
        while time.monotonic() < until_seconds:
            name = await self.leader()
            if name and name != other_than:
                return name
            await asyncio.sleep(POLL_SECONDS)
        raise UnavailableError("no replica leads", step="wait for leader")

    async def node_version(self, name: str) -> int:
        """Return the version of the table in force at a node.

        :param name: name of the node
        :return: the version, 0 if there is none
        """
        address = self.processes[name].addresses["metrics"]
        _, status = await self.request("", "GET", "/status", address=address)
        return int(status.get("table_version", 0))

    async def close(self) -> None:
        """End all processes by id."""
        for process in self.processes.values():
            process.kill()
        if self._session is not None:
            await self._session.close()

    def _write(self, process_id: str, fields: Mapping[str, Any]) -> str:
        document = {
            "process_id": process_id,
            "deployment_key_file": str(self._key_path),
            "log_file": "-",
            "shutdown_limit_ms": SHUTDOWN_LIMIT_MS,
            **fields,
        }
        path = self.folder / f"{process_id}.json"
        path.write_text(json.dumps(document, indent=1), encoding="utf-8")
        return str(path)


def make_edit(
    edit_key: str, base_version: int, operations: Sequence[Mapping[str, Any]]
) -> dict[str, Any]:
    """Build the body of an edit.

    :param edit_key: key of the edit
    :param base_version: version that it is based on
    :param operations: its operations
    :return: JSON values
    """
    return {
        "edit_key": edit_key,
        "base_version": base_version,
        "operations": list(operations),
    }


def set_cell(value: int, row: str = "default") -> dict[str, Any]:
    """Build an operation that sets the cell ``deadline_ms``.

    :param value: deadline in milliseconds
    :param row: name of the row
    :return: JSON values
    """
    return {"kind": "set", "row": row, "cells": {"deadline_ms": value}}
