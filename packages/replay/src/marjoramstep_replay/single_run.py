"""One run: starts a deployment, replays a trace and collects what was observed."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from marjoramstep_core.clock import SystemClock
from marjoramstep_core.ids import ServiceName

from .backend_server.run_log import read_runs
from .launch import Cluster
from .launch.table_setup import TableSetup
from .load import FaultInjector
from .load import TraceSender
from .load.warm_up import WarmUp
from .outcomes import RunResult


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from pathlib import Path

    from .backend_server.run_log import Run
    from .deployment import Deployment
    from .outcomes import RequestResult
    from .trace import Trace


@dataclass(frozen=True)
class ObservedRun:
    """A run with what concerns the replay itself.

    :param result: what was observed
    :param send_lags_ms: how late each request was sent
    :param killed: processes that did not end gracefully
    :param started_seconds: start of the trace in seconds since the epoch
    """

    result: RunResult
    send_lags_ms: list[float]
    killed: list[str]
    started_seconds: float


class SingleRun:
    """Replays a trace once against a new deployment.

    :param deployment: what to start
    :param trace: the trace
    :param folder: empty folder for this run
    :param daemon_command: command that takes a settings file
    :param disabled: decisions that are turned off
    :param seed: seed of the stand-in backend servers
    :param report: called with lines about the progress
    """

    def __init__(
        self,
        deployment: Deployment,
        trace: Trace,
        folder: Path,
        daemon_command: Sequence[str],
        disabled: Sequence[str],
        seed: int,
        report: Callable[[str], None],
    ) -> None:
        self._deployment = deployment
        self._trace = trace
        self._report = report
        self._cluster = Cluster(deployment, folder, daemon_command, disabled, seed)
        self._clock = SystemClock()

    async def run(self) -> ObservedRun:
        """Start, replay, end.

        :return: what was observed
        :raises MarjoramstepError: if the deployment does not come up, or a fault of the
            trace could not be injected
        """
        timeout = aiohttp.ClientTimeout(total=None)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            try:
                await self._start(session)
                started_seconds = time.time()
                requests, lags_ms = await self._replay(session)
                killed = await self._cluster.end()
            finally:
                self._cluster.kill()
        result = RunResult(
            requests=tuple(requests),
            runs=tuple(self._read_runs()),
            cause_end_ms=self._trace.cause_end_ms,
            duration_ms=self._trace.duration_ms,
        )
        return ObservedRun(result, lags_ms, killed, started_seconds)

    def _read_runs(self) -> list[Run]:
        services = {
            server: ServiceName(service.name)
            for service in self._deployment.services
            for server in service.server_names()
        }
        matcher = self._deployment.matcher()
        runs = read_runs(self._cluster.run_logs())
        for run in runs:
            row = matcher.match(services[run.server], run.method, run.path)
            run.is_repeatable = row.repeatable
        return runs

    async def _start(self, session: aiohttp.ClientSession) -> None:
        cluster = self._cluster
        self._report("starting processes")
        await cluster.start()
        FaultInjector(session, self._clock, cluster, self._report).check(
            self._trace.faults
        )
        operations = self._deployment.operations()
        if operations:
            setup = TableSetup(session, cluster.operator_addresses(), cluster.token)
            version = await setup.apply(operations)
            self._report(f"table has version {version}")
        entries = {
            name: cluster.address(name, "caller_address")
            for name in cluster.entry_nodes()
        }
        services = [service.name for service in self._deployment.services]
        await WarmUp(session, self._clock).wait(entries, services)
        self._report(f"{len(cluster.processes)} processes are ready")

    async def _replay(
        self, session: aiohttp.ClientSession
    ) -> tuple[list[RequestResult], list[float]]:
        cluster = self._cluster
        addresses = [
            cluster.address(name, "caller_address") for name in cluster.entry_nodes()
        ]
        sender = TraceSender(
            session, self._clock, self._deployment.matcher(), addresses
        )
        injector = FaultInjector(session, self._clock, cluster, self._report)
        total = len(self._trace.requests)
        async with asyncio.TaskGroup() as group:
            group.create_task(injector.inject_all(self._trace.faults))
            sending = group.create_task(
                sender.send_all(
                    self._trace.requests,
                    lambda sent: self._report(f"sent {sent} of {total} requests"),
                )
            )
        return sending.result(), sender.send_lags_ms
