"""Steps for the entry service: memberships, key history, uploads and sub-calls."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from behave import then
from behave import when
from daemon_harness import CLOCK
from daemon_harness import make_call
from daemon_harness import make_tables
from daemon_harness import run
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.ids import RequestKey
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.ids import ZoneName
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason
from marjoramstep_daemon.backend_servers.in_flight import InFlightMap
from marjoramstep_daemon.backpressure_tracker import BackpressureTracker
from marjoramstep_daemon.callers.entry import EntryService
from marjoramstep_daemon.callers.entry_request import EntryRequest
from marjoramstep_daemon.callers.entry_request import parse_request
from marjoramstep_daemon.callers.key_history import KeyHistory
from marjoramstep_daemon.callers.membership_subscriber import SERVICE_LIMIT
from marjoramstep_daemon.callers.membership_subscriber import MembershipSubscriber
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.control.table_store import TableStore
from marjoramstep_daemon.log import EventLog
from marjoramstep_daemon.metrics import NodeMetrics
from marjoramstep_daemon.upload import Upload
from marjoramstep_policy.admission import SIZE_CLASSIFIERS
from marjoramstep_policy.membership import MembershipView
from marjoramstep_policy.pressure import BACKPRESSURE_VARIANTS
from marjoramstep_policy.retries import ResendTracker
from marjoramstep_policy.retries import RetryAllowance
from marjoramstep_policy.routing import ROUTERS
from marjoramstep_wire.messages import Member
from marjoramstep_wire.messages import MemberUpdate


ROOT_BUDGET_MS = 20_000.0
PART_BYTES = 65_536
CONTENT = random.Random(7).randbytes(16 * PART_BYTES)


class FakeLinks:
    """Replaces the link pool, which opens real connections."""

    def retain(self, _addresses: Any) -> None:
        """Close nothing."""


def _update(service: str) -> MemberUpdate:
    member = Member(
        server_id=f"{service}-1",
        node_id=f"{service}-1",
        service_name=service,
        address="127.0.0.1:9",
        zone="a",
        slots=1,
        connections=1,
        state="ready",
        incarnation=1,
        sequence=1,
    )
    return MemberUpdate(service_name=service, full=True, members=[member])


def _make_subscriber(watched: set[str]) -> MembershipSubscriber:
    router = ROUTERS.get("two-choices")(CLOCK, random.Random(1), ZoneName("a"))
    log = EventLog(CLOCK, "test")
    subscriber = MembershipSubscriber(CLOCK, MembershipView(), router, FakeLinks(), log)  # type: ignore[arg-type]
    subscriber.watch = watched.add
    subscriber.unwatch = watched.discard
    return subscriber


@when("{count:d} random service names are called and then a real service")
def step_random_names(context: Any, count: int) -> None:
    async def scenario() -> None:
        watched: set[str] = set()
        subscriber = _make_subscriber(watched)
        now_ms = CLOCK.now_ms()
        first = ServiceName("first-real")
        await subscriber.ensure_subscribed(first, now_ms)
        subscriber.on_update("replica", _update(first))
        for number in range(count):
            await subscriber.ensure_subscribed(ServiceName(f"random-{number}"), now_ms)
        assert count > SERVICE_LIMIT
        second = ServiceName("second-real")
        started_ms = CLOCK.now_ms()
        task = asyncio.create_task(
            subscriber.ensure_subscribed(second, started_ms + 5_000.0)
        )
        await asyncio.sleep(0.05)
        context.waited = not task.done()
        subscriber.on_update("replica", _update(second))
        await task
        context.waited_ms = CLOCK.now_ms() - started_ms
        context.watched = watched

    run(scenario())


@then("the call of the real service waited for its members and found them")
def step_found(context: Any) -> None:
    assert "second-real" in context.watched
    assert context.waited
    # Shorter than the timeout for a service without members.
    assert context.waited_ms < 900.0, context.waited_ms


@then("the services with members are still watched")
def step_watched(context: Any) -> None:
    assert "first-real" in context.watched
    assert len(context.watched) <= SERVICE_LIMIT


@when("a service without members is called again after its first second")
def step_called_again(context: Any) -> None:
    async def scenario() -> None:
        subscriber = _make_subscriber(set())
        await subscriber.ensure_subscribed(
            ServiceName("empty"), CLOCK.now_ms() + 5_000.0
        )
        started_ms = CLOCK.now_ms()
        for _ in range(20):
            await subscriber.ensure_subscribed(
                ServiceName("empty"), CLOCK.now_ms() + 5_000.0
            )
        context.waited_ms = CLOCK.now_ms() - started_ms

    run(scenario())


@then("that call does not wait for members")
def step_no_wait(context: Any) -> None:
    assert context.waited_ms < 900.0, context.waited_ms


@when("attempts with the same key end as not run, unknown and not run")
def step_attempts(context: Any) -> None:
    history, key = KeyHistory(), RequestKey("k")
    context.may_have_run = []
    for outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.NOT_RUN):
        context.may_have_run.append(history.begin(key))
        history.end(key, outcome)


@then("the key may have run for the third attempt and not for the second")
def step_third_attempt(context: Any) -> None:
    assert context.may_have_run == [False, False, True], context.may_have_run


@when("a second attempt with the same key begins while the first runs")
def step_overlap(context: Any) -> None:
    history, key = KeyHistory(), RequestKey("k")
    context.may_have_run = [history.begin(key), history.begin(key)]


@then("the key may have run for the second attempt")
def step_second_attempt(context: Any) -> None:
    assert context.may_have_run == [False, True], context.may_have_run


class Source:
    """Returns the content in parts and blocks at one of them."""

    def __init__(self, blocked_part: int = -1) -> None:
        self.offset = 0
        self.blocked_part = blocked_part
        self.resume = asyncio.Event()

    async def read(self) -> bytes:
        """Return the next part; a cancelled read loses no data."""
        if self.offset // PART_BYTES == self.blocked_part:
            await self.resume.wait()
        part = CONTENT[self.offset : self.offset + PART_BYTES]
        self.offset += len(part)
        return part


async def _read(reader: Any) -> tuple[bytes, MarjoramstepError | None]:
    content = b""
    try:
        async for part in reader:
            content += part
    except MarjoramstepError as error:
        return content, error
    return content, None


@when("an upload is read for 256 KiB, cancelled in the middle of a wait and restarted")
def step_restart(context: Any) -> None:
    async def scenario() -> None:
        source = Source(blocked_part=4)
        upload = Upload(source.read, 0)
        first = upload.open()
        task = asyncio.create_task(_read(first))
        await asyncio.sleep(0.05)
        assert source.offset == 4 * PART_BYTES, source.offset
        task.cancel()
        # The second reader starts before the first one has handled its cancellation.
        second = asyncio.create_task(_read(upload.open()))
        await asyncio.sleep(0.05)
        source.resume.set()
        context.second = await second
        context.first = await _read(first)

    run(scenario())


@then("the second reader gets the complete upload")
def step_complete(context: Any) -> None:
    content, error = context.second
    assert error is None, error
    assert content == CONTENT, len(content)


@then("the first reader of the upload gets an error")
def step_first_reader(context: Any) -> None:
    assert context.first[1] is not None
    assert context.first[0] == b""


@when("an upload of 1 MiB is read to its end")
def step_consume(context: Any) -> None:
    async def scenario() -> None:
        context.upload = Upload(Source().read, 0)
        context.content, _ = await _read(context.upload.open())

    run(scenario())


@then("the upload was read completely and cannot be restarted")
def step_no_restart(context: Any) -> None:
    assert not context.upload.can_restart
    assert context.content == CONTENT
    try:
        context.upload.open()
    except MarjoramstepError:
        return
    raise AssertionError("the upload was restarted")


@when("an upload of 1 MiB with a limit of 512 KiB is read to its end")
def step_limit(context: Any) -> None:
    async def scenario() -> None:
        upload = Upload(Source().read, 0)
        upload.limit_bytes = 512 * 1024
        context.limited = await _read(upload.open())

    run(scenario())


@then("the reader of the upload gets at most 512 KiB and an error")
def step_limited(context: Any) -> None:
    content, error = context.limited
    assert error is not None
    assert len(content) == 512 * 1024


class FakeDispatcher:
    """Answers each call and records it."""

    def __init__(self) -> None:
        self.calls: list[Any] = []

    async def dispatch(self, call: Any, _allowance: Any) -> tuple[Any, bool]:
        """Record the call and answer it."""
        self.calls.append(call)
        return Answer(200, [], Body(b"ok", length=2)), False


class NeverClaimed:
    """Replaces the lookup at replicas that have no claim for any key."""

    async def verify(self, _result: Any, _key: str) -> None:
        """Leave the result unchanged."""


def _make_entry(
    in_flight: InFlightMap,
    dispatcher: FakeDispatcher,
    tables: TableStore | None = None,
) -> EntryService:
    return EntryService(
        CLOCK,
        tables or make_tables(),
        in_flight,
        ResendTracker(CLOCK),
        BackpressureTracker(BACKPRESSURE_VARIANTS.get("reported")(CLOCK)),
        SIZE_CLASSIFIERS.get("learned")(),
        dispatcher,  # type: ignore[arg-type]
        RetryAllowance,
        NodeMetrics(),
        NeverClaimed(),  # type: ignore[arg-type]
        EventLog(CLOCK, "test"),
    )


@when("a sub-call arrives while its parent runs and another after its end")
def step_sub_calls(context: Any) -> None:
    async def scenario() -> None:
        in_flight = InFlightMap(RetryAllowance)
        context.dispatcher = FakeDispatcher()
        entry = _make_entry(in_flight, context.dispatcher)
        context.parent = make_call("parent", deadline_ms=1_000.0, weight=777)
        context_id = in_flight.add(context.parent, CLOCK.now_ms())

        async def sub_call(key: str) -> Any:
            headers = {"Marjoramstep-Service": "s", "Marjoramstep-Key": key}
            headers["Marjoramstep-Context"] = context_id
            request = parse_request("GET", "/x", headers, [], Body())
            return await entry.execute(request)

        context.first = await sub_call("first")
        in_flight.remove(context_id)
        context.second = await sub_call("second")

    run(scenario())


@then("the first is dispatched with the parent's weight and deadline")
def step_dispatched(context: Any) -> None:
    assert context.first.outcome is Outcome.DONE, context.first
    (call,) = context.dispatcher.calls
    assert (call.weight, call.depth) == (777, 1)
    assert call.deadline_ms == context.parent.deadline_ms


@then("the second is refused because its parent has ended and did not run")
def step_parent_ended(context: Any) -> None:
    assert context.second.outcome is Outcome.NOT_RUN, context.second
    assert context.second.reply.reason is Reason.PARENT_ENDED
    assert len(context.dispatcher.calls) == 1


def _dispatch_sub_call(context: Any, deadline_ms: float | None) -> None:
    in_flight, dispatcher = InFlightMap(RetryAllowance), FakeDispatcher()
    entry = _make_entry(in_flight, dispatcher)
    context.root = make_call(deadline_ms=ROOT_BUDGET_MS)
    request = EntryRequest(
        service=ServiceName("leaf"),
        method="GET",
        path="/",
        headers=[],
        body=Body(),
        request_key=RequestKey(f"{CLOCK.wall_ms()}-{'k' * 16}"),
        deadline_ms=deadline_ms,
        context_id=in_flight.add(context.root, CLOCK.now_ms()),
    )
    context.began_ms = CLOCK.now_ms()
    run(entry.execute(request))
    (context.sub_call,) = dispatcher.calls


@when("a request with 20 s left makes a sub-call to a row with a deadline of 5 s")
def step_sub_call(context: Any) -> None:
    _dispatch_sub_call(context, None)
    assert context.sub_call.row.deadline_ms == 5_000


@then("the sub-call has the deadline of the request")
def step_root_deadline(context: Any) -> None:
    assert context.sub_call.deadline_ms == context.root.deadline_ms


@when("a request with 20 s left makes a sub-call with a timeout of 100 ms")
def step_short_sub_call(context: Any) -> None:
    _dispatch_sub_call(context, 100.0)


@then("the deadline of the sub-call is 100 ms after its start")
def step_short_deadline(context: Any) -> None:
    allowed_ms = context.sub_call.deadline_ms - context.began_ms
    # The call starts when the entry service reads its clock, slightly later.
    assert 100.0 <= allowed_ms < ROOT_BUDGET_MS / 2, allowed_ms


@when("a node without a table looks for the row of a request that names {what}")
def step_without_table(context: Any, what: str) -> None:
    tables = TableStore(CLOCK, EventLog(CLOCK, "test"))
    entry = _make_entry(InFlightMap(RetryAllowance), FakeDispatcher(), tables)
    host = "h" if what == "a host" else ""
    request = EntryRequest(
        ServiceName("s"), "GET", "/", [], Body(), None, None, None, host
    )
    context.row = entry.find_row(request)


@then("it finds none")
def step_no_row(context: Any) -> None:
    assert context.row is None
