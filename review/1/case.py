"""A request that may run once only runs twice after a late second copy of an answer."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

from lib.case import run_case
from lib.client import fetch
from lib.deployment import HOST
from lib.deployment import Deployment
from lib.deployment import Record
from lib.deployment import make_config
from lib.server import Server


if TYPE_CHECKING:
    from lib.server import Run


SERVICES = ["bookings", "bookings", "lookup"]
# Part of the requests that a server rejects because it is full.
REJECTED = 0.13
# Part of the answers of one of the two servers that get a late second copy, for how
# long at a time, how often, and how late the copy is.
COPIED = 0.03
COPIED_S = 5.0
PAUSE_S = 1.5
WINDOWS = 11
COPY_DELAYS_S = (0.005, 0.05)
WORK_S = 0.15
REQUESTS_PER_S = 200.0


async def case(record: Record, trouble: bool) -> bool:
    deployment = Deployment(record, SERVICES)
    servers: list[Server] = []
    faults = Faults(record)
    try:
        await deployment.start_all()
        route = {
            "name": "book",
            "path_prefix": "/book/",
            "route_type": "unsafe",
            "service": "bookings",
            "max_attempts": 1,
        }
        status = await deployment.put_config(make_config(1, 0, [route], SERVICES[1:]))
        assert status == 200, status
        for number, node in enumerate(deployment.nodes):
            server = Server(
                record, node, deployment.ports["control"], f"i-{number}", WORK_S, 100
            )
            faults.add_to(server)
            await server.start()
            servers.append(server)
        await deployment.wait_ready()
        await asyncio.sleep(5.0)
        clients = asyncio.create_task(send_requests(record, deployment))
        for _ in range(WINDOWS):
            await asyncio.sleep(PAUSE_S)
            faults.copies = trouble
            await asyncio.sleep(COPIED_S)
            faults.copies = False
        await asyncio.sleep(2.0)
        clients.cancel()
        await asyncio.sleep(1.0)
        deployment.check_running()
        return report(record, servers, faults)
    finally:
        for server in servers:
            await server.stop()
        deployment.close()


class Faults:
    """Rejects some requests; sends some rejections a second time, late."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._rng = random.Random()
        self._tasks: set[asyncio.Task[None]] = set()
        self.copies = False
        self.copy_count = 0
        self.rejections = 0

    def add_to(self, server: Server) -> None:
        server.is_full = lambda: self._rng.random() < REJECTED
        server.on_rejected = lambda run, answer, writer: self._on_rejected(
            server, run, answer, writer
        )

    def _on_rejected(
        self, server: Server, run: Run, answer: bytes, writer: asyncio.StreamWriter
    ) -> None:
        self.rejections += 1
        is_faulty = server.instance == "i-0"
        if self.copies and is_faulty and self._rng.random() < COPIED:
            task = asyncio.create_task(self._copy(server, run, answer, writer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _copy(
        self, server: Server, run: Run, answer: bytes, writer: asyncio.StreamWriter
    ) -> None:
        delay_s = self._rng.uniform(*COPY_DELAYS_S)
        await asyncio.sleep(delay_s)
        if writer.is_closing():
            return
        writer.write(answer)
        self.copy_count += 1
        self._record.write(
            f"server {server.instance}: second copy of the rejection of "
            f"{run.headers['attempt-id']}, {1000 * delay_s:.0f} ms after the first"
        )


async def send_requests(record: Record, deployment: Deployment) -> None:
    number = 0
    tasks: set[asyncio.Task[None]] = set()
    while True:
        number += 1
        task = asyncio.create_task(send(record, deployment, f"{number:016x}"))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / REQUESTS_PER_S)


async def send(record: Record, deployment: Deployment, attempt: str) -> None:
    headers = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Timeout-Ms": "4000",
        "Connection": "close",
    }
    address = (deployment.nodes[2].ip, deployment.ports["outbound"])
    try:
        answer = await fetch(address, "POST", "/book/a", headers, b"one booking")
        text = str(answer.status)
    except (OSError, TimeoutError, EOFError, ValueError) as error:
        text = repr(error)
    record.answers[attempt] = text


def report(record: Record, servers: list[Server], faults: Faults) -> bool:
    runs = Counter(run.headers["attempt-id"] for s in servers for run in s.runs)
    twice = [attempt for attempt, count in runs.items() if count > 1]
    answers = record.answers
    refused = [a for a in runs if answers.get(a) in ("429", "503", "408", "421")]
    record.write(f"answers: {dict(Counter(answers.values()))}")
    record.write(
        f"{len(runs)} requests ran, {faults.rejections} rejections, "
        f"{faults.copy_count} of them came twice"
    )
    for attempt in sorted({*twice, *refused}):
        times = sorted(
            (run.at_s, s.instance, run.end)
            for s in servers
            for run in s.runs
            if run.headers["attempt-id"] == attempt
        )
        record.write(f"{attempt}: answered {answers.get(attempt)}, ran {times}")
    record.write(
        f"{len(twice)} requests ran more than once; {len(refused)} ran though they "
        "were refused as not run"
    )
    return bool(twice)


run_case(Path(__file__).resolve().parent, case)
