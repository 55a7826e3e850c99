"""Steps for the audit trail."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import orjson
from behave import given
from behave import then
from behave import when
from marjoramstep_state import InvalidSnapshotError
from marjoramstep_state import StateLimits
from marjoramstep_state.audit import AuditEntry
from marjoramstep_state.audit import AuditFilter
from marjoramstep_state.audit import verify_entries
from marjoramstep_state.commands import RecordReplicaChange
from marjoramstep_state.commands import ReplicaAction
from marjoramstep_state.commands import ReplicaChangeVerdict


def _entries(context: Any, **filters: Any) -> list[AuditEntry]:
    return context.replica.machine.audit_entries(0, 1000, AuditFilter(**filters))


@given("a replicated state machine that keeps {count:d} audit entries")
def step_limited(context: Any, count: int) -> None:
    context.replica = type(context.replica)(StateLimits(audit_entries=count))


@when('operator "{operator}" admits replica "{replica_id}" and it is "{verdict}"')
def step_admit_replica(
    context: Any, operator: str, replica_id: str, verdict: str
) -> None:
    before = ("r1", "r2", "r3")
    after = (*before, replica_id) if verdict == "accepted" else before
    context.replica.run(
        RecordReplicaChange(
            *(context.replica.now_ms, operator, "127.0.0.1:9", ReplicaAction.ADMIT),
            *(replica_id, ReplicaChangeVerdict(verdict), before, after),
        )
    )


@then("the audit trail has {count:d} entries")
def step_count(context: Any, count: int) -> None:
    assert len(_entries(context)) == count, _entries(context)


def _lines(context: Any) -> list[str]:
    return [f"{e.operator} {e.kind} {e.verdict}" for e in _entries(context)]


@then("the audit trail reads {lines}")
def step_reads(context: Any, lines: str) -> None:
    expected = lines.split(", ")
    assert _lines(context)[: len(expected)] == expected, _lines(context)


@then("the audit trail ends with {lines}")
def step_ends(context: Any, lines: str) -> None:
    expected = lines.split(", ")
    assert _lines(context)[-len(expected) :] == expected, _lines(context)


@then("audit entry {number:d} has the weight {old:d} before and {new:d} after")
def step_weight(context: Any, number: int, old: int, new: int) -> None:
    entry = _entries(context)[number - 1]
    assert entry.before == {"version": 1, "cells": [["default", "weight", old]]}
    assert entry.after["cells"] == [["default", "weight", new]], entry
    assert entry.after["version"] == 2 and entry.origin and entry.time_ms, entry


@then("audit entry {number:d} names the invalid cell {column}")
def step_fault(context: Any, number: int, column: str) -> None:
    entry = _entries(context)[number - 1]
    assert [fault["column"] for fault in entry.after["faults"]] == [column], entry
    assert entry.after["refused"], entry


@then("audit entry {number:d} lists the replicas before and after")
def step_replicas(context: Any, number: int) -> None:
    entry = _entries(context)[number - 1]
    assert entry.before["replicas"] == ["r1", "r2", "r3"], entry
    assert entry.after["replicas"] == ["r1", "r2", "r3", "r4"], entry


@then("the audit trail passes verification")
def step_verifies(context: Any) -> None:
    assert context.replica.machine.verify_audit() is None
    documents = orjson.loads(orjson.dumps([e.to_json() for e in _entries(context)]))
    assert verify_entries(map(AuditEntry.from_json, documents)) is None


@then(
    "modifying audit field {field} of entry {number:d} is detected at entry {found:d}"
)
def step_modified(context: Any, field: str, number: int, found: int) -> None:
    entries = _entries(context)
    entry = entries[number - 1]
    if field == "removed":
        del entries[number - 1]
    elif field == "resigned":
        # A recomputed hash of the modified entry breaks the link of the next one.
        forged = replace(entry, operator="mallory")
        entries[number - 1] = replace(forged, sha256=forged.compute_sha256())
    else:
        value = {"time_ms": 1, "after": None}.get(field, "f" * 64)
        entries[number - 1] = replace(entry, **{field: value})
    fault = verify_entries(entries)
    assert fault is not None and fault.sequence == found, fault


@then("a state snapshot whose audit entry was modified is refused")
def step_snapshot(context: Any) -> None:
    document = orjson.loads(context.replica.machine.snapshot())
    document["audit"]["entries"][2]["operator"] = "mallory"
    try:
        context.replica.machine.restore(orjson.dumps(document))
    except InvalidSnapshotError as error:
        assert "audit entry 3" in error.message, error
    else:
        raise AssertionError("the snapshot was restored")


@then("the first retained audit entry is {number:d} and is linked to the dropped one")
def step_linked(context: Any, number: int) -> None:
    document = orjson.loads(context.replica.machine.snapshot())["audit"]
    first = document["entries"][0]
    assert first["sequence"] == number, first
    assert document["dropped_sequence"] == number - 1
    assert first["previous_sha256"] == document["dropped_sha256"] != "0" * 64


@then("the audit filter {name}={value} finds the entries {numbers}")
def step_filter(context: Any, name: str, value: str, numbers: str) -> None:
    expected_value = int(value) if value.isdigit() else value
    found = [entry.sequence for entry in _entries(context, **{name: expected_value})]
    assert found == [int(number) for number in numbers.split(", ")], found


@then("reading {limit:d} audit entry after entry {after:d} gives entry {number:d}")
def step_page(context: Any, limit: int, after: int, number: int) -> None:
    entries = context.replica.machine.audit_entries(after, limit)
    assert [entry.sequence for entry in entries] == [number]
