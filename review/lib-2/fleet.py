"""Starts a small deployment of the project's programs on loopback addresses.

The settings are filled in from the templates of the deploy file, as the platform does.
Every process gets its own loopback address; the ports are the same on all of them. The
addresses are chosen by the process id of the test, so that two tests can run at once.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from collections.abc import Coroutine
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
GRACE_SECONDS = 6.0
DRAIN_SECONDS = 2.0
CONFIG_SECONDS = 2.0
CONTACT_SECONDS = 3.0
PORTS = {"inbound": 8300, "app": 8301, "ready": 8302, "outbound": 8304, "control": 8306}
INTERNAL_PORTS = (7620, 7635)

_PLACE = re.compile(r"\{\{([#^/]?)\s*([^}|]+?)\s*(\|json)?\}\}")


def render(text: str, fields: dict) -> str:
    """Fill in a template of the deploy file (the parts that the templates use)."""

    def section(match: re.Match) -> str:
        name, inner = match.group(1), match.group(2)
        values = look_up(name)
        parts = []
        for position, value in enumerate(values):
            part = inner.replace("{{.|json}}", json.dumps(value))
            part = part.replace("{{,}}", "," if position + 1 < len(values) else "")
            parts.append(part)
        return "".join(parts)

    def look_up(name: str):
        value = fields
        for step in name.split("."):
            value = (
                value[int(step)]
                if isinstance(value, (list, tuple))
                else value.get(step)
            )
            if value is None:
                return None
        return value

    def place(match: re.Match) -> str:
        value = look_up(match.group(2))
        if match.group(3):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return _PLACE.sub(place, text)


class Process:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, fleet: Fleet, role: str, name: str, fields: dict) -> None:
        self.fleet, self.role, self.name, self.fields = fleet, role, name, fields
        self.ip = fields["ip"]
        self.process: asyncio.subprocess.Process | None = None
        self.settings_path = fleet.folder / f"{name}.conf"
        self.log_path = fleet.folder / f"{name}.log"

    async def start(self) -> None:
        """Write the settings and start the process."""
        deploy = self.fleet.deploy["roles"][self.role]
        template = (ROOT / deploy["template"]).read_text()
        self.settings_path.write_text(render(template, self.fields))
        words = deploy["run"].split()
        words[words.index("/etc/marjoramstep/node.conf")] = str(self.settings_path)
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", ""),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            **deploy.get("env", {}),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send_signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self, number: int = signal.SIGKILL) -> None:
        """Send a signal and wait for the end."""
        self.send_signal(number)
        if self.process is not None:
            await self.process.wait()


class Fleet:
    """Control replicas, nodes and the platform's view of them.

    :param services: service of each node
    :param cores: number of control replicas
    """

    def __init__(self, services: list[str], cores: int = 3) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        block = 16 + os.getpid() % 200
        self.started = time.monotonic()
        core_ips = [f"127.{block}.1.{i + 1}" for i in range(cores)]
        self.seeds = [f"{ip}:{PORTS['control']}" for ip in core_ips[:3]]
        self.cores = [
            Process(self, "control", f"core-{i + 1}", self._core_fields(i, ip))
            for i, ip in enumerate(core_ips)
        ]
        self.nodes = [
            Process(
                self,
                "node",
                f"sidecar-{i + 1}",
                self._node_fields(i, f"127.{block}.2.{i + 1}", service),
            )
            for i, service in enumerate(services)
        ]
        self.record: list[str] = []

    def _fields(self, name: str, ip: str) -> dict:
        return {
            "node_id": name,
            "ip": ip,
            "zone": "zone-a",
            "seeds": self.seeds,
            "internal_ports": INTERNAL_PORTS,
            "bounds": {"grace": f"{GRACE_SECONDS:g}s"},
            "listen": {
                key: f"{ip}:{PORTS[key]}"
                for key in ("inbound", "outbound", "ready", "control")
            },
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
        }

    def _core_fields(self, number: int, ip: str) -> dict:
        name = f"core-{number + 1}"
        folder = self.folder / name
        folder.mkdir()
        return {**self._fields(name, ip), "data_dir": str(folder), "bootstrap": True}

    def _node_fields(self, number: int, ip: str, service: str) -> dict:
        name = f"sidecar-{number + 1}"
        return {**self._fields(name, ip), "service": service}

    def note(self, text: str) -> None:
        """Add a line to the record, with the time since the start of the test."""
        line = f"{time.monotonic() - self.started:8.3f}  {text}"
        self.record.append(line)

    async def start(self) -> None:
        for process in [*self.cores, *self.nodes]:
            await process.start()

    async def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for process in [*self.cores, *self.nodes]:
            process.send_signal(signal.SIGCONT)
            await process.stop()
        if os.environ.get("KEEP"):
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def put_config(self, config: dict, limit_seconds: float = 15.0) -> int:
        """Send a configuration as the operator does, until it is accepted or refused."""
        body = json.dumps(config).encode()
        until = time.monotonic() + limit_seconds
        turn = 0
        while time.monotonic() < until:
            address = self.seeds[turn % len(self.seeds)]
            turn += 1
            for _ in range(3):
                status, headers, _ = await http(
                    address,
                    "PUT",
                    "/-/config",
                    {"Content-Type": "application/json"},
                    body,
                    1.0,
                )
                if status != 307:
                    break
                address = headers["location"].removeprefix("http://").partition("/")[0]
            if status in (200, 400, 409, 412, 413, 422):
                return status
            await asyncio.sleep(0.2)
        return 0

    async def wait_ready(self, limit_seconds: float = 15.0) -> bool:
        """Wait until every node answers the platform's readiness question with 200."""
        until = time.monotonic() + limit_seconds
        for node in self.nodes:
            while True:
                status, _, _ = await http(
                    node.fields["listen"]["ready"], "GET", "/-/ready", {}, b"", 1.0
                )
                if status == 200:
                    break
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.1)
        return True


def run_case(main: Callable[[], Coroutine[None, None, int]]) -> int:
    """Run a test; an error or SIGTERM ends its processes and gives the exit code 2."""

    async def guarded() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await main()

    try:
        return asyncio.run(guarded())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return 2


async def http(
    address: str, method: str, path: str, headers: dict, body: bytes, limit: float
) -> tuple[int, dict, bytes]:
    """Send one request on a new connection; status 0 if there is no whole answer."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                head = f"{method} {path} HTTP/1.1\r\n"
                head += "".join(
                    f"{k}: {v}\r\n" for k, v in {"Host": address, **headers}.items()
                )
                if body or method in ("PUT", "POST"):
                    head += f"Content-Length: {len(body)}\r\n"
                writer.write(head.encode() + b"\r\n" + body)
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b""


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict, bytes]:
    """Read one answer in full."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return status, headers, body
    return (
        status,
        headers,
        await reader.readexactly(int(headers.get("content-length", 0))),
    )


def configuration(
    version: int, base: int, routes: list[dict], services: list[str]
) -> dict:
    """Build a configuration as the users' page on the protocol shows it."""
    resources = [
        {
            "resource_type": "routes",
            "metadata": {"name": route["name"]},
            "spec": {
                "host": route.get("host", "fleet.example"),
                "path_prefix": route["prefix"],
                "route_type": route["type"],
                "timeout": route.get("timeout", "10000ms"),
                "target_latency": route.get("target", "2000ms"),
                "priority": route.get("priority", 0),
                "service": route["service"],
                "max_attempts": route.get("attempts", 2),
            },
        }
        for route in routes
    ]
    resources += [
        {
            "resource_type": "services",
            "metadata": {"name": name},
            "spec": {
                "health_path": "/health",
                "max_connections": 316,
                "protocol": "h1",
                "tls": False,
            },
        }
        for name in services
    ]
    resources.append(
        {
            "resource_type": "limits",
            "metadata": {},
            "spec": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout": "3000ms",
                "idle_timeout": "15000ms",
            },
        }
    )
    return {
        "version": f"{version:08x}",
        "base_version": f"{base:08x}",
        "resources": resources,
    }
