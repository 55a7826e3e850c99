"""A small fake of the daemon for tests of the replay runner; runs as a process.

A node passes each call straight on to the next backend server that has announced
itself for the service. Replicas accept every edit.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web


RUN_TWICE = "--run-twice"


class FakeNode:
    """Announce endpoint and caller endpoint of one node."""

    def __init__(self, folder: Path, name: str, sends: int) -> None:
        self._folder = folder
        self._name = name
        self._sends = sends
        self._count = 0
        self.session: aiohttp.ClientSession

    async def announce(self, request: web.BaseRequest) -> web.Response:
        """Note the announced backend server where all fake nodes look."""
        document = await request.json()
        path = self._folder / f"{document['service']}@{self._name}.member"
        # Renamed into place, because other fake nodes may read at any time.
        draft = path.with_suffix(".draft")
        draft.write_text(document["address"])
        draft.replace(path)
        return web.Response()

    async def call(self, request: web.BaseRequest) -> web.Response:
        """Pass a call on."""
        service = request.headers["Marjoramstep-Service"]
        members = sorted(self._folder.glob(f"{service}@*.member"))
        if not members:
            return _refusal("no-server")
        self._count += 1
        address = members[self._count % len(members)].read_text()
        body = await request.read()
        headers = {"Marjoramstep-Key": request.headers.get("Marjoramstep-Key", "")}
        try:
            for _ in range(self._sends):
                async with self.session.request(
                    request.method,
                    f"http://{address}{request.path_qs}",
                    data=body,
                    headers=headers,
                ) as reply:
                    answer = await reply.read()
        except aiohttp.ClientError:
            headers = {"Marjoramstep-Outcome": "unknown"}
            return web.Response(status=502, headers=headers)
        headers = {"Marjoramstep-Outcome": "done"}
        return web.Response(status=reply.status, body=answer, headers=headers)


async def operate(request: web.BaseRequest) -> web.Response:
    """Answer an operator as a replica that leads."""
    if request.method == "GET":
        return web.json_response({"version": 1, "rows": []})
    if not (await request.json())["operations"]:
        return web.json_response({"verdict": "refused"}, status=422)
    return web.json_response({"verdict": "accepted", "version": 2})


def _refusal(reason: str) -> web.Response:
    headers = {"Marjoramstep-Outcome": "not-run", "Marjoramstep-Reason": reason}
    return web.Response(status=503, headers=headers)


async def _listen(handler: Any, address: str) -> str:
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    host, port = address.split(":")
    await web.TCPSite(runner, host, int(port)).start()
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


async def serve(settings_path: Path, sends: int) -> None:
    """Serve until SIGTERM."""
    settings = json.loads(settings_path.read_text())
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    addresses = {}
    node = FakeNode(settings_path.parent, settings["process_id"], sends)
    async with aiohttp.ClientSession() as node.session:
        if "node" in settings["role"]:
            section = settings["node"]
            for name, handler in (("announce", node.announce), ("caller", node.call)):
                address = await _listen(handler, section[f"{name}_address"])
                addresses[f"{name}_address"] = address
        else:
            address = settings["control"]["operator_address"]
            addresses["operator_address"] = await _listen(operate, address)
        sys.stderr.write(json.dumps({"message_type": "listening", **addresses}) + "\n")
        sys.stderr.flush()
        await stopped.wait()


if __name__ == "__main__":
    if "--initialize" in sys.argv:
        sys.exit(0)
    SENDS = 2 if RUN_TWICE in sys.argv else 1
    asyncio.run(serve(Path(sys.argv[-1]), SENDS))
