"""Steps for the platform's interfaces with separate processes."""

from __future__ import annotations

import asyncio
import json
import shutil
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web
from behave import given
from behave import then
from behave import when
from daemon_harness import run


LIMIT_SECONDS = 60.0
POLL_SECONDS = 0.1
HOST = "toll.example"
KEY = "a key for the processes of this test"
REPLICAS = ["replica-1", "replica-2", "replica-3", "replica-4"]


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class PlatformDeployment:
    """Processes with the settings that the deployment templates generate."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        ports = iter(_free_ports(40))
        self.ports = {
            name: {kind: next(ports) for kind in ("peer", "admin", "api", "metrics")}
            for name in REPLICAS
        }
        kinds = ("peer", "caller", "announce", "ready", "metrics", "server")
        self.node = {kind: next(ports) for kind in kinds}
        self.runner: web.AppRunner | None = None
        (folder / "key").write_text(KEY)

    def _common(self, name: str, role: str, peer_port: int) -> dict[str, Any]:
        seeds = [f"127.0.0.1:{self.ports[seed]['peer']}" for seed in REPLICAS[:3]]
        return {
            "role": [role],
            "adapter": "marjoramstep_platform",
            "process_id": name,
            "zone": "a",
            "peer_address": f"127.0.0.1:{peer_port}",
            "deployment_key_file": str(self.folder / "key"),
            "control_addresses": seeds,
        }

    def start_replica(self, name: str, *, first: bool) -> None:
        """Start a control replica."""
        ports = self.ports[name]
        settings = self._common(name, "control", ports["peer"])
        settings["control"] = {
            "data_folder": str(self.folder / name),
            "operator_address": f"127.0.0.1:{ports['admin']}",
            "adapter_address": f"127.0.0.1:{ports['api']}",
            "metrics_address": f"127.0.0.1:{ports['metrics']}",
            "starts_deployment": first,
            "manages_replicas": True,
        }
        (self.folder / name).mkdir(exist_ok=True)
        self._start(name, settings)

    def start_node(self) -> None:
        """Start the node."""
        settings = self._common("node-1", "node", self.node["peer"])
        settings["node"] = {
            f"{kind}_address": f"127.0.0.1:{self.node[kind]}"
            for kind in ("caller", "announce", "ready", "metrics")
        }
        settings["node"]["backend_service"] = "tariffs"
        self._start("node-1", settings)

    def _start(self, name: str, settings: dict[str, Any]) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = (self.folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", "marjoramstep_daemon", str(path)]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()

    def stop(self, name: str) -> None:
        """Kill a process of this deployment."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def close(self) -> None:
        """Kill all processes of this deployment."""
        for name in list(self.processes):
            self.stop(name)

    async def start_server(self) -> None:
        """Start the fake backend server."""

        async def answer(request: web.Request) -> web.Response:
            headers = {
                "Attempt-Id": request.headers["Attempt-Id"],
                "Server-Signature": "sig",
            }
            text = f"{request.headers['Caller-Service']} {request.path_qs}"
            return web.Response(text=text, headers=headers)

        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", answer)
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", self.node["server"]).start()

    async def announce(self, session: aiohttp.ClientSession) -> None:
        """Send a heartbeat of the fake backend server."""
        url = f"http://127.0.0.1:{self.node['announce']}/-/instances/i-1"
        body = {
            "address": f"127.0.0.1:{self.node['server']}",
            "born": 1,
            "info": {"service": "tariffs", "version": "v1", "zone": "a", "slots": 4},
            "status": {"state": "ready", "seq": 1, "warmup_left": "0ms"},
        }
        async with session.put(url, json=body) as response:
            assert response.status == 200, response.status


def _configuration(version: int, base: int) -> dict[str, Any]:
    route = {
        "host": HOST,
        "path_prefix": "/a/",
        "route_type": "safe",
        "timeout": "5000ms",
        "target_latency": "1500ms",
        "priority": 1,
        "max_attempts": 2,
        "service": "tariffs",
    }
    return {
        "version": f"{version:08x}",
        "base_version": f"{base:08x}",
        "resources": [
            {"resource_type": "routes", "metadata": {"name": "r-1"}, "spec": route},
            {"resource_type": "services", "metadata": {"name": "tariffs"}, "spec": {}},
        ],
    }


async def _eventually(condition: Any) -> Any:
    """Poll a condition until it returns a true value, and return that value."""
    async with asyncio.timeout(LIMIT_SECONDS):
        while True:
            try:
                found = await condition()
            except (aiohttp.ClientError, OSError):
                found = None
            if found:
                return found
            await asyncio.sleep(POLL_SECONDS)


async def _put(deployment: PlatformDeployment, name: str, document: Any) -> int:
    url = f"http://127.0.0.1:{deployment.ports[name]['api']}/-/config"
    # Redirects are not followed: they name the port of the replica that sends them,
    # since all VMs of the platform use the same ports. Here each replica has its own.
    async with (
        aiohttp.ClientSession() as session,
        session.put(url, json=document, allow_redirects=False) as response,
    ):
        return response.status


async def _put_anywhere(deployment: PlatformDeployment, document: Any) -> int:
    async def put() -> int:
        for name in REPLICAS:
            status = await _put(deployment, name, document)
            if status not in (307, 503):
                return status
        return 0

    status: int = await _eventually(put)
    return status


async def _status(deployment: PlatformDeployment, name: str) -> dict[str, Any]:
    url = f"http://127.0.0.1:{deployment.ports[name]['metrics']}/status"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        found: dict[str, Any] = await response.json()
        return found


async def _metric(deployment: PlatformDeployment, name: str, metric: str) -> float:
    url = f"http://127.0.0.1:{deployment.ports[name]['metrics']}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        lines = (await response.text()).splitlines()
    return float(next(x for x in lines if x.startswith(metric)).rpartition(" ")[2])


async def _have_voters(deployment: PlatformDeployment, count: int) -> bool:
    name = "marjoramstep_replica_voters"
    return all([await _metric(deployment, one, name) == count for one in REPLICAS])


async def _get(deployment: PlatformDeployment, host: str, path: str) -> tuple[int, str]:
    url = f"http://127.0.0.1:{deployment.node['caller']}{path}"
    headers = {"Host": host, "Attempt-Id": "a1", "Timeout-Ms": "5000"}
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers=headers) as response,
    ):
        return response.status, await response.text()


@given("three seeds, a further replica and a node with the platform's settings")
def step_processes(context: Any) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    context.platform_deployment = PlatformDeployment(folder)
    context.stack.callback(context.platform_deployment.close)
    for name in REPLICAS:
        context.platform_deployment.start_replica(name, first=True)
    context.platform_deployment.start_node()


@when("the operator puts a configuration with a route to the server of the node")
def step_put(context: Any) -> None:
    context.document = _configuration(5, 0)
    status = run(_put_anywhere(context.platform_deployment, context.document))
    assert status == 200, status


@then("the node becomes ready and a request on the route gets the server's answer")
def step_served(context: Any) -> None:
    deployment = context.platform_deployment

    async def scenario() -> None:
        await deployment.start_server()

        async def is_ready() -> bool:
            url = f"http://127.0.0.1:{deployment.node['ready']}/-/ready"
            async with aiohttp.ClientSession() as session:
                response = await session.get(url)
                response.release()
                if response.status != 200:
                    return False
                await deployment.announce(session)
                return True

        async def is_served() -> bool:
            status, text = await _get(deployment, HOST, "/a/x?q=1")
            return status == 200 and text == "tariffs /a/x?q=1"

        await _eventually(is_ready)
        await _eventually(is_served)
        await deployment.runner.cleanup()

    run(scenario())


@then("a request on an unknown host gets status {status:d}")
def step_unknown(context: Any, status: int) -> None:
    found, _ = run(_get(context.platform_deployment, "else.example", "/a/x"))
    assert found == status, found


@then(
    "the same configuration put again is acknowledged and another one on its base is "
    "not"
)
def step_put_again(context: Any) -> None:
    assert run(_put_anywhere(context.platform_deployment, context.document)) == 200
    other = _configuration(9, 0)
    assert run(_put_anywhere(context.platform_deployment, other)) == 412


@when("a seed loses its disk and starts again")
def step_wipe(context: Any) -> None:
    deployment = context.platform_deployment

    async def has_voters() -> bool:
        counts = [
            await _metric(deployment, n, "marjoramstep_replica_voters")
            for n in REPLICAS
        ]
        return counts == [4.0] * 4

    run(_eventually(has_voters))
    context.wiped_id = run(_status(deployment, "replica-2"))["replica_id"]
    deployment.stop("replica-2")
    shutil.rmtree(deployment.folder / "replica-2")
    deployment.start_replica("replica-2", first=False)


@then("it is a voter again with a new identity and the lost identity is removed")
def step_votes(context: Any) -> None:
    deployment = context.platform_deployment

    async def is_back() -> bool:
        status = await _status(deployment, "replica-2")
        assert status["replica_id"] != context.wiped_id, status
        counts = [
            await _metric(deployment, n, "marjoramstep_replica_voters")
            for n in REPLICAS
        ]
        return counts == [4.0] * 4 and status["table_version"] == 2

    run(_eventually(is_back))


@then("the leader returns the configuration as sent and the others redirect to it")
def step_read_back(context: Any) -> None:
    deployment = context.platform_deployment

    async def read(name: str) -> Any:
        url = f"http://127.0.0.1:{deployment.ports[name]['api']}/-/config"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, allow_redirects=False) as response,
        ):
            return response.status, await response.text()

    async def found() -> bool:
        answers = [await read(name) for name in REPLICAS]
        sources = [text for status, text in answers if status == 200]
        others = {status for status, _ in answers if status != 200}
        if len(sources) != 1 or others != {307}:
            return False
        assert json.loads(sources[0]) == context.document, sources
        return True

    run(_eventually(found))
