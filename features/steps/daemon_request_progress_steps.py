"""Steps for the step at which a request waits."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from behave import then
from behave import when
from daemon_dispatcher_harness import make_dispatcher
from daemon_harness import CLOCK
from daemon_harness import FakePeer
from daemon_harness import call_start
from daemon_harness import make_call
from daemon_harness import make_row
from daemon_harness import make_tables
from daemon_harness import run
from daemon_harness import session_for
from daemon_harness import wait_until
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.states import Outcome
from marjoramstep_daemon.callers.entry_result import EntryResult
from marjoramstep_daemon.callers.listener import CallerListener
from marjoramstep_daemon.calls import UNKNOWN_LENGTH
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.log import EventLog
from marjoramstep_daemon.request_progress import OVERDUE_MARGIN_MS
from marjoramstep_daemon.request_progress import ProgressTracker
from marjoramstep_daemon.request_progress import RequestStep
from marjoramstep_policy.retries import RetryAllowance
from support.body_arrivals import RequestForm


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ALLOWED_MS = 2_000
ROW = make_row(deadline_ms=ALLOWED_MS)
GET = b"GET %s HTTP/1.1\r\nHost: s\r\n\r\n"


@dataclass(frozen=True)
class LoggedDecision:
    """A line of the log."""

    decision: str
    request_id: str
    reason: str
    fields: dict[str, Any]


@dataclass
class RecordingLog:
    """Keeps the decisions that are logged."""

    lines: list[LoggedDecision] = field(default_factory=list)

    def write_decision(
        self, decision: str, request_id: str, *, reason: str, **fields: Any
    ) -> None:
        """Record a line."""
        self.lines.append(LoggedDecision(decision, request_id, reason, fields))


class HangingEntry:
    """Entry service whose requests hang where the test says."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.executed: list[str] = []
        self.hanging_paths: set[str] = set()
        self.silent_paths: set[str] = set()

    def find_row(self, _request: Any) -> Any:
        """Return the same row for each request."""
        return ROW

    async def execute(self, request: Any) -> EntryResult:
        """Answer with the path, unless the request hangs."""
        request.progress.limit_ms = self._clock.now_ms() + ALLOWED_MS
        self.executed.append(request.path)
        if request.path in self.hanging_paths:
            await asyncio.Event().wait()
        data = request.path.encode()
        body = Body(data, length=len(data))
        if request.path in self.silent_paths:
            body = Body(data, rest=_silence(), length=UNKNOWN_LENGTH)
        return EntryResult(Answer(200, [], body), Outcome.DONE, "", "r")


async def _silence() -> AsyncIterator[bytes]:
    await asyncio.Event().wait()
    yield b""


class Watched:
    """A listener on a clock of the test, with a connected caller."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.tracker = ProgressTracker(self.clock)
        self.entry = HangingEntry(self.clock)
        self.log = RecordingLog()

    def gauge(self, step: RequestStep) -> float:
        """Return the number of requests at a step."""
        return self.tracker.gauges()[f"requests_{step.value}"]

    def pass_time(self) -> None:
        """Let the time of the row pass and look for overdue requests, twice."""
        self.clock.advance_ms(ALLOWED_MS + 2 * OVERDUE_MARGIN_MS)
        for _ in range(2):
            self.tracker.log_overdue(self.log)  # type: ignore[arg-type]

    async def send(self, data: bytes, step: RequestStep, executed: int = 0) -> None:
        """Send bytes, wait until a request is at a step, then let the time pass.

        :param data: what the caller sends
        :param step: where a request has to be first
        :param executed: number of requests that have to be executed first
        """
        log = EventLog(CLOCK, "test")
        listener = CallerListener(
            self.entry,  # type: ignore[arg-type]
            make_tables(),
            log,
            tracker=self.tracker,
        )
        address = await listener.start(("127.0.0.1", 0))
        _, writer = await asyncio.open_connection(*address)
        writer.write(data)
        await wait_until(lambda: self.gauge(step), f"a request at {step}")
        await wait_until(lambda: len(self.entry.executed) >= executed)
        await asyncio.sleep(0.02)
        self.before = self.gauge(step)
        self.pass_time()
        writer.close()
        await wait_until(lambda: not sum(self.tracker.gauges().values()))
        self.after = self.gauge(step)
        await listener.stop_listening()
        await listener.close()


def _form(framing: str) -> RequestForm:
    return RequestForm("", "1.1", framing == "in chunks", False)


@when("{sent:d} bytes of a body {framing} have arrived and the time of its row passes")
def step_overdue_body(context: Any, sent: int, framing: str) -> None:
    form = _form(framing)
    part = form.body(bytes(sent)).removesuffix(b"0\r\n\r\n")
    context.watched = Watched()
    run(
        context.watched.send(form.head("/body", 50) + part, RequestStep.READ_BODY),
    )


@then(
    'one line tells that "{path}" waits at "{step}", with {received:d} of '
    "{expected:d} bytes"
)
def step_body_line(
    context: Any, path: str, step: str, received: int, expected: int
) -> None:
    (line,) = context.watched.log.lines
    assert (line.decision, line.reason) == ("request overdue", step), line
    assert path in line.request_id, line
    assert line.fields["received_bytes"] == received, line
    assert line.fields["expected_bytes"] == expected, line
    assert line.fields["over_ms"] == 2 * OVERDUE_MARGIN_MS, line


@then('one line tells that "{path}" waits at "{step}"')
def step_line(context: Any, path: str, step: str) -> None:
    (line,) = [line for line in context.watched.log.lines if path in line.request_id]
    assert (line.decision, line.reason) == ("request overdue", step), line


@then('the gauge of requests at "{step}" was 1, and 0 after the caller had left')
def step_gauge(context: Any, step: str) -> None:
    assert RequestStep(step) in RequestStep
    assert (context.watched.before, context.watched.after) == (1.0, 0.0)


@when("a whole request is answered and the time of its row passes")
def step_in_time(context: Any) -> None:
    async def scenario() -> None:
        watched = context.watched = Watched()
        listener = CallerListener(
            watched.entry,  # type: ignore[arg-type]
            make_tables(),
            EventLog(CLOCK, "test"),
            tracker=watched.tracker,
        )
        address = await listener.start(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*address)
        writer.write(GET % b"/body")
        await reader.readuntil(b"/body")
        watched.pass_time()
        writer.close()
        await listener.stop_listening()
        await listener.close()

    run(scenario())


@then("no line tells of an overdue request")
def step_no_line(context: Any) -> None:
    assert context.watched.log.lines == [], context.watched.log.lines


@when("a request hangs while it waits for {what}")
def step_hang(context: Any, what: str) -> None:
    watched = context.watched = Watched()
    data, step, executed = GET % b"/body", RequestStep.FIND_SERVER, 1
    if what == "its execution":
        watched.entry.hanging_paths = {"/body"}
    elif what == "an earlier answer":
        watched.entry.hanging_paths = {"/earlier"}
        data, step, executed = GET % b"/earlier" + data, RequestStep.WAIT_TURN, 2
    else:
        watched.entry.silent_paths = {"/body"}
        step = RequestStep.SEND_ANSWER
    run(watched.send(data, step, executed))


class RecordingLinks:
    """Links to other nodes whose calls hang."""

    def __init__(self) -> None:
        self.started = asyncio.Event()

    async def execute(self, _address: Any, _call: Any) -> Any:
        """Note the call and hang."""
        self.started.set()
        await asyncio.Event().wait()


@when("a call waits at the backend server of another node")
def step_other_node(context: Any) -> None:
    async def scenario() -> None:
        links = RecordingLinks()
        call = make_call("k")
        dispatcher = make_dispatcher(1, links)
        task = asyncio.create_task(dispatcher.dispatch(call, RetryAllowance(0)))
        await links.started.wait()
        context.calling = (call.progress.step, call.progress.peer)
        task.cancel()
        executor = RecordingLinks()

        class Executor:
            async def execute(self, call: Any) -> Any:
                context.serving = (call.progress.step, call.progress.request_id)
                await executor.execute(None, call)

        async with session_for(Executor(), FakePeer()) as (connection, session):
            connection.send(call_start(1))
            await executor.started.wait()
            context.counted = session()._tracker.gauges()["requests_queue"]

    run(scenario())


@then('the calling node counts it at "{calling}" and the other one at "{serving}"')
def step_both_nodes(context: Any, calling: str, serving: str) -> None:
    assert context.calling == (RequestStep(calling), "node-1"), context.calling
    assert context.serving == (RequestStep(serving), "k1"), context.serving
    assert context.counted == 1.0, context.counted
