"""Runs a small deployment on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import aiohttp
from marjoramstep_command.client import ControlClient
from marjoramstep_command.edits import read_assignments
from marjoramstep_command.edits import report_verdict
from marjoramstep_command.edits import submit_edit
from marjoramstep_command.errors import ExitStatus
from marjoramstep_command.session import DEFAULT_TIMEOUT_MS
from marjoramstep_command.session import read_token
from marjoramstep_core.clock import SystemClock
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import RowName
from marjoramstep_core.table import EditOperation
from marjoramstep_core.table.edit import OperationKind

from ..launch import Cluster
from ..launch.cluster import default_daemon_command
from ..launch.table_setup import TableSetup
from ..load.warm_up import WarmUp
from .guide import addresses_text
from .guide import commands_text
from .guide import write_environment
from .node_client import NodeClient
from .scenario import EDITED_CELL
from .scenario import UPLOAD_ROW
from .scenario import demo_deployment


STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INTERRUPTED = 130
SEED = 1


@dataclass(frozen=True)
class DemoOptions:
    """Options of the demo.

    :param folder: each run makes a new folder for its files in it
    :param once: check one request and one edit, then stop
    :param limit_seconds: longest time to serve, None for no limit
    """

    folder: Path
    once: bool
    limit_seconds: float | None


class Demo:
    """Starts replicas, nodes and stand-in backend servers, and ends them.

    :param options: options of the demo
    :raises InvalidInputError: if the limit is not above 0 or the folder cannot be made
    """

    def __init__(self, options: DemoOptions) -> None:
        limit_seconds = options.limit_seconds
        if limit_seconds is not None and not 0.0 < limit_seconds < float("inf"):
            raise InvalidInputError(
                f"--limit-seconds must be above 0, found {limit_seconds}",
                step="read arguments",
            )
        self._options = options
        self._deployment = demo_deployment()
        try:
            options.folder.mkdir(parents=True, exist_ok=True)
            self._folder = options.folder.resolve()
            run_folder = Path(tempfile.mkdtemp(prefix="run-", dir=self._folder))
        except OSError as error:
            raise InvalidInputError(
                f"cannot make the folder: {error}",
                step="make folder",
                peer=str(options.folder),
            ) from error
        self._token_file = run_folder / "operator.token"
        self._cluster = Cluster(
            self._deployment, run_folder, default_daemon_command(), [], SEED
        )
        self._token_file.touch(mode=0o600)
        self._token_file.write_text(f"{self._cluster.token}\n", encoding="ascii")

    async def run(self) -> int:
        """Start, serve and end all processes by id.

        :return: exit status; 130 if a signal came before the deployment served
        :raises MarjoramstepError: if a process does not come up or does not answer
        """
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, stop.set)
        work = asyncio.create_task(self._start_and_check())
        stopped = asyncio.create_task(stop.wait())
        try:
            await asyncio.wait({work, stopped}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return EXIT_INTERRUPTED
            status = work.result()
            if not self._options.once and status == EXIT_OK:
                await self._serve(stop)
            return status
        finally:
            work.cancel()
            stopped.cancel()
            await asyncio.gather(work, stopped, return_exceptions=True)
            await self._end()

    async def _end(self) -> None:
        _write("ending all processes")
        try:
            killed = await self._cluster.end()
        finally:
            self._cluster.kill()
        if killed:
            _write(f"did not end gracefully: {', '.join(killed)}")

    async def _serve(self, stop: asyncio.Event) -> None:
        limit_seconds = self._options.limit_seconds
        limit = "" if limit_seconds is None else f" for {limit_seconds:g} s"
        _write(f"\nServing{limit}; stop with Ctrl-C.")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stop.wait(), limit_seconds)

    async def _start_and_check(self) -> int:
        cluster = self._cluster
        _write("starting control replicas, nodes and stand-in backend servers")
        await cluster.start()
        async with aiohttp.ClientSession() as session:
            client = NodeClient(session)
            await self._prepare(session, client)
            environment = write_environment(self._folder, cluster, self._token_file)
            _write(f"\nProcesses:\n{addresses_text(cluster)}\n")
            once = "after a start without --once" if self._options.once else "now"
            _write(f"Type in another terminal, {once}:\n{commands_text(environment)}")
            address = cluster.address(cluster.entry_nodes()[0], "caller_address")
            result = await client.upload(address)
            _write(f"\nOne request: {result}")
            if not result.is_served:
                return EXIT_FAILED
            return await self._check_edit(client) if self._options.once else EXIT_OK

    async def _prepare(
        self, session: aiohttp.ClientSession, client: NodeClient
    ) -> None:
        cluster = self._cluster
        setup = TableSetup(session, cluster.operator_addresses(), cluster.token)
        version = await setup.apply(self._deployment.operations())
        await client.wait_for_version(self._addresses("metrics_address"), version)
        services = [service.name for service in self._deployment.services]
        warm_up = WarmUp(session, SystemClock())
        await warm_up.wait(self._addresses("caller_address"), services)

    async def _check_edit(self, client: NodeClient) -> int:
        version = await self._edit()
        if version is None:
            return EXIT_FAILED
        metrics = self._addresses("metrics_address")
        waited_ms = await client.wait_for_version(metrics, version)
        _write(f"version {version} is at all nodes {waited_ms:.0f} ms after the edit")
        status = EXIT_OK
        for name, address in self._addresses("caller_address").items():
            result = await client.upload(address)
            _write(f"The same request at {name}: {result}")
            if not result.is_refused_by_size:
                status = EXIT_FAILED
        return status

    async def _edit(self) -> int | None:
        """Edit the table as ``marjoramstep table set`` does.

        :return: the new version, None if the edit was not accepted
        """
        _write(f"\nmarjoramstep table set {UPLOAD_ROW} {EDITED_CELL}")
        cells = read_assignments([EDITED_CELL])
        operation = EditOperation(OperationKind.SET_CELL, RowName(UPLOAD_ROW), cells)
        addresses = self._cluster.operator_addresses()
        token = read_token(str(self._token_file))
        async with ControlClient(addresses, token, DEFAULT_TIMEOUT_MS) as control:
            document = await submit_edit(
                control, [operation], edit_key=None, base_version=None
            )
        if report_verdict(document, as_json=False) != ExitStatus.OK:
            return None
        return int(document["version"])

    def _addresses(self, kind: str) -> dict[str, str]:
        names = self._cluster.entry_nodes()
        return {name: self._cluster.address(name, kind) for name in names}


def _write(text: str) -> None:
    sys.stdout.write(f"{text}\n")
    sys.stdout.flush()
