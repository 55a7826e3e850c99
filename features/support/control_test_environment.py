"""Cluster, relay, backend server and workload for the features of the replicas."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
from aiohttp import web
from marjoramstep_replay.launch.addresses import LOOPBACK
from marjoramstep_replay.measure.claim_session import ClaimSession
from marjoramstep_replay.measure.claim_session import new_key
from marjoramstep_replay.measure.control_cluster import DAEMON
from marjoramstep_replay.measure.control_cluster import NODES
from marjoramstep_replay.measure.control_cluster import ControlCluster
from marjoramstep_replay.measure.control_cluster import set_cell


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Sequence

LIMIT_SECONDS = 40.0
POLL_SECONDS = 0.05


class Relay:
    """Forwards TCP connections; can stop forwarding while connections stay open.

    :param target: ``ip:port`` of the other side
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.unforwarded_bytes = 0
        self.is_cut = False
        self.drops_answers = False
        self._forwarding = asyncio.Event()
        self._forwarding.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        self.is_cut = True
        self._forwarding.clear()

    def heal(self) -> None:
        self.is_cut = False
        self._forwarding.set()

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        host, _, port = self.target.rpartition(":")
        try:
            other_reader, other_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(
                self._pump(reader, other_writer, answers=False),
                self._pump(other_reader, writer, answers=True),
            )
        except (OSError, asyncio.CancelledError):
            # Only close cancels this task, after the scenario.
            pass
        finally:
            writer.close()
            other_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        while data := await reader.read(65_536):
            if self.is_cut or (answers and self.drops_answers):
                self.unforwarded_bytes += len(data)
            await self._forwarding.wait()
            if not (answers and self.drops_answers):
                writer.write(data)
                await writer.drain()
        await self._forwarding.wait()
        writer.close()


class FakeBackendServer:
    """A backend server that answers at once and announces itself to its node."""

    def __init__(self, announce_address: str) -> None:
        self._announce_url = f"http://{announce_address}/announce"
        self.paths: list[str] = []
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._answer)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        await web.TCPSite(self._runner, LOOPBACK, 0).start()
        self._task = asyncio.create_task(self._announce())

    async def close(self) -> None:
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._runner.cleanup()

    async def _answer(self, request: web.Request) -> web.Response:
        self.paths.append(request.path)
        return web.Response(text="ok")

    async def _announce(self) -> None:
        host, port = self._runner.addresses[0][:2]
        document = {
            "service": "books",
            "address": f"{host}:{port}",
            "slots": 10,
            "connections": 100,
            "state": "ready",
            "incarnation": 1,
        }
        async with aiohttp.ClientSession() as session:
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    await (await session.post(self._announce_url, json=document)).read()
                await asyncio.sleep(0.5)


class ControlTestEnvironment:
    """Runs a cluster on an event loop in a thread, so that relays run all the time."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.cluster: ControlCluster
        self.relays: dict[tuple[str, str], Relay] = {}
        self.sessions: list[ClaimSession] = []
        self.backend_servers: list[FakeBackendServer] = []
        self.tasks: list[asyncio.Task[None]] = []

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(120.0)

    def close(self) -> None:
        self.run(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
        self._folder.cleanup()

    async def start(
        self,
        count: int,
        *,
        relayed: bool = False,
        command: Sequence[str] = (str(DAEMON),),
    ) -> None:
        self.cluster = ControlCluster(self.folder, count, command=command)
        if relayed:
            for target in self.cluster.names:
                for source in (*self.cluster.names, NODES):
                    if source != target:
                        relay = Relay(self.cluster.peer_addresses[target])
                        await relay.start()
                        self.relays[source, target] = relay
                        self.cluster.routes[source, target] = relay.address
        await self.cluster.start()

    def relays_of(self, name: str) -> list[Relay]:
        return [relay for pair, relay in self.relays.items() if name in pair]

    async def session(self, node_id: str) -> ClaimSession:
        cluster = self.cluster
        addresses = [cluster.address_for(NODES, name) for name in cluster.names]
        session = ClaimSession(addresses, cluster.key, node_id)
        self.sessions.append(session)
        return session

    async def start_backend_server(self, announce_address: str) -> FakeBackendServer:
        backend_server = FakeBackendServer(announce_address)
        await backend_server.start()
        self.backend_servers.append(backend_server)
        return backend_server

    async def call(self, caller_address: str, path: str) -> str:
        """Return the outcome of one POST request to the service books."""
        headers = {"Marjoramstep-Service": "books", "Marjoramstep-Key": new_key()}
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"http://{caller_address}{path}", headers=headers) as answer,
        ):
            await answer.read()
            return answer.headers.get("Marjoramstep-Outcome", "")

    async def _close(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for backend_server in self.backend_servers:
            await backend_server.close()
        for session in self.sessions:
            await session.close()
        if hasattr(self, "cluster"):
            await self.cluster.close()
        for relay in self.relays.values():
            await relay.close()


async def wait_until(
    condition: Callable[[], Coroutine[Any, Any, bool]], what: str
) -> float:
    """Wait for a condition and return the seconds it took.

    Raises an AssertionError after ``LIMIT_SECONDS``.
    """
    start_seconds = time.monotonic()
    while time.monotonic() - start_seconds < LIMIT_SECONDS:
        if await condition():
            return time.monotonic() - start_seconds
        await asyncio.sleep(POLL_SECONDS)
    raise AssertionError(f"not reached in {LIMIT_SECONDS} s: {what}")


class Workload:
    """Sends sequential edits and competing claims of two attempts until stopped."""

    def __init__(self, environment: ControlTestEnvironment) -> None:
        self._environment = environment
        self.accepted: dict[str, int] = {}
        self.values: dict[int, int] = {}
        self.grants: dict[str, list[str]] = {}
        self.faults: list[str] = []
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        sessions = [await self._environment.session(f"node-{n}") for n in (1, 2)]
        self._tasks = [asyncio.create_task(self._edit())]
        self._tasks += [asyncio.create_task(self._claim(sessions)) for _ in range(8)]

        self._environment.tasks += self._tasks

    async def stop(self) -> None:
        self._stopping = True
        await asyncio.gather(*self._tasks)

    @property
    def progress(self) -> tuple[int, int]:
        return len(self.accepted), len(self.grants)

    async def wait_for_progress(self) -> None:
        edits, claims = self.progress

        async def has_progressed() -> bool:
            now = self.progress
            return now[0] >= edits + 5 and now[1] >= claims + 20

        await wait_until(has_progressed, "edits and claims make progress")

    async def _edit(self) -> None:
        cluster = self._environment.cluster
        _, table = await cluster.ask("GET", "/v1/table")
        version, number = table["version"], 0
        while not self._stopping:
            number += 1
            key, value = f"load-{number}", 1_000 + number
            status, verdict = await cluster.edit(key, version, [set_cell(value)])
            if status != 200 or verdict["version"] != version + 1:
                self.faults.append(f"{key} on {version}: {status} {verdict}")
                return
            version = verdict["version"]
            self.accepted[key] = version
            self.values[version] = value

    async def _claim(self, sessions: list[ClaimSession]) -> None:
        while not self._stopping:
            key = new_key()
            attempts = [f"{key[-12:]}-{n}" for n in range(2)]
            verdicts = await asyncio.gather(
                *(
                    session.claim(key, attempt)
                    for session, attempt in zip(sessions, attempts, strict=True)
                ),
                return_exceptions=True,
            )
            self.grants[key] = [
                attempt
                for attempt, verdict in zip(attempts, verdicts, strict=True)
                if verdict == "granted"
            ]
            if len(self.grants[key]) != 1:
                self.faults.append(f"{key}: {verdicts}")

    async def check(self) -> None:
        """Check that no accepted edit is lost and no key is granted twice.

        Looks up the newest table, the last 50 edits and the last 200 keys.
        """
        assert not self.faults, self.faults[:5]
        cluster = self._environment.cluster
        _, table = await cluster.ask("GET", "/v1/table")
        newest = max(self.values)
        assert table["version"] == newest, (table["version"], newest)
        rows = {row["name"]: row for row in table["rows"]}
        assert rows["default"]["deadline_ms"] == self.values[newest], rows["default"]
        for key, version in list(self.accepted.items())[-50:]:
            _, verdict = await cluster.ask("GET", f"/v1/edits/{key}")
            assert verdict["verdict"] == "accepted", verdict
            assert verdict["version"] == version, verdict
        session = self._environment.sessions[0]
        for key, granted in list(self.grants.items())[-200:]:
            assert await session.claim(key, granted[0]) == "granted"
            assert await session.claim(key, "another-attempt") == "running"


async def accepted_in_audit(
    cluster: ControlCluster, name: str
) -> list[tuple[int, str]]:
    """Return version and edit key of all accepted edits in a replica's audit trail."""
    found: list[tuple[int, str]] = []
    after = 0
    while True:
        status, page = await cluster.request(
            name, "GET", f"/v1/audit?after={after}&limit=1000&local=1"
        )
        assert status == 200, page
        if not page["entries"]:
            return found
        after = page["entries"][-1]["sequence"]
        found += [
            (entry["after"]["version"], entry["after"]["edit_key"])
            for entry in page["entries"]
            if entry["kind"] == "edit" and entry["verdict"] == "accepted"
        ]
