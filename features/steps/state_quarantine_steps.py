"""Steps for crash reports and quarantine."""

from __future__ import annotations

from typing import Any

import orjson
from behave import then
from behave import when
from marjoramstep_state.commands import ReportCrash
from marjoramstep_state.quarantine import QuarantineEntry


@when('crash report "{report}" of fingerprint "{fp}" in service "{service}" is applied')
def step_report(context: Any, report: str, fp: str, service: str) -> None:
    context.replica.run(ReportCrash(context.replica.now_ms, service, fp, report))


@when("{count:d} other fingerprints have a crash report")
def step_many(context: Any, count: int) -> None:
    for number in range(count):
        step_report(context, "r1", f"other-{number}", "pay")


@then("no fingerprint is quarantined in the replicated state")
def step_none(context: Any) -> None:
    assert context.replica.machine.quarantined() == []


@then('fingerprint "{fp}" is quarantined in service "{service}" for {remaining:d} ms')
def step_quarantined(context: Any, fp: str, service: str, remaining: int) -> None:
    found = context.replica.machine.quarantined()
    assert found == [QuarantineEntry(service, fp, remaining)], found


@then("the snapshot holds {count:d} suspects")
def step_suspects(context: Any, count: int) -> None:
    document = orjson.loads(context.replica.machine.snapshot())
    assert len(document["quarantine"]) == count
