"""Steps for the policy table."""

from __future__ import annotations

import json
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import RowName
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.table import EditOperation
from marjoramstep_core.table import RowMatcher
from marjoramstep_core.table import Table
from marjoramstep_core.table import apply_operations
from marjoramstep_core.table.delta import TableDelta
from marjoramstep_core.table.edit import OperationKind
from marjoramstep_core.table.row import InvalidCellsError


def _parse_cells(text: str) -> dict[str, object]:
    return dict(pair.strip().split("=", 1) for pair in text.split(","))


def _apply_edit(context: Any, *operations: EditOperation) -> None:
    context.faults = []
    context.previous_table = context.step_table
    try:
        context.step_table = apply_operations(context.step_table, operations)
    except InvalidCellsError as error:
        context.faults = error.faults


def _add_row(name: str, cells: str) -> EditOperation:
    return EditOperation(OperationKind.ADD_ROW, RowName(name), _parse_cells(cells))


@given("a new table")
def step_new_table(context: Any) -> None:
    context.step_table = Table()


@given('the table row "{name}" with cells {cells}')
def step_add_row(context: Any, name: str, cells: str) -> None:
    _apply_edit(context, _add_row(name, cells))
    assert not context.faults, context.faults


@when('the table edit adds row "{name}" with cells {cells} and drops row "{dropped}"')
def step_add_and_drop(context: Any, name: str, cells: str, dropped: str) -> None:
    drop = EditOperation(OperationKind.DROP_ROW, RowName(dropped), {})
    _apply_edit(context, _add_row(name, cells), drop)


@when('the table edit adds row "{name}" with cells {cells}')
def step_try_add_row(context: Any, name: str, cells: str) -> None:
    _apply_edit(context, _add_row(name, cells))


@then("the table edit is refused for the cells {columns}")
def step_refused(context: Any, columns: str) -> None:
    refused = {fault.column for fault in context.faults}
    assert refused == {column.strip() for column in columns.split(",")}, refused


@then("the table has version {version:d}")
def step_version(context: Any, version: int) -> None:
    assert context.step_table.version == version, context.step_table.version


@then('the table has no row "{name}"')
def step_no_row(context: Any, name: str) -> None:
    assert RowName(name) not in context.step_table.rows


@then('a "{method}" call of "{path}" to service "{service}" matches row "{row}"')
def step_matches(context: Any, method: str, path: str, service: str, row: str) -> None:
    matched = RowMatcher(context.step_table).match(ServiceName(service), method, path)
    assert matched.name == row, matched.name


@then("the table read back from its JSON is equal")
def step_json(context: Any) -> None:
    document = json.loads(json.dumps(context.step_table.to_json()))
    assert Table.from_json(document) == context.step_table


@then(
    "the delta from the previous table has {changed:d} changed and {dropped:d} dropped "
    "row"
)
def step_delta(context: Any, changed: int, dropped: int) -> None:
    context.delta = TableDelta.between(context.previous_table, context.step_table)
    assert len(context.delta.changed) == changed, context.delta
    assert len(context.delta.dropped) == dropped, context.delta


@then("the delta read back from its JSON reproduces the table")
def step_delta_applies(context: Any) -> None:
    delta = TableDelta.from_json(json.loads(json.dumps(context.delta.to_json())))
    assert delta.apply(context.previous_table) == context.step_table


@then("the delta is refused by a table of another version")
def step_delta_refused(context: Any) -> None:
    try:
        context.delta.apply(context.step_table)
    except InvalidInputError as error:
        assert error.step == "apply table delta"
    else:
        raise AssertionError("a delta was applied to another version")


@then('a request of "{path}" to host "{host}" matches row "{row}"')
def step_matches_host(context: Any, path: str, host: str, row: str) -> None:
    matched = RowMatcher(context.step_table).match_host(host, path)
    assert ("none" if matched is None else matched.name) == row, matched
