"""Steps for edits of the replicated table."""

from __future__ import annotations

from typing import Any

import orjson
from behave import then
from behave import when
from marjoramstep_core.ids import EditKey
from marjoramstep_core.ids import TableVersion
from marjoramstep_core.table import EditOperation
from marjoramstep_state.commands import AdvanceTime
from marjoramstep_state.edit_commands import EditTable


def _edit(context: Any, operator: str, key: str, version: int, cells: Any) -> None:
    operation = EditOperation.from_json(
        {"kind": "set", "row": "default", "cells": cells}
    )
    replica = context.replica
    origin = "127.0.0.1:9"
    command = EditTable(replica.now_ms, key, version, operator, origin, (operation,))
    context.edit_result = replica.run(command)


@when(
    'operator "{operator}" edits the weight of row "default" to {weight:d} with key '
    '"{key}" on version {version:d}'
)
def step_edit(context: Any, operator: str, weight: int, key: str, version: int) -> None:
    _edit(context, operator, key, version, {"weight": weight})


@when('operator "{operator}" sets {cells} with key "{key}" on version {version:d}')
def step_set(context: Any, operator: str, cells: str, key: str, version: int) -> None:
    pairs = dict(pair.strip().split("=") for pair in cells.split(","))
    _edit(context, operator, key, version, pairs)


@when("{count:d} edits are accepted one after the other")
def step_many(context: Any, count: int) -> None:
    for number in range(count):
        _edit(context, "ana", f"k{number}", number + 1, {"weight": number + 1})
        assert context.edit_result.verdict.value == "accepted", context.edit_result


@when("the replica is restored from its snapshot")
def step_restart(context: Any) -> None:
    context.replica.restore_from_snapshot()


@when("{step_ms:d} ms of log time pass")
def step_time(context: Any, step_ms: int) -> None:
    context.replica.now_ms += step_ms
    context.replica.run(AdvanceTime(context.replica.now_ms))


@when("{step_ms:d} ms pass without a command")
def step_idle_time(context: Any, step_ms: int) -> None:
    context.replica.now_ms += step_ms


@then("the snapshot holds the verdicts of the edit keys {keys}")
def step_stored_verdicts(context: Any, keys: str) -> None:
    document = orjson.loads(context.replica.machine.snapshot())
    assert [verdict[0] for verdict in document["edits"]["verdicts"]] == keys.split(", ")


@then("the state edit is accepted at version {version:d}")
def step_accepted(context: Any, version: int) -> None:
    result = context.edit_result
    assert (result.verdict.value, result.version) == ("accepted", version), result


@then('the state edit is a conflict won by "{operator}" with key "{key}"')
def step_conflict(context: Any, operator: str, key: str) -> None:
    result = context.edit_result
    assert result.verdict.value == "conflict", result
    assert (result.winner.operator, result.winner.edit_key) == (operator, key), result


@then("the state edit is refused naming the cells {columns}")
def step_refused(context: Any, columns: str) -> None:
    result = context.edit_result
    assert result.verdict.value == "refused", result
    assert {f.column for f in result.faults} == set(columns.split(", ")), result


@then('the replicated weight of row "{row}" is {weight:d}')
def step_weight(context: Any, row: str, weight: int) -> None:
    assert context.replica.machine.table.rows[row].weight == weight


@then('the verdict of edit key "{key}" is known')
def step_known(context: Any, key: str) -> None:
    assert context.replica.machine.find_edit_result(EditKey(key)) is not None


@then('the verdict of edit key "{key}" is not known')
def step_not_known(context: Any, key: str) -> None:
    assert context.replica.machine.find_edit_result(EditKey(key)) is None


@then("the table versions {first:d} to {last:d} are retained and {dropped:d} is not")
def step_versions(context: Any, first: int, last: int, dropped: int) -> None:
    machine = context.replica.machine
    for version in range(first, last + 1):
        table = machine.table_version(TableVersion(version))
        assert table.rows["default"].weight == version - 1, version
    assert machine.table_version(TableVersion(dropped)) is None
    context.retained = {v: machine.table_version(v) for v in range(first, last + 1)}


@then("the retained table versions are the same after a restart")
def step_versions_restart(context: Any) -> None:
    context.replica.restore_from_snapshot()
    machine = context.replica.machine
    assert {v: machine.table_version(v) for v in context.retained} == context.retained
