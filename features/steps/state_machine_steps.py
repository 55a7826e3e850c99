"""Steps for the replicated state machine as a whole."""

from __future__ import annotations

import random
from typing import Any

import orjson
from behave import given
from behave import then
from behave import when
from marjoramstep_core.ids import LogIndex
from marjoramstep_core.table import EditOperation
from marjoramstep_state import InvalidCommandError
from marjoramstep_state import InvalidSnapshotError
from marjoramstep_state import StateLimits
from marjoramstep_state import StateMachine
from marjoramstep_state import decode_command
from marjoramstep_state import encode_command
from marjoramstep_state.answer import AnswerRecord
from marjoramstep_state.commands import AdvanceTime
from marjoramstep_state.commands import AttemptOutcome
from marjoramstep_state.commands import Claim
from marjoramstep_state.commands import EndClaim
from marjoramstep_state.commands import LookUpClaim
from marjoramstep_state.commands import RecordReplicaChange
from marjoramstep_state.commands import ReplicaAction
from marjoramstep_state.commands import ReplicaChangeVerdict
from marjoramstep_state.commands import ReportCrash
from marjoramstep_state.edit_commands import EditTable


START_MS = 1_700_000_000_000
SMALL_LIMITS = StateLimits(
    edit_verdict_retention_ms=60_000,
    table_versions=5,
    key_lifetime_ms=60_000,
    key_clock_skew_ms=5_000,
    abandoned_per_key=3,
    answer_bytes=400,
    answers_per_partition_bytes=500,
    prune_batch_size=2,
    suspects=4,
    audit_entries=20,
)


class LoggedMachine:
    """A state machine with its log."""

    def __init__(self, limits: StateLimits | None = None) -> None:
        self.limits = limits or StateLimits()
        self.machine = StateMachine(self.limits)
        self.log: list[bytes] = []
        self.now_ms = START_MS

    def run(self, command: Any) -> Any:
        """Apply the encoded command and return its result."""
        payload = encode_command(command)
        assert decode_command(payload) == command
        self.log.append(payload)
        applied = self.machine.apply(LogIndex(len(self.log)), payload)
        assert not applied.fault, applied.fault
        return applied.result

    def restore_from_snapshot(self) -> None:
        """Replace the state machine with one restored from its snapshot."""
        data = self.machine.snapshot()
        self.machine = StateMachine(self.limits)
        self.machine.restore(data)


def answer(body: bytes) -> AnswerRecord:
    """Return a stored answer with a body."""
    return AnswerRecord(
        200, (("Content-Type", "text/plain"),), body, True, len(body), ""
    )


def random_command(rng: random.Random, now_ms: int) -> Any:
    """Return a random command; the keys are few, so that they collide."""
    key = f"{START_MS + rng.randrange(0, 90_000, 15_000)}-{rng.randrange(6):016d}"
    attempt = f"attempt-{rng.randrange(6)}"
    kind = rng.randrange(8)
    if kind == 0:
        return Claim(
            now_ms, key, attempt, "node-1", "pay", f"fp{rng.randrange(20) // 19}"
        )
    if kind in (1, 2):
        body = bytes([rng.randrange(256)]) * rng.choice([10, 100, 300, 500])
        done = kind == 1
        end = AttemptOutcome.DONE if done else AttemptOutcome.ABANDONED
        return EndClaim(now_ms, key, attempt, end, answer(body) if done else None)
    if kind == 3:
        return LookUpClaim(now_ms, key, rng.random() < 0.3)
    if kind == 4:
        return ReportCrash(
            now_ms, "pay", f"fp{rng.randrange(8)}", f"r{rng.randrange(9)}"
        )
    if kind == 5:
        ids = ("a", "b", "c")
        return RecordReplicaChange(
            *(now_ms, "ana", "127.0.0.1", ReplicaAction.ADMIT, "c"),
            *(ReplicaChangeVerdict.ACCEPTED, ids[:2], ids),
        )
    if kind == 6:
        return AdvanceTime(now_ms)
    row = rng.choice(["pay", "default"])
    cells = {"weight": rng.randrange(0, 1100)}
    operation = EditOperation.from_json(
        {"kind": rng.choice(["set", "add", "drop"]), "row": row, "cells": cells}
    )
    base_version = rng.randrange(1, 6)
    return EditTable(
        now_ms, f"edit-{rng.randrange(100)}", base_version, "ana", "", (operation,)
    )


@given("a fresh replicated state machine")
def step_fresh(context: Any) -> None:
    context.replica = LoggedMachine()


@then('the state payload {payload} cannot be decoded, naming "{problem}"')
def step_undecodable(context: Any, payload: str, problem: str) -> None:
    try:
        decode_command(payload.encode())
    except InvalidCommandError as error:
        assert problem in error.message, error.message
    else:
        raise AssertionError("the payload was decoded")


@then("applying the state payload {payload} is counted and changes nothing else")
def step_no_op(context: Any, payload: str) -> None:
    machine = context.replica.machine
    before = orjson.loads(machine.snapshot())
    applied = machine.apply(LogIndex(1), payload.encode())
    after = orjson.loads(machine.snapshot())
    assert applied.result is None and applied.fault
    assert after == {**before, "applied_index": 1, "invalid_count": 1}


def _encoding_fails(command: Any) -> None:
    try:
        encode_command(command)
    except InvalidCommandError:
        return
    raise AssertionError("the command was encoded")


@then("an edit with a nested cell value cannot be encoded")
def step_nested(context: Any) -> None:
    operation = EditOperation.from_json(
        {"kind": "set", "row": "default", "cells": {"weight": [[1]]}}
    )
    _encoding_fails(EditTable(1, "k", 1, "ana", "", (operation,)))


@then("an end done without an answer cannot be encoded")
def step_no_answer(context: Any) -> None:
    _encoding_fails(EndClaim(1, "key", "attempt", AttemptOutcome.DONE, None))


@when("the log time is applied as {first:d} and then as {second:d}")
def step_log_times(context: Any, first: int, second: int) -> None:
    for log_time_ms in (first, second):
        context.replica.run(AdvanceTime(log_time_ms))


@then("the state watermark is {expected:d}")
def step_watermark(context: Any, expected: int) -> None:
    assert context.replica.machine.watermark_ms == expected


@then("applying an entry at a lower index fails")
def step_lower_index(context: Any) -> None:
    try:
        context.replica.machine.apply(LogIndex(1), context.replica.log[0])
    except ValueError:
        return
    raise AssertionError("the entry was applied twice")


@when("{count:d} random state commands are applied with seed {seed:d}")
def step_random(context: Any, count: int, seed: int) -> None:
    rng = random.Random(seed)
    context.replica = replica = LoggedMachine(SMALL_LIMITS)
    context.snapshots = []
    for number in range(count):
        if number % (count // 6) == 0:
            context.snapshots.append((number, replica.machine.snapshot()))
        replica.now_ms += rng.randrange(0, 160)
        replica.run(random_command(rng, replica.now_ms - rng.randrange(0, 200)))


@then(
    "a replica restored from any of {count:d} snapshots and replayed has the same bytes"
)
def step_identical(context: Any, count: int) -> None:
    replica = context.replica
    expected = replica.machine.snapshot()
    assert len(context.snapshots) == count
    for number, data in context.snapshots:
        machine = StateMachine(replica.limits)
        machine.restore(data)
        assert machine.snapshot() == data, number
        for index, payload in enumerate(replica.log[number:], start=number + 1):
            machine.apply(LogIndex(index), payload)
        assert machine.snapshot() == expected, number


@then("the random state commands produced every kind of record")
def step_every_kind(context: Any) -> None:
    found: set[str] = set()
    for _, data in [*context.snapshots, (0, context.replica.machine.snapshot())]:
        document = orjson.loads(data)
        for partition in document["claims"]["partitions"].values():
            found |= {record["state"] for record in partition["records"].values()}
        parts = {**document["edits"], "quarantine": document["quarantine"]}
        found |= {name for name, part in parts.items() if part}
        found |= {"dropped"} if document["audit"]["dropped_sequence"] else set()
    expected = {"claimed", "done", "abandoned", "closed", "dropped", "quarantine"}
    assert found == expected | {"oldest", "changes", "winners", "verdicts"}, found


@then("each of {count:d} damaged snapshots is refused without a change, seed {seed:d}")
def step_damaged(context: Any, count: int, seed: int) -> None:
    rng = random.Random(seed)
    machine = context.replica.machine
    data = machine.snapshot()
    document = orjson.loads(data)
    damaged = [data[: rng.randrange(len(data))] for _ in range(count // 2)]
    for number in range(count - len(damaged)):
        copy = orjson.loads(data)
        name = sorted(document)[number % len(document)]
        copy[name] = rng.choice([None, "text", -1, [[]]])
        damaged.append(orjson.dumps(copy))
    for corrupted in damaged:
        try:
            machine.restore(corrupted)
        except InvalidSnapshotError:
            assert machine.snapshot() == data
        else:
            raise AssertionError(f"restored {corrupted[:80]!r}")


DAMAGED_VALUES: list[Any] = [
    *(None, True, -1, 0, 10**14, 2**53, 2**64 - 1, 1.5, "", "x" * 600, [], {}, [[]]),
    [{"kind": "add", "row": "\u00e9" * 300, "cells": {"weight": 1e300, "": 2**64 - 1}}],
    [{"kind": "set", "row": "default", "cells": {"path_prefix": "/" * 9000}}],
    [{"kind": "set", "row": "default", "cells": {"name": 5, "service": None}}],
]


@when("{count:d} randomly damaged payloads are applied with seed {seed:d}")
def step_fuzz(context: Any, count: int, seed: int) -> None:
    rng = random.Random(seed)
    machine = context.replica.machine
    results = []
    for index in range(1, count + 1):
        document = orjson.loads(encode_command(random_command(rng, START_MS)))
        name = rng.choice(sorted(document))
        document[name] = rng.choice(DAMAGED_VALUES)
        payload = bytearray(orjson.dumps(document))
        if index % 10 == 0:
            payload[rng.randrange(len(payload))] = rng.randrange(256)
        results.append(machine.apply(LogIndex(index), bytes(payload)))
    faults = sum(bool(applied.fault) for applied in results)
    assert faults == machine.invalid_count and 0 < faults < count, faults


@then("the replica restored from its snapshot has the same bytes")
def step_restored(context: Any) -> None:
    data = context.replica.machine.snapshot()
    context.replica.restore_from_snapshot()
    assert context.replica.machine.snapshot() == data


@when(
    "a snapshot is encoded in steps while {count:d} more are applied with seed {seed:d}"
)
def step_encode(context: Any, count: int, seed: int) -> None:
    rng = random.Random(seed)
    replica = context.replica
    context.whole_snapshot = replica.machine.snapshot()
    encoder = replica.machine.begin_snapshot()
    context.stepped_snapshot = None
    now_ms = replica.machine.watermark_ms
    for number in range(count):
        replica.run(random_command(rng, now_ms + number))
        if context.stepped_snapshot is None and number % 2:
            context.stepped_snapshot = encoder.step()
    while context.stepped_snapshot is None:
        context.stepped_snapshot = encoder.step()
    replica.machine.end_snapshot()


@then("the snapshot encoded in steps equals the one taken at its beginning")
def step_equal(context: Any) -> None:
    assert context.stepped_snapshot == context.whole_snapshot


@then("the state has changed since then")
def step_changed(context: Any) -> None:
    claims = orjson.loads(context.whole_snapshot)["claims"]
    now = orjson.loads(context.replica.machine.snapshot())["claims"]
    assert now != claims
