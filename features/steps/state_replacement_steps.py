"""Steps for replacements of the whole replicated table."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when
from marjoramstep_core.ids import EditKey
from marjoramstep_core.ids import OperatorName
from marjoramstep_state.edit_commands import ReplaceTable


@when(
    "the table is replaced by revision {revision:d} on {base:d} with weight {weight:d}"
)
def step_replace(context: Any, revision: int, base: int, weight: int) -> None:
    replica = context.replica
    command = ReplaceTable(
        replica.now_ms,
        EditKey(f"digest-{revision}-{base}-{weight}"),
        revision,
        base,
        OperatorName("ana"),
        "127.0.0.1",
        ({"name": "default", "weight": weight},),
        f"revision {revision} weight {weight}",
    )
    context.replacement = replica.run(command)


@then("the replacement is accepted")
def step_accepted(context: Any) -> None:
    assert context.replacement.verdict.value == "accepted", context.replacement


@then("the replacement is a conflict")
def step_conflict(context: Any) -> None:
    assert context.replacement.verdict.value == "conflict", context.replacement


@then("the replacement is refused")
def step_refused(context: Any) -> None:
    assert context.replacement.verdict.value == "refused", context.replacement


@then('the replicated source is "{source}"')
def step_source(context: Any, source: str) -> None:
    assert context.replica.machine.source == source, context.replica.machine.source
