"""Steps for ``CallerListener`` with a fake entry service."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import then
from behave import when
from daemon_harness import CLOCK
from daemon_harness import make_tables
from daemon_harness import run
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.ids import TableVersion
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason
from marjoramstep_core.table import DEFAULT_ROW_NAME
from marjoramstep_core.table import Row
from marjoramstep_core.table import Table
from marjoramstep_daemon.callers.entry_result import EntryResult
from marjoramstep_daemon.callers.listener import CallerListener
from marjoramstep_daemon.calls import Failed
from marjoramstep_daemon.log import EventLog
from support.body_arrivals import RequestForm


TRICKLE_SECONDS = 0.05


class FakeEntry:
    """Reads the whole body of each request."""

    def __init__(self) -> None:
        self.errors: list[MarjoramstepError | None] = []

    def find_row(self, _request: Any) -> None:
        """Know no row."""

    async def execute(self, request: Any) -> EntryResult:
        """Read the body and record the error that ended it."""
        try:
            async for _ in request.body.parts():
                pass
            self.errors.append(None)
        except MarjoramstepError as error:
            self.errors.append(error)
        return EntryResult(Failed(Reason.CANCELLED), Outcome.UNKNOWN, "k", "r")


async def _send_body(writer: Any, does: str, body: bytes) -> None:
    if does == "stops within":
        writer.write(body[: len(body) // 2])
    elif does == "trickles":
        for index in range(len(body)):
            writer.write(body[index : index + 1])
            await asyncio.sleep(TRICKLE_SECONDS)


@when(
    "a caller {does} a body of {length:d} bytes {framing} in a request that is "
    "{place}, with a body timeout of {timeout_ms:d} ms"
)
def step_stop(
    context: Any, does: str, length: int, framing: str, place: str, timeout_ms: int
) -> None:
    async def scenario() -> None:
        context.entry = FakeEntry()
        tables = make_tables()
        log = EventLog(CLOCK, "test")
        listener = CallerListener(context.entry, tables, log)  # type: ignore[arg-type]
        row = Row.from_cells({"name": DEFAULT_ROW_NAME, "body_timeout_ms": timeout_ms})
        tables.put_in_force(Table(TableVersion(2), {row.name: row}))
        address = await listener.start(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*address)
        is_last = place == "last"
        form = RequestForm(
            "close" if is_last else "", "1.1", framing == "in chunks", is_last
        )
        writer.write(form.head("/", length))
        sender = asyncio.create_task(_send_body(writer, does, form.body(bytes(length))))
        context.answer = await reader.readuntil(b"\r\n\r\n")
        sender.cancel()
        writer.close()
        await listener.stop_listening()
        await listener.close()

    run(scenario())


@then("the caller is told by {status:d} that its request did not run")
def step_told(context: Any, status: int) -> None:
    assert context.answer.startswith(f"HTTP/1.1 {status} ".encode()), context.answer
    assert b"Marjoramstep-Outcome: not-run" in context.answer, context.answer
    assert b"Connection: close" in context.answer, context.answer


@then("the entry service of the listener received no request")
def step_no_request(context: Any) -> None:
    assert context.entry.errors == []


@then("the entry service of the listener got an error and no end of the body")
def step_error(context: Any) -> None:
    assert len(context.entry.errors) == 1
    assert context.entry.errors[0] is not None
