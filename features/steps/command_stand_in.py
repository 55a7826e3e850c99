"""Stand-in of the replicas' HTTP interface towards operators; defines no steps."""

from __future__ import annotations

import asyncio
import threading
from typing import Any

from aiohttp import web
from marjoramstep_core.ids import LogIndex
from marjoramstep_core.table import EditOperation
from marjoramstep_state import StateMachine
from marjoramstep_state import encode_command
from marjoramstep_state.edit_commands import EditTable


TOKEN = "secret-token"
HTTP_STATUSES = {"accepted": 200, "conflict": 409, "refused": 422}
WAIT_LIMIT_S = 20


class Cluster:
    """State that all stand-ins share."""

    def __init__(self) -> None:
        self.machine = StateMachine()
        self.changed_audit: dict[int, str] = {}
        self.edit_keys: list[str] = []
        self.replica_changes = 0
        self.lost_answers = 0
        self.replicas = ["r1", "r2", "r3"]
        self.leader: StandIn | None = None

    def edit(self, body: dict[str, Any]) -> Any:
        """Apply an edit through its payload."""
        self.edit_keys.append(body["edit_key"])
        operations = tuple(map(EditOperation.from_json, body["operations"]))
        key, version = body["edit_key"], body["base_version"]
        command = EditTable(1_700_000_000_000, key, version, "ana", "", operations)
        index = LogIndex(self.machine.applied_index + 1)
        return self.machine.apply(index, encode_command(command)).result

    def replica_document(self) -> dict[str, Any]:
        """Return the answer about the replicas."""
        replicas = [
            {"replica_id": name, "match_index": 7, "synced": True}
            for name in self.replicas
        ]
        return {"replicas": replicas, "survives_losses": (len(replicas) - 1) // 2}


class StandIn:
    """One replica's HTTP interface on a loopback port, in a thread."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.answers_to_lose = 0
        self.silent = False
        self.no_quorum = False
        self.requests = 0
        self.address = ""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._runner = self._wait(self._start())

    def _wait(self, coroutine: Any) -> Any:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(WAIT_LIMIT_S)

    async def _start(self) -> web.AppRunner:
        app = web.Application(middlewares=[self._guard])
        app.router.add_get("/v1/table", self._table)
        app.router.add_post("/v1/edits", self._edit)
        app.router.add_get("/v1/edits/{key}", self._verdict)
        app.router.add_get("/v1/audit", self._audit)
        app.router.add_post("/v1/replicas/{id}/{action}", self._change)
        app.router.add_get("/v1/{name}", self._read)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.address = "{}:{}".format(*runner.addresses[0])
        return runner

    def stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            self._wait(self._runner.cleanup())
            self._runner = None

    def close(self) -> None:
        """Close the port and end the thread."""
        self.stop()
        self._wait(self._cancel_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(WAIT_LIMIT_S)
        self._loop.close()

    async def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @web.middleware
    async def _guard(self, request: web.Request, handler: Any) -> web.StreamResponse:
        self.requests += 1
        if self.silent:
            await asyncio.sleep(WAIT_LIMIT_S)
        if request.headers.get("Authorization") != f"Bearer {TOKEN}":
            return web.json_response({"error": "denied"}, status=401)
        leader = self.cluster.leader
        if request.method == "POST" and leader is not self:
            document = {"leader_address": leader.address if leader else None}
            return web.json_response(document, status=421)
        if self.no_quorum:
            return web.json_response({"verdict": "unknown"}, status=503)
        response = await handler(request)
        if self.answers_to_lose and request.method == "POST":
            self.answers_to_lose -= 1
            self.cluster.lost_answers += 1
            request.transport.abort()
        return response

    async def _table(self, request: web.Request) -> web.Response:
        machine = self.cluster.machine
        version = request.query.get("version")
        table = machine.table_version(int(version)) if version else machine.table
        if table is None:
            return web.json_response({"error": "no such version"}, status=404)
        return web.json_response(table.to_json())

    async def _edit(self, request: web.Request) -> web.Response:
        result = self.cluster.edit(await request.json())
        status = HTTP_STATUSES[result.verdict.value]
        return web.json_response(result.to_json(), status=status)

    async def _verdict(self, request: web.Request) -> web.Response:
        result = self.cluster.machine.find_edit_result(request.match_info["key"])
        if result is None:
            return web.json_response({"error": "no verdict"}, status=404)
        status = HTTP_STATUSES[result.verdict.value]
        return web.json_response(result.to_json(), status=status)

    async def _audit(self, request: web.Request) -> web.Response:
        after, limit = int(request.query["after"]), int(request.query["limit"])
        entries = self.cluster.machine.audit_entries(after, min(limit, 500))
        documents = [entry.to_json() for entry in entries]
        for document in documents:
            changed = self.cluster.changed_audit.get(document["sequence"])
            document["operator"] = changed or document["operator"]
        return web.json_response({"entries": documents})

    async def _change(self, request: web.Request) -> web.Response:
        self.cluster.replica_changes += 1
        name, replicas = request.match_info["id"], self.cluster.replicas
        if request.match_info["action"] == "admit":
            replicas.append(name)
        elif name in replicas:
            replicas.remove(name)
        else:
            return web.json_response({"error": f"no replica {name}"}, status=409)
        return web.json_response(self.cluster.replica_document())

    async def _read(self, request: web.Request) -> web.Response:
        member = {"service_name": "pay", "server_id": "s1", "state": "ready"}
        suspect = {"service_name": "pay", "fingerprint": "f1", "remaining_ms": 9}
        documents = {
            "replicas": self.cluster.replica_document(),
            "members": {"members": [member]},
            "quarantine": {"entries": [suspect]},
            "status": {"replica_id": "r1", "survives_losses": 1},
        }
        return web.json_response(documents[request.match_info["name"]])
