"""A pipelined request gets the answer of the request behind it."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from lib.case import run_case
from lib.client import Answer
from lib.client import encode_request
from lib.client import read_answer
from lib.deployment import HOST
from lib.deployment import Deployment
from lib.deployment import Record
from lib.deployment import make_config
from lib.server import Run
from lib.server import Server


SERVICES = ["archive", "archive", "lookup"]
# Part of the answers of one of the two servers of which one byte is spoiled, for how
# long at a time, and how often.
SPOILED = 0.02
SPOILED_S = 5.5
PAUSE_S = 2.0
WINDOWS = 4
PAIRS_PER_S = 60.0
CLIENT_WAITS_S = 5.0


async def case(record: Record, trouble: bool) -> bool:
    deployment = Deployment(record, SERVICES)
    servers: list[Server] = []
    spoiler = Spoiler(record)
    try:
        await deployment.start_all()
        route = {
            "name": "read",
            "path_prefix": "/read/",
            "route_type": "safe",
            "service": "archive",
        }
        status = await deployment.put_config(make_config(1, 0, [route], SERVICES[1:]))
        assert status == 200, status
        for number, node in enumerate(deployment.nodes):
            server = Server(
                record, node, deployment.ports["control"], f"i-{number}", slots=100
            )
            servers.append(server)
            await server.start()
        spoiler.add_to(servers[0])
        await deployment.wait_ready()
        await asyncio.sleep(5.0)
        clients = Clients(record, deployment)
        sending = asyncio.create_task(clients.run())
        for _ in range(WINDOWS):
            await asyncio.sleep(PAUSE_S)
            spoiler.is_on = trouble
            await asyncio.sleep(SPOILED_S)
            spoiler.is_on = False
        sending.cancel()
        await asyncio.sleep(CLIENT_WAITS_S + 1.0)
        deployment.check_running()
        record.write(
            f"{clients.pairs} connections with two requests each; {spoiler.count} "
            f"answers spoiled; {clients.foreign} requests got the answer to another "
            f"one; {clients.unanswered} got no answer"
        )
        return clients.foreign > 0
    finally:
        for server in servers:
            await server.stop()
        deployment.close()


class Spoiler:
    """Lets a server spoil one byte of some of its answers."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._rng = random.Random()
        self.is_on = False
        self.count = 0

    def add_to(self, server: Server) -> None:
        server.answer = lambda run: self._answer(server, run)

    def _answer(self, server: Server, run: Run) -> bytes | None:
        if not self.is_on or self._rng.random() >= SPOILED:
            return None
        self.count += 1
        right = server.usual_answer(run)
        name = b"Server-Signature: "
        at = right.index(name) + len(name)
        self._record.write(
            f"server {server.instance}: ran {run.headers['attempt-id']}; the first "
            "byte of the signature in its answer is 0x01"
        )
        return right[:at] + b"\x01" + right[at + 1 :]


class Clients:
    """Clients that send a second request before the first one is answered."""

    def __init__(self, record: Record, deployment: Deployment) -> None:
        self._record = record
        self._address = (deployment.nodes[2].ip, deployment.ports["outbound"])
        self._tasks: set[asyncio.Task[None]] = set()
        self.pairs = 0
        self.foreign = 0
        self.unanswered = 0

    async def run(self) -> None:
        while True:
            self.pairs += 1
            task = asyncio.create_task(self._send_pair(self.pairs))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1.0 / PAIRS_PER_S)

    async def _send_pair(self, number: int) -> None:
        ids = [f"{number:08x}0000000{place}" for place in (1, 2)]
        reader, writer = await asyncio.open_connection(*self._address)
        for attempt in ids:
            headers = {
                "Host": HOST,
                "Attempt-Id": attempt,
                "Timeout-Ms": str(int(CLIENT_WAITS_S * 1000)),
            }
            writer.write(encode_request("GET", f"/read/{attempt}", headers))
        try:
            async with asyncio.timeout(CLIENT_WAITS_S):
                for place, attempt in enumerate(ids, 1):
                    self._judge(place, attempt, await read_answer(reader))
        except (TimeoutError, EOFError, OSError) as error:
            self.unanswered += 1
            self._record.write(f"client: no answer to one of {ids}: {error!r}")
        finally:
            writer.close()

    def _judge(self, place: int, attempt: str, answer: Answer) -> None:
        echoed = answer.headers.get("attempt-id")
        if answer.status != 200 or echoed == attempt:
            return
        self.foreign += 1
        self._record.write(
            f"client: answer {place} on its connection, to {attempt}: {answer.status} "
            f"with Attempt-Id {echoed} and body {answer.body!r}"
        )


run_case(Path(__file__).resolve().parent, case)
