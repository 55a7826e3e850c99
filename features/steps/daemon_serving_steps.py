"""Steps for claimed runs, the admission gate and the crash watch."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import then
from behave import when
from daemon_harness import CLOCK
from daemon_harness import make_call
from daemon_harness import make_row
from daemon_harness import run
from daemon_harness import until
from marjoramstep_core.ids import NodeId
from marjoramstep_core.states import Reason
from marjoramstep_daemon.backend_servers.admission_gate import AdmissionGate
from marjoramstep_daemon.backend_servers.claimed_runs import ClaimedRuns
from marjoramstep_daemon.backend_servers.crash_watch import CrashWatch
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.calls import Failed
from marjoramstep_daemon.calls import Refused
from marjoramstep_daemon.control.claim_verdict import ClaimVerdict
from marjoramstep_daemon.control.quarantine_keeper import QuarantineKeeper
from marjoramstep_daemon.log import EventLog
from marjoramstep_policy.admission import ADMISSION_VARIANTS
from marjoramstep_policy.quarantine import QuarantineList
from marjoramstep_wire.messages import ClaimReply


LOG = EventLog(CLOCK, "test")


class FakeClaims:
    """Grants claims when told to and records their ends."""

    def __init__(self) -> None:
        self.asked = 0
        self.granted = asyncio.Event()
        self.ends: list[str] = []

    async def claim(self, _request: Any, _deadline_ms: float) -> ClaimReply:
        """Wait for the permission to grant."""
        self.asked += 1
        await self.granted.wait()
        return _reply(ClaimVerdict.GRANTED)

    async def end(self, end: Any) -> ClaimReply:
        """Record an end."""
        self.ends.append(end.end_state)
        return _reply(ClaimVerdict.RECORDED)


def _reply(verdict: ClaimVerdict) -> ClaimReply:
    return ClaimReply(
        request_id=0,
        verdict=verdict.value,
        stored_answer=b"",
        detail="",
        leader_address="",
    )


class Bench:
    """A claimed run with a fake of the replicas and of the backend server."""

    def __init__(self, deadline_ms: float) -> None:
        self.claims = FakeClaims()
        self.runs = ClaimedRuns(CLOCK, NodeId("n"), self.claims, LOG)  # type: ignore[arg-type]
        row = make_row(repeatable=False)
        self.call = make_call(deadline_ms=deadline_ms, row=row)
        self.released: list[bool] = []
        self.finish = asyncio.Event()
        self.task = asyncio.create_task(
            self.runs.run(self.call, self.run, self.released.append)
        )

    async def run(self, call: Any) -> Any:
        """Stand for the backend server."""
        call.started = True
        await self.finish.wait()
        return Answer(200, [], Body(b"done", length=4))


def _wait_for_claim(context: Any, deadline_ms: float, *, cancel: bool) -> None:
    async def scenario() -> None:
        bench = Bench(deadline_ms)
        await until(lambda: bench.claims.asked)
        if cancel:
            bench.task.cancel()
        await asyncio.wait({bench.task})
        context.reply = None if cancel else bench.task.result()
        assert not bench.call.started
        bench.claims.granted.set()
        bench.finish.set()
        await bench.runs.finish()
        context.bench = bench

    run(scenario())


@when("a call that may not be repeated is cancelled while it waits for its claim")
def step_cancelled(context: Any) -> None:
    _wait_for_claim(context, 5_000.0, cancel=True)


@when("a call that may not be repeated expires while it waits for its claim")
def step_expires(context: Any) -> None:
    _wait_for_claim(context, 50.0, cancel=False)


@when("its claim is granted afterwards")
def step_granted(context: Any) -> None:
    assert context.bench.claims.granted.is_set()


@then("that call has not started and its claim is recorded as abandoned")
def step_abandoned(context: Any) -> None:
    assert not context.bench.call.started
    assert context.bench.claims.ends == ["abandoned"], context.bench.claims.ends
    assert context.bench.released == [False]


@then("the call was refused because of its deadline")
def step_refused(context: Any) -> None:
    assert isinstance(context.reply, Refused), context.reply
    assert context.reply.reason is Reason.DEADLINE


def _started(context: Any, deadline_ms: float, *, cancel: bool) -> None:
    async def scenario() -> None:
        bench = Bench(deadline_ms)
        bench.claims.granted.set()
        await until(lambda: bench.call.started)
        if cancel:
            bench.task.cancel()
        await asyncio.wait({bench.task})
        context.reply = None if cancel else bench.task.result()
        context.released_early = list(bench.released)
        bench.finish.set()
        await bench.runs.finish()
        context.bench = bench

    run(scenario())


@when("the caller of a started run under a claim leaves")
def step_leaves(context: Any) -> None:
    _started(context, 5_000.0, cancel=True)


@when("a started run under a claim takes longer than its deadline")
def step_longer(context: Any) -> None:
    _started(context, 50.0, cancel=False)


@then("the run keeps its slot until it ends and its end is recorded")
def step_keeps(context: Any) -> None:
    assert context.released_early == []
    assert context.bench.released == [True]
    assert context.bench.claims.ends == ["done"], context.bench.claims.ends


@then("the call failed because of its deadline before the run ended")
def step_failed(context: Any) -> None:
    assert isinstance(context.reply, Failed), context.reply
    assert context.reply.reason is Reason.DEADLINE


@when("a call that waits for the only slot is cancelled in the moment of admission")
def step_admission(context: Any) -> None:
    async def scenario() -> None:
        controller = ADMISSION_VARIANTS.get("adaptive")(CLOCK, 1)
        gate = AdmissionGate(CLOCK, controller)
        first, refused = await gate.enter(make_call("first"))
        assert refused is None
        second = asyncio.create_task(gate.enter(make_call("second")))
        await until(lambda: gate.load().queue_length == 1)
        gate.leave(first, succeeded=True)
        assert gate.load().in_flight == 1
        second.cancel()
        await asyncio.wait({second})
        assert second.cancelled()
        context.third = await gate.enter(make_call("third", deadline_ms=2_000.0))

    run(scenario())


@then("the next call is admitted at the gate")
def step_admitted(context: Any) -> None:
    assert context.third[1] is None, context.third


def _crash(context: Any, script: Any) -> None:
    async def scenario() -> None:
        keeper = QuarantineKeeper(QuarantineList(CLOCK), LOG)
        context.reports = []
        keeper.on_report = context.reports.append
        watch = CrashWatch(CLOCK, NodeId("n"), keeper)
        script(watch)
        await until(lambda: context.reports)
        await asyncio.sleep(0.2)

    run(scenario())


def _content(name: str) -> Any:
    # The name is the body too, so that calls of one name have one content.
    return make_call(name, fingerprint=name)


@when(
    "{first:d} calls of one content and {second:d} of another break in one incarnation"
)
def step_many(context: Any, first: int, second: int) -> None:
    def script(watch: CrashWatch) -> None:
        for _ in range(first):
            watch.broke(_content("one"), 7)
        for _ in range(second):
            watch.broke(_content("two"), 7)

    _crash(context, script)


@then("each content is reported once and with the same report")
def step_each_once(context: Any) -> None:
    found = sorted((r.fingerprint, r.report_id) for r in context.reports)
    assert found == [("one", "n/7"), ("two", "n/7")], found


@when("a content breaks in two incarnations")
def step_two(context: Any) -> None:
    def script(watch: CrashWatch) -> None:
        watch.broke(_content("one"), 7)
        watch.broke(_content("one"), 8)

    _crash(context, script)


@then("the reports of that content have different ids")
def step_ids(context: Any) -> None:
    assert sorted(r.report_id for r in context.reports) == ["n/7", "n/8"]


@when("a content that has just succeeded breaks beside one that never did")
def step_popular(context: Any) -> None:
    def script(watch: CrashWatch) -> None:
        watch.succeeded(_content("popular"))
        watch.broke(_content("popular"), 7)
        watch.broke(_content("culprit"), 7)

    _crash(context, script)


@then("only the content that never succeeded is reported")
def step_only(context: Any) -> None:
    assert [r.fingerprint for r in context.reports] == ["culprit"]


@when("a content that has just succeeded breaks alone")
def step_alone(context: Any) -> None:
    def script(watch: CrashWatch) -> None:
        watch.succeeded(_content("popular"))
        watch.broke(_content("popular"), 7)

    _crash(context, script)


@then("that content is reported")
def step_found(context: Any) -> None:
    assert [r.fingerprint for r in context.reports] == ["popular"]
