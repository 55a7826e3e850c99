"""Steps for claimed runs, the admission gate and the crash reporter."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import then
from behave import when
from daemon_harness import CLOCK
from daemon_harness import make_call
from daemon_harness import make_row
from daemon_harness import run
from daemon_harness import wait_until
from marjoramstep_core.ids import NodeId
from marjoramstep_core.states import Reason
from marjoramstep_daemon.backend_servers.admission_gate import AdmissionGate
from marjoramstep_daemon.backend_servers.at_most_once_runner import AtMostOnceRunner
from marjoramstep_daemon.backend_servers.crash_reporter import CrashReporter
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.calls import Failed
from marjoramstep_daemon.calls import Refused
from marjoramstep_daemon.control.claim_verdict import ClaimReplyVerdict
from marjoramstep_daemon.control.quarantine_client import QuarantineClient
from marjoramstep_daemon.log import EventLog
from marjoramstep_policy.admission import ADMISSION_VARIANTS
from marjoramstep_policy.quarantine import QuarantineList
from marjoramstep_wire.messages import ClaimReply


LOG = EventLog(CLOCK, "test")


class FakeClaims:
    """Replica client that grants claims on command and records their ends."""

    def __init__(self) -> None:
        self.claim_count = 0
        self.granted = asyncio.Event()
        self.ends: list[str] = []

    async def claim(self, _request: Any, _deadline_ms: float) -> ClaimReply:
        """Grant the claim once ``granted`` is set."""
        self.claim_count += 1
        await self.granted.wait()
        return _claim_reply(ClaimReplyVerdict.GRANTED)

    async def end(self, end: Any) -> ClaimReply:
        """Record the end of a claim."""
        self.ends.append(end.end_state)
        return _claim_reply(ClaimReplyVerdict.RECORDED)


def _claim_reply(verdict: ClaimReplyVerdict) -> ClaimReply:
    return ClaimReply(
        request_id=0,
        verdict=verdict.value,
        stored_answer=b"",
        detail="",
        leader_address="",
    )


class ClaimedRunFixture:
    """A claimed run with fakes of the replicas and the backend server."""

    def __init__(self, deadline_ms: float) -> None:
        self.claims = FakeClaims()
        self.runner = AtMostOnceRunner(CLOCK, NodeId("n"), self.claims, LOG)  # type: ignore[arg-type]
        row = make_row(repeatable=False)
        self.call = make_call(deadline_ms=deadline_ms, row=row)
        self.released: list[bool] = []
        self.finish = asyncio.Event()
        self.task = asyncio.create_task(
            self.runner.run(self.call, self.run, self.released.append)
        )

    async def run(self, call: Any) -> Any:
        """Answer like the backend server once ``finish`` is set."""
        call.started = True
        await self.finish.wait()
        return Answer(200, [], Body(b"done", length=4))


def _wait_for_claim(context: Any, deadline_ms: float, *, cancel: bool) -> None:
    async def scenario() -> None:
        fixture = ClaimedRunFixture(deadline_ms)
        await wait_until(lambda: fixture.claims.claim_count)
        if cancel:
            fixture.task.cancel()
        await asyncio.wait({fixture.task})
        context.reply = None if cancel else fixture.task.result()
        assert not fixture.call.started
        fixture.claims.granted.set()
        fixture.finish.set()
        await fixture.runner.wait_until_idle()
        context.fixture = fixture

    run(scenario())


@when("a non-repeatable call is cancelled while it waits for its claim")
def step_cancelled_waiting(context: Any) -> None:
    _wait_for_claim(context, 5_000.0, cancel=True)


@when("a non-repeatable call expires while it waits for its claim")
def step_expires_waiting(context: Any) -> None:
    _wait_for_claim(context, 50.0, cancel=False)


@when("its claim is granted afterwards")
def step_granted(context: Any) -> None:
    assert context.fixture.claims.granted.is_set()


@then("that call has not started and its claim is recorded as abandoned")
def step_abandoned(context: Any) -> None:
    assert not context.fixture.call.started
    assert context.fixture.claims.ends == ["abandoned"], context.fixture.claims.ends
    assert context.fixture.released == [False]


@then("the call was refused because of its deadline")
def step_refused_deadline(context: Any) -> None:
    assert isinstance(context.reply, Refused), context.reply
    assert context.reply.reason is Reason.DEADLINE


def _run_claimed(context: Any, deadline_ms: float, *, cancel: bool) -> None:
    async def scenario() -> None:
        fixture = ClaimedRunFixture(deadline_ms)
        fixture.claims.granted.set()
        await wait_until(lambda: fixture.call.started)
        if cancel:
            fixture.task.cancel()
        await asyncio.wait({fixture.task})
        context.reply = None if cancel else fixture.task.result()
        context.released_before_end = list(fixture.released)
        fixture.finish.set()
        await fixture.runner.wait_until_idle()
        context.fixture = fixture

    run(scenario())


@when("the caller of a started run under a claim disconnects")
def step_disconnects(context: Any) -> None:
    _run_claimed(context, 5_000.0, cancel=True)


@when("a started run under a claim takes longer than its deadline")
def step_exceeds_deadline(context: Any) -> None:
    _run_claimed(context, 50.0, cancel=False)


@then("the run holds its slot until it ends and its end is recorded")
def step_holds_slot(context: Any) -> None:
    assert context.released_before_end == []
    assert context.fixture.released == [True]
    assert context.fixture.claims.ends == ["done"], context.fixture.claims.ends


@then("the call failed because of its deadline before the run ended")
def step_failed_deadline(context: Any) -> None:
    assert isinstance(context.reply, Failed), context.reply
    assert context.reply.reason is Reason.DEADLINE


@when("a call that waits for the only slot is cancelled at the moment of admission")
def step_cancelled_at_admission(context: Any) -> None:
    async def scenario() -> None:
        controller = ADMISSION_VARIANTS.get("adaptive")(CLOCK, 1)
        gate = AdmissionGate(CLOCK, controller)
        first, refused = await gate.acquire(make_call("first"))
        assert refused is None
        second = asyncio.create_task(gate.acquire(make_call("second")))
        await wait_until(lambda: gate.load().queue_length == 1)
        gate.release(first, succeeded=True)
        assert gate.load().in_flight == 1
        second.cancel()
        await asyncio.wait({second})
        assert second.cancelled()
        context.third = await gate.acquire(make_call("third", deadline_ms=2_000.0))

    run(scenario())


@then("the next call at the admission gate is admitted")
def step_next_admitted(context: Any) -> None:
    assert context.third[1] is None, context.third


def _collect_reports(context: Any, script: Any) -> None:
    async def scenario() -> None:
        client = QuarantineClient(QuarantineList(CLOCK), LOG)
        context.reports = []
        client.on_report = context.reports.append
        reporter = CrashReporter(CLOCK, NodeId("n"), client)
        script(reporter)
        await wait_until(lambda: context.reports)
        await asyncio.sleep(0.2)

    run(scenario())


def _call_of(name: str) -> Any:
    # The name is also the body, so that calls of the same name have the same content.
    return make_call(name, fingerprint=name)


@when(
    "{first:d} calls of one content and {second:d} of another lose their connection in "
    "one incarnation"
)
def step_many_calls(context: Any, first: int, second: int) -> None:
    def script(reporter: CrashReporter) -> None:
        for _ in range(first):
            reporter.record_connection_loss(_call_of("one"), 7)
        for _ in range(second):
            reporter.record_connection_loss(_call_of("two"), 7)

    _collect_reports(context, script)


@then("each content is reported once under the same report id")
def step_each_once(context: Any) -> None:
    found = sorted((r.fingerprint, r.report_id) for r in context.reports)
    assert found == [("one", "n/7"), ("two", "n/7")], found


@when("calls of one content lose their connection in two incarnations")
def step_two_incarnations(context: Any) -> None:
    def script(reporter: CrashReporter) -> None:
        reporter.record_connection_loss(_call_of("one"), 7)
        reporter.record_connection_loss(_call_of("one"), 8)

    _collect_reports(context, script)


@then("the reports of that content have different ids")
def step_different_ids(context: Any) -> None:
    assert sorted(r.report_id for r in context.reports) == ["n/7", "n/8"]


@when("a call that recently succeeded and one that never did lose their connections")
def step_beside_successful(context: Any) -> None:
    def script(reporter: CrashReporter) -> None:
        reporter.record_success(_call_of("popular"))
        reporter.record_connection_loss(_call_of("popular"), 7)
        reporter.record_connection_loss(_call_of("culprit"), 7)

    _collect_reports(context, script)


@then("only the content that has never succeeded is reported")
def step_only_unsuccessful(context: Any) -> None:
    assert [r.fingerprint for r in context.reports] == ["culprit"]


@when("only a call that recently succeeded loses its connection")
def step_only_successful(context: Any) -> None:
    def script(reporter: CrashReporter) -> None:
        reporter.record_success(_call_of("popular"))
        reporter.record_connection_loss(_call_of("popular"), 7)

    _collect_reports(context, script)


@then("that content is reported")
def step_reported(context: Any) -> None:
    assert [r.fingerprint for r in context.reports] == ["popular"]
