"""Starts the programs of the deploy file on loopback addresses.

Each machine has its own loopback address and all machines use the same ports, as on the
platform. The settings are made from the templates that the deploy file names.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from .client import fetch


REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "forge.example"
BOUNDS = {"grace": "6s", "drain": "2000ms", "config": "2000ms"}
PORT_KINDS = ("outbound", "inbound", "ready", "control", "peer", "operator", "app")


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happened to record.txt and to standard output."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start = time.monotonic()
        # Answer to each attempt, as far as a case keeps them.
        self.answers: dict[str, str] = {}

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        line = f"{self.now():8.3f} {text}\n"
        self._file.write(line)
        self._file.flush()
        sys.stdout.write(line)
        sys.stdout.flush()


class Machine:
    """One machine: its address, its fields for the templates, and its process."""

    def __init__(self, name: str, role: str, ip: str, fields: dict[str, Any]) -> None:
        self.name = name
        self.role = role
        self.ip = ip
        self.fields = fields
        self.process: subprocess.Popen[bytes] | None = None


class Deployment:
    """Control replicas and nodes as separate processes.

    :param record: the record of the case
    :param services: service of each sidecar machine
    :param replicas: number of core machines
    """

    def __init__(self, record: Record, services: list[str], replicas: int = 3) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]
        self.ports, prefix = _free_ports(replicas + len(services))
        self.cores = [
            self._machine(f"core-{i}", "control", f"{prefix}.{i + 10}", None)
            for i in range(replicas)
        ]
        self.nodes = [
            self._machine(f"side-{i}", "node", f"{prefix}.{i + 100}", service)
            for i, service in enumerate(services)
        ]
        seeds = [f"{core.ip}:{self.ports['control']}" for core in self.cores[:3]]
        for machine in self.machines:
            machine.fields["seeds"] = seeds

    @property
    def machines(self) -> list[Machine]:
        """Return all machines."""
        return [*self.cores, *self.nodes]

    def _machine(self, name: str, role: str, ip: str, service: str | None) -> Machine:
        ports = self.ports
        fields: dict[str, Any] = {
            "node_id": name,
            "zone": "zone-a",
            "ip": ip,
            "internal_ports": [ports["peer"], ports["operator"]],
            "bootstrap": True,
            "bounds": BOUNDS,
            "fault_tolerance": {"machines": 1},
            "data_dir": str(self.folder / name),
            "listen": {
                kind: f"{ip}:{ports[kind]}"
                for kind in ("outbound", "inbound", "ready", "control")
            },
            "app_addr": f"{ip}:{ports['app']}",
        }
        if service is not None:
            fields["service"] = service
        return Machine(name, role, ip, fields)

    def start(self, machine: Machine) -> None:
        """Start the process of a machine with the command of the deploy file."""
        role = self._roles[machine.role]
        template = (REPOSITORY / role["template"]).read_text()
        settings = self.folder / f"{machine.name}.conf"
        settings.write_text(render(template, machine.fields))
        words = role["run"].split()
        words = [
            str(settings) if word == "/etc/marjoramstep/node.conf" else word
            for word in words
        ]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= role.get("env", {})
        environment["MARJORAMSTEP_BOOT"] = str(settings)
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        with (self.folder / f"{machine.name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                words, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )
        machine.fields["bootstrap"] = False

    def kill(self, machine: Machine, number: int = signal.SIGKILL) -> None:
        """Send a signal to the process of a machine and wait for its end."""
        assert machine.process is not None
        machine.process.send_signal(number)
        machine.process.wait()

    def log_of(self, machine: Machine) -> str:
        """Return what the process of a machine has written."""
        return (self.folder / f"{machine.name}.log").read_text(errors="replace")

    async def start_all(self) -> None:
        """Start all machines and wait until a replica answers the operator."""
        for machine in self.machines:
            self.start(machine)
        self.record.write(
            f"started {len(self.cores)} replicas and {len(self.nodes)} nodes on "
            f"{self.machines[0].ip} and following"
        )

    async def put_config(self, document: dict[str, Any], limit_s: float = 30.0) -> int:
        """Send a configuration as the operator until there is a clear answer."""
        body = json.dumps(document).encode()
        until = time.monotonic() + limit_s
        turn = 0
        while time.monotonic() < until:
            core = self.cores[turn % len(self.cores)]
            turn += 1
            status = await self._call("PUT", core.ip, body)
            if status in (200, 400, 409, 412, 413, 422):
                self.record.write(
                    f"operator: PUT version {document['version']} -> {status}"
                )
                return status
            await asyncio.sleep(0.2)
        raise CannotRunError("no replica took the configuration")

    async def _call(self, method: str, ip: str, body: bytes) -> int:
        for _ in range(3):
            try:
                answer = await fetch(
                    (ip, self.ports["control"]),
                    method,
                    "/-/config",
                    {"Host": ip, "Content-Type": "application/json"},
                    body,
                    timeout_s=1.0,
                )
            except (OSError, TimeoutError, EOFError, ValueError):
                return 0
            if answer.status != 307:
                return answer.status
            location = answer.headers.get("location", "")
            ip = location.removeprefix("http://").partition(":")[0]
        return 0

    async def wait_ready(self, limit_s: float = 40.0) -> None:
        """Wait until every node says that it is ready."""
        until = time.monotonic() + limit_s
        for node in self.nodes:
            while True:
                if time.monotonic() > until:
                    raise CannotRunError(f"{node.name} did not become ready")
                try:
                    answer = await fetch(
                        (node.ip, self.ports["ready"]),
                        "GET",
                        "/-/ready",
                        {"Host": node.ip},
                        timeout_s=1.0,
                    )
                    if answer.status == 200:
                        break
                except (OSError, TimeoutError, EOFError, ValueError):
                    pass
                await asyncio.sleep(0.1)
        self.record.write("all nodes are ready")

    def check_running(self) -> None:
        """Raise an error if a process has ended by itself."""
        for machine in self.machines:
            if machine.process is None or machine.process.poll() is not None:
                raise CannotRunError(f"the process of {machine.name} has ended")

    def close(self) -> None:
        """End all processes that this deployment started."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def make_config(
    version: int, base: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Build a configuration."""
    resources: list[dict[str, Any]] = [
        {
            "resource_type": "routes",
            "metadata": {"name": route.pop("name")},
            "spec": {
                "host": HOST,
                "timeout": "4000ms",
                "target_latency": "1500ms",
                "priority": 1,
                "max_attempts": 2,
                **route,
            },
        }
        for route in map(dict, routes)
    ]
    resources += [
        {
            "resource_type": "services",
            "metadata": {"name": service},
            "spec": {
                "health_path": "/health",
                "max_connections": 200,
                "protocol": "h1",
                "tls": False,
            },
        }
        for service in services
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    }
    resources.append({"resource_type": "limits", "metadata": {}, "spec": limits})
    return {
        "version": f"{version:08x}",
        "base_version": f"{base:08x}",
        "resources": resources,
    }


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template with the placeholders that the deploy files use."""

    def value_of(path: str, scope: Any) -> Any:
        if path == ".":
            return scope
        found: Any = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
            if found is None:
                return ""
        return found

    def fill(text: str, scope: Any) -> str:
        def replace(match: re.Match[str]) -> str:
            path, _, form = match[1].partition("|")
            value = value_of(path, scope)
            if form == "json":
                return json.dumps(value)
            return "" if value == "" else str(value)

        return re.sub(r"\{\{([^#/^,{}]+)\}\}", replace, text)

    def section(match: re.Match[str]) -> str:
        entries = value_of(match[1], None)
        parts = []
        for number, entry in enumerate(entries):
            comma = "," if number + 1 < len(entries) else ""
            parts.append(fill(match[2].replace("{{,}}", comma), entry))
        return "".join(parts)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return fill(text, fields)


def _free_ports(machines: int) -> tuple[dict[str, int], str]:
    """Choose ports that are free on every address of a loopback prefix."""
    rng = random.Random()
    for _ in range(50):
        prefix = f"127.{rng.randint(20, 250)}.{rng.randint(1, 250)}"
        base = rng.randint(21, 29) * 1000
        ports = {kind: base + i for i, kind in enumerate(PORT_KINDS)}
        addresses = [f"{prefix}.{i + 10}" for i in range(machines)]
        addresses += [f"{prefix}.{i + 100}" for i in range(machines)]
        if all(_is_free(a, p) for a in addresses for p in (*ports.values(), 9464)):
            return ports, prefix
    raise CannotRunError("no free ports")


def _is_free(address: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((address, port))
        except OSError:
            return False
    return True
