"""Deployments of replicas, nodes and fake backend servers, each its own process."""

from __future__ import annotations

import asyncio
import json
import secrets
import signal
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
from marjoramstep_core.clock import SystemClock
from marjoramstep_replay.backend_server.run_log import Run
from marjoramstep_replay.backend_server.run_log import read_runs
from marjoramstep_replay.deployment import Deployment
from marjoramstep_replay.launch import Cluster
from marjoramstep_replay.launch.cluster import default_daemon_command
from marjoramstep_replay.launch.table_setup import TableSetup
from marjoramstep_replay.load.warm_up import WarmUp


if TYPE_CHECKING:
    from collections.abc import Callable

LIMIT_SECONDS = 25.0
# About thirty processes start; on a busy machine each waits for processor time.
START_LIMIT_SECONDS = 180.0
POLL_SECONDS = 0.02
DEPLOYMENTS: dict[str, TestDeployment] = {}


@dataclass
class Reply:
    """Reply to a caller; ``status`` 0 means that the connection failed."""

    status: int
    outcome: str
    reason: str
    body: bytes
    headers: dict[str, str]


def service_spec(name: str, servers: int, paths: dict[str, Any], **fields: Any) -> Any:
    """Describe a service; each path has a distribution, a mean and further fields."""
    entries = [
        {"prefix": prefix, "service_time": {"kind": kind, "mean_ms": mean_ms}, **more}
        for prefix, (kind, mean_ms, more) in paths.items()
    ]
    slots = fields.pop("slots", 64)
    profile = {"paths": entries, **fields}
    sizes = {"servers": servers, "slots": slots, "connections": 400}
    return {"name": name, **sizes, "profile": profile}


def new_key(age_ms: int = 0) -> str:
    """Create a request key that was issued ``age_ms`` ago."""
    return f"{int(time.time() * 1000) - age_ms}-{secrets.token_hex(8)}"


class TestDeployment:
    """A deployment of processes that the scenarios of a feature share."""

    def __init__(self, document: dict[str, Any], disabled: list[str]) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.spec = Deployment.from_json(document)
        self.cluster = Cluster(
            self.spec, self.folder, default_daemon_command(), disabled, 1
        )
        self.runner = asyncio.Runner()
        self.session: aiohttp.ClientSession
        self.is_started = False

    def run(self, coroutine: Any, limit_seconds: float = LIMIT_SECONDS) -> Any:
        """Run a coroutine on the event loop of the deployment."""
        return self.runner.run(asyncio.wait_for(coroutine, limit_seconds))

    def start(self) -> None:
        """Start all processes and wait until every node can reach every service."""
        self.run(self._start(), START_LIMIT_SECONDS)

    async def _start(self) -> None:
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=LIMIT_SECONDS),
        )
        await self.cluster.start()
        setup = TableSetup(
            self.session, self.cluster.operator_addresses(), self.cluster.token
        )
        await setup.apply(self.spec.operations())
        names = [entry.name for entry in self.spec.services]
        entries = {name: self.address(name) for name in self.cluster.entry_nodes()}
        await WarmUp(self.session, SystemClock()).wait(entries, names)

    def close(self) -> None:
        """Kill all processes."""
        try:
            self.run(self.session.close())
        finally:
            for process in self.cluster.processes.values():
                process.send_signal(signal.SIGCONT)
            self.cluster.kill()
            self.runner.close()
            self._folder.cleanup()

    def address(self, node: str, kind: str = "caller_address") -> str:
        """Return an address of a node."""
        return self.cluster.address(node, kind)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the deployment."""
        process = self.cluster.processes[name]
        assert process.is_running, f"{name} is not running"
        process.send_signal(number)

    async def call(
        self, node: str, service_name: str, path: str, **fields: Any
    ) -> Reply:
        """Make a call and read its whole answer."""
        headers = {"Marjoramstep-Service": service_name, **fields.get("headers", {})}
        if fields.get("key"):
            headers["Marjoramstep-Key"] = fields["key"]
        if fields.get("deadline_ms"):
            headers["Marjoramstep-Deadline-Ms"] = str(int(fields["deadline_ms"]))
        data = fields.get("data")
        method = fields.get("method", "GET" if data is None else "POST")
        url = f"http://{self.address(node)}{path}"
        try:
            async with self.session.request(
                method, url, headers=headers, data=data
            ) as answer:
                body = await answer.read()
        except (aiohttp.ClientError, OSError) as error:
            return Reply(0, "", repr(error), b"", {})
        found = dict(answer.headers)
        return Reply(
            answer.status,
            found.get("Marjoramstep-Outcome", ""),
            found.get("Marjoramstep-Reason", ""),
            body,
            found,
        )

    def runs(self, key: str = "") -> list[Run]:
        """Return the runs of a root request, or all runs if ``key`` is empty."""
        found = read_runs(self.cluster.run_logs())
        return [run for run in found if not key or run.root_key == key]

    async def wait_until(self, condition: Callable[[], Any], what: str) -> Any:
        """Wait until a condition is true and return its value."""
        limit = time.monotonic() + LIMIT_SECONDS / 2
        while not (found := condition()):
            assert time.monotonic() < limit, f"timed out waiting for {what}"
            await asyncio.sleep(POLL_SECONDS)
        return found

    async def server_of(self, key: str) -> str:
        """Return the backend server at which the request with this key started."""
        runs = await self.wait_until(lambda: self.runs(key), f"the start of {key}")
        return str(runs[0].server)

    async def get_text(self, address: str, path: str) -> str:
        """Return the body of an HTTP response as text."""
        async with self.session.get(f"http://{address}{path}") as answer:
            return await answer.text()

    async def metric_sum(self, node: str, *parts: str) -> float:
        """Return the sum of the metric lines that contain all parts."""
        text = await self.get_text(self.address(node, "metrics_address"), "/metrics")
        lines = [line for line in text.splitlines() if all(p in line for p in parts)]
        return sum(float(line.split()[-1]) for line in lines)

    def log_lines(self, name: str, message_type: str) -> list[dict[str, Any]]:
        """Return the log lines of a process with this message type."""
        lines = (self.folder / f"{name}.log").read_text("utf-8").splitlines()
        found = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in found if line.get("message_type") == message_type]


def shared_deployment(
    context: Any, name: str, make: Callable[[], dict[str, Any]], disabled: list[str]
) -> TestDeployment:
    """Return the deployment of a feature, started on first use and closed after it."""
    if name not in DEPLOYMENTS:
        deployment = TestDeployment(make(), disabled)
        DEPLOYMENTS[name] = deployment

        def end() -> None:
            DEPLOYMENTS.pop(name).close()

        context.add_cleanup(end, layer="feature")
        deployment.start()
        deployment.is_started = True
    assert DEPLOYMENTS[name].is_started, "the deployment did not start"
    return DEPLOYMENTS[name]
