"""Steps for reporting downstream overload."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
from daemon_entry_steps import _make_entry
from daemon_harness import CLOCK
from daemon_harness import make_call
from daemon_harness import run
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.ids import RequestKey
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.states import Reason
from marjoramstep_core.states import ServerState
from marjoramstep_daemon.backend_servers.announcement import Announcement
from marjoramstep_daemon.backend_servers.call_executor import CallExecutor
from marjoramstep_daemon.backend_servers.in_flight import InFlightMap
from marjoramstep_daemon.backend_servers.protocol import NativeBackendProtocol
from marjoramstep_daemon.backpressure_tracker import BackpressureTracker
from marjoramstep_daemon.callers.entry_request import EntryRequest
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.calls import Refused
from marjoramstep_daemon.metrics import NodeMetrics
from marjoramstep_policy.admission import ADMISSION_VARIANTS
from marjoramstep_policy.pressure import BACKPRESSURE_VARIANTS
from marjoramstep_policy.retries import RetryAllowance


SERVICE = ServiceName("s")
REPLIES = {
    "refused by a full node": Refused(Reason.OVERLOAD),
    "with a failure from a shortage": Answer(500, [], Body(), reason=Reason.SHED_BELOW),
    "turned away by the backend server": Refused(Reason.OVERLOAD, reached_server=True),
    "with a failure of another kind": Answer(500, [], Body()),
}


def _do_nothing(*_arguments: Any) -> None:
    return None


def _make_call_executor(status: int) -> CallExecutor:
    """Return a serving side whose backend server answers immediately."""

    async def send(_call: Any, _headers: Any) -> Answer:
        return Answer(status, [], Body())

    announcement = Announcement(SERVICE, ("127.0.0.1", 1), 4, 4, ServerState.READY, 1)
    local_server: Any = SimpleNamespace(
        client=SimpleNamespace(send=send),
        announcement=announcement,
        state=ServerState.READY,
    )
    controller = ADMISSION_VARIANTS.get("fixed")(CLOCK, 4)
    unused: Any = None
    stub: Any = SimpleNamespace(record=_do_nothing, record_success=_do_nothing)
    return CallExecutor(
        ManualClock(1_000.0),
        local_server,
        SimpleNamespace(load=controller.load),  # type: ignore[arg-type]
        InFlightMap(RetryAllowance),
        unused,
        unused,
        stub,
        BackpressureTracker(BACKPRESSURE_VARIANTS.get("reported")(CLOCK)),
        NodeMetrics(),
        unused,
        unused,
        stub,
        NativeBackendProtocol(),
    )


@given("a backend server that answers with status {status:d}")
def step_server(context: Any, status: int) -> None:
    context.status = status


@when("a call runs there {presence} a sub-call that was shed")
def step_run(context: Any, presence: str) -> None:
    async def scenario() -> None:
        call = make_call(shed_downstream=presence == "with")
        context.reply = await _make_call_executor(context.status).run(call)

    run(scenario())


@then("its answer {verdict} of a downstream overload")
def step_tells(context: Any, verdict: str) -> None:
    is_reported = context.reply.reason is Reason.SHED_BELOW
    assert is_reported == (verdict == "tells"), context.reply


@when("a sub-call of a running request ends {how}")
def step_sub_call(context: Any, how: str) -> None:
    async def dispatch(_call: Any, _allowance: Any) -> tuple[Any, bool]:
        return REPLIES[how], False

    async def scenario() -> None:
        in_flight = InFlightMap(RetryAllowance)
        entry = _make_entry(in_flight, SimpleNamespace(dispatch=dispatch))  # type: ignore[arg-type]
        context.parent = make_call("parent")
        context_id = in_flight.add(context.parent, CLOCK.now_ms())
        request = EntryRequest(
            SERVICE, "GET", "/x", [], Body(), RequestKey("k"), None, context_id
        )
        await entry.execute(request)

    run(scenario())


@then("the parent {verdict} for a downstream overload")
def step_marked(context: Any, verdict: str) -> None:
    assert context.parent.shed_downstream == (verdict == "is marked"), context.parent
