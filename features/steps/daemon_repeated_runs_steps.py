"""Steps for calls that are sent again and for the calls of their runs."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from daemon_dispatcher_harness import make_dispatcher
from daemon_harness import FakePeer
from daemon_harness import make_call
from daemon_harness import run
from daemon_harness import session_for
from daemon_harness import wait_until
from marjoramstep_core.states import Reason
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.calls import Failed
from marjoramstep_daemon.calls import Refused
from marjoramstep_daemon.nodes.conversion import to_call_start
from marjoramstep_policy.retries import RetryAllowance


MEMBERS = 3
FIRST_ENDS = {
    "refuses": Refused(Reason.OVERLOAD, reached_server=True),
    "loses": Failed(Reason.CONNECTION_LOST),
}


class RecordingLinks:
    """Peers of which the first one does not answer.

    :param first: reply of the first server that is asked
    """

    def __init__(self, first: Refused | Failed) -> None:
        self._first = first
        self.is_repeat: list[bool] = []
        self.runs_again: list[bool] = []

    async def execute(self, _address: tuple[str, int], call: Any) -> Any:
        """Record what the call says and reply."""
        self.is_repeat.append(call.is_repeat)
        self.runs_again.append(call.runs_again)
        if len(self.is_repeat) == 1:
            return self._first
        return Answer(200, [], Body())


class RecordingExecutor:
    """Records the calls that are run."""

    def __init__(self) -> None:
        self.calls: list[Any] = []

    async def execute(self, call: Any) -> Answer:
        """Record a call and answer it."""
        self.calls.append(call)
        return Answer(200, [], Body())


@given("a service whose first server {ends} a call")
def step_service(context: Any, ends: str) -> None:
    context.links = RecordingLinks(FIRST_ENDS[ends])


@when("a call is sent to it with {tokens:d} retry tokens")
def step_send(context: Any, tokens: int) -> None:
    async def scenario() -> None:
        dispatcher = make_dispatcher(MEMBERS, context.links)
        await dispatcher.dispatch(make_call(), RetryAllowance(tokens))

    run(scenario())


def _yes_and_no(values: list[bool]) -> str:
    return ", ".join("yes" if value else "no" for value in values)


@then('its sends say that they are repeats "{expected}"')
def step_repeats(context: Any, expected: str) -> None:
    assert _yes_and_no(context.links.is_repeat) == expected, context.links.is_repeat


@then('its sends say that an earlier run may have made the same calls "{expected}"')
def step_runs_again(context: Any, expected: str) -> None:
    assert _yes_and_no(context.links.runs_again) == expected, context.links.runs_again


@given("a call that {repeats}")
def step_call(context: Any, repeats: str) -> None:
    context.call = make_call(
        is_repeat="is a repeat" in repeats, runs_again="runs again" in repeats
    )


@when("it is sent to another node")
def step_sent(context: Any) -> None:
    async def scenario() -> None:
        executor = RecordingExecutor()
        async with session_for(executor, FakePeer()) as (connection, _):
            connection.send(to_call_start(context.call, 1, 5_000.0, 1))
            await wait_until(lambda: executor.calls, "the start of the call")
        (context.received,) = executor.calls

    run(scenario())


@then("the call that is run there {repeats}")
def step_received(context: Any, repeats: str) -> None:
    received = context.received
    assert received.is_repeat == ("is a repeat" in repeats), received
    assert received.runs_again == ("runs again" in repeats), received
