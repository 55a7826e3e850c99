"""Steps for refusals of requests that are not repeatable."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given
from behave import then
from behave import when
from daemon_harness import CLOCK
from daemon_harness import run
from marjoramstep_core.errors import UnavailableError
from marjoramstep_core.ids import RequestKey
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason
from marjoramstep_core.table import EditOperation
from marjoramstep_core.table import Table
from marjoramstep_core.table import apply_operations
from marjoramstep_daemon.backend_servers.stored_answers import encode_stored_answer
from marjoramstep_daemon.callers.entry import EntryService
from marjoramstep_daemon.callers.entry_request import EntryRequest
from marjoramstep_daemon.callers.entry_result import EntryResult
from marjoramstep_daemon.callers.not_run_verifier import NotRunVerifier
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.calls import Refused
from marjoramstep_daemon.control.table_store import TableStore
from marjoramstep_daemon.log import EventLog
from marjoramstep_daemon.metrics import NodeMetrics
from marjoramstep_wire.messages import ClaimReply


KEY = RequestKey("1796377447562-abcdefghijklmnop")
SETTLEMENT = EditOperation.from_json(
    {"kind": "add", "row": "settle", "cells": {"method": "POST", "repeatable": False}}
)
READ = EditOperation.from_json(
    {"kind": "add", "row": "read", "cells": {"method": "GET", "repeatable": True}}
)


class FakeClaims:
    """Answers each lookup with the same claim state."""

    def __init__(self, state: str) -> None:
        self._state = state
        self.lookups = 0

    async def look_up(self, _lookup: Any, _deadline_ms: float) -> ClaimReply:
        self.lookups += 1
        if self._state == "unavailable":
            raise UnavailableError("no quorum", step="claim")
        if self._state == "slow":
            await asyncio.sleep(0.05)
        answer = encode_stored_answer(Answer(201, [], Body(b"settled", length=7)), 100)
        return ClaimReply(
            request_id=1,
            verdict="none" if self._state == "slow" else self._state,
            detail="",
            stored_answer=answer if self._state == "done" else b"",
            leader_address="",
        )


class _RecordingVerifier:
    def __init__(self) -> None:
        self.keys: list[str] = []

    async def verify(self, _result: EntryResult, key: RequestKey) -> None:
        self.keys.append(key)


def _refusal() -> EntryResult:
    return EntryResult(Refused(Reason.OVERLOAD), Outcome.NOT_RUN, KEY, "settle")


@given('a refused settlement whose claim is "{state}" at the replicas')
def step_refused(context: Any, state: str) -> None:
    context.claims = FakeClaims(state)
    context.verifier = NotRunVerifier(CLOCK, context.claims, NodeMetrics())


@when("the refusal is verified with the claim")
def step_verify(context: Any) -> None:
    context.result = _refusal()
    run(context.verifier.verify(context.result, KEY))


@when("{count:d} refusals are verified with the claim concurrently")
def step_verify_many(context: Any, count: int) -> None:
    context.results = [_refusal() for _ in range(count)]

    async def scenario() -> None:
        await asyncio.gather(
            *(context.verifier.verify(r, KEY) for r in context.results)
        )

    run(scenario())


@when("an entry service refuses a settlement and a read with keys")
def step_entry(context: Any) -> None:
    tables = TableStore(CLOCK, EventLog(CLOCK, "test"))
    tables.put_in_force(apply_operations(Table(), [SETTLEMENT, READ]))
    context.recording = _RecordingVerifier()
    unused: Any = None
    entry = EntryService(
        CLOCK, tables, unused, unused, unused, unused, unused, unused,
        NodeMetrics(), context.recording,  # type: ignore[arg-type]
        EventLog(CLOCK, "test"),
    )  # fmt: skip
    entry.is_shutting_down = True

    async def scenario() -> None:
        for method in ("POST", "GET"):
            request = EntryRequest(
                ServiceName("audits"), method, "/x", [], Body(), KEY, None, None
            )
            result = await entry.execute(request)
            assert result.reply.reason is Reason.SHUTTING_DOWN, result

    run(scenario())


@then('the caller of the settlement is told "{outcome}" with reason "{reason}"')
def step_outcome(context: Any, outcome: str, reason: str) -> None:
    found = context.result.reply.reason
    assert context.result.outcome is Outcome(outcome), context.result
    assert found is (Reason(reason) if reason else None), context.result


@then('the caller of the settlement is told "done" with reason ""')
def step_outcome_done(context: Any) -> None:
    assert context.result.outcome is Outcome.DONE, context.result
    assert context.result.reply.body.data == b"settled"
    assert context.result.reply.status == 201


@then("{lookups:d} lookups were made and {unknown:d} outcomes are unknown")
def step_limited(context: Any, lookups: int, unknown: int) -> None:
    assert context.claims.lookups == lookups, context.claims.lookups
    outcomes = [result.outcome for result in context.results]
    assert outcomes.count(Outcome.UNKNOWN) == unknown, outcomes.count(Outcome.UNKNOWN)


@then("only the claim of the settlement was verified")
def step_verified_only(context: Any) -> None:
    assert context.recording.keys == [KEY], context.recording.keys
