"""Steps for requests whose host has no row in the table."""

from __future__ import annotations

import json
from typing import Any

from behave import given
from behave import then
from behave import when
from daemon_harness import CLOCK
from daemon_harness import run
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.states import Outcome
from marjoramstep_core.table import Row
from marjoramstep_core.table import Table
from marjoramstep_daemon.backend_servers.in_flight import InFlightMap
from marjoramstep_daemon.callers.entry import EntryService
from marjoramstep_daemon.callers.entry_request import EntryRequest
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.control.table_store import TableStore
from marjoramstep_daemon.log import EventLog
from marjoramstep_daemon.metrics import NodeMetrics
from marjoramstep_policy.retries import RetryAllowance
from marjoramstep_wire.messages import TableReply


@given("an entry service whose table {table} and was {confirmed}")
def step_entry(context: Any, table: str, confirmed: str) -> None:
    log = EventLog(CLOCK, "test")
    rows = dict(Table().rows)
    if table == "has a row with a host":
        cells = {"name": "toll", "host": "toll.example", "targets": "tariffs:1"}
        row = Row.from_cells(cells)
        rows[row.name] = row
    document = json.dumps(Table(Table().version, rows).to_json()).encode()
    tables = TableStore(CLOCK, log)
    confirmed_ms = 0.0 if confirmed == "confirmed now" else -1.0
    reply = TableReply(version=1, table_json=document, confirmed_ms=confirmed_ms)
    tables.receive(reply)
    unused: Any = None
    context.entry = EntryService(
        CLOCK, tables, InFlightMap(RetryAllowance), unused, unused, unused, unused,
        RetryAllowance, NodeMetrics(), unused, log,
    )  # fmt: skip


@when("a request for an unknown host arrives")
def step_request(context: Any) -> None:
    request = EntryRequest(
        ServiceName(""), "GET", "/x", [], Body(), None, None, None, "else.example"
    )
    context.result = run(context.entry.execute(request))


@then('it ends as not run because of "{reason}"')
def step_reason(context: Any, reason: str) -> None:
    assert context.result.outcome is Outcome.NOT_RUN, context.result
    assert context.result.reply.reason.value == reason, context.result


@then("its result has a time to retry of {minimum:d} to {maximum:d} ms")
def step_retry_after(context: Any, minimum: int, maximum: int) -> None:
    wait_ms = context.result.reply.retry_after_ms
    assert minimum <= wait_ms <= maximum, wait_ms
