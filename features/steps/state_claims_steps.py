"""Steps for claims of non-idempotent requests."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import then
from behave import when
from marjoramstep_core.ids import RequestKey
from marjoramstep_state import StateLimits
from marjoramstep_state.answer import AnswerRecord
from marjoramstep_state.claims.key import partition_of
from marjoramstep_state.commands import AdvanceTime
from marjoramstep_state.commands import AttemptOutcome
from marjoramstep_state.commands import Claim
from marjoramstep_state.commands import EndClaim
from marjoramstep_state.commands import LookUpClaim


START_MS = 1_700_000_000_000


def _key(name: str) -> RequestKey:
    return RequestKey(f"{START_MS}-{name:_>16}")


def _claim(context: Any, key: str, attempt: str, fingerprint: str = "fp") -> Any:
    now_ms = context.replica.now_ms
    return context.replica.run(Claim(now_ms, key, attempt, "node", "pay", fingerprint))


def _end(context: Any, key: str, attempt: str, body: bytes | None) -> Any:
    answer = None
    if body is not None:
        answer = AnswerRecord(200, (), body, True, len(body), "")
    state = AttemptOutcome.ABANDONED if body is None else AttemptOutcome.DONE
    return context.replica.run(
        EndClaim(context.replica.now_ms, key, attempt, state, answer)
    )


def _expect(result: Any, verdict: str) -> None:
    assert result.verdict.value == verdict, result


@then('claiming key "{name}" for attempt "{attempt}" gives "{verdict}"')
def step_claim(context: Any, name: str, attempt: str, verdict: str) -> None:
    _expect(_claim(context, _key(name), attempt), verdict)


@then('claiming key "{name}" for attempt "{attempt}" with other content gives "{v}"')
def step_reuse(context: Any, name: str, attempt: str, v: str) -> None:
    _expect(_claim(context, _key(name), attempt, "other"), v)


@then('claiming the literal key "{key}" gives "{verdict}"')
def step_literal(context: Any, key: str, verdict: str) -> None:
    context.replica.run(AdvanceTime(context.replica.now_ms))
    _expect(_claim(context, key, "a"), verdict)
    if verdict == "bad-key":
        assert context.replica.machine.claim_count == 0


@then(
    'ending key "{name}" as done by attempt "{attempt}" with body "{body}" gives "{v}"'
)
def step_done(context: Any, name: str, attempt: str, body: str, v: str) -> None:
    _expect(_end(context, _key(name), attempt, body.encode()), v)


@then('ending key "{name}" as abandoned by attempt "{attempt}" gives "{verdict}"')
def step_abandon(context: Any, name: str, attempt: str, verdict: str) -> None:
    _expect(_end(context, _key(name), attempt, None), verdict)


@then('looking up key "{name}" gives "{verdict}"')
def step_look_up(context: Any, name: str, verdict: str) -> None:
    key = _key(name)
    logged = context.replica.run(LookUpClaim(context.replica.now_ms, key, False))
    _expect(logged, verdict)
    assert context.replica.machine.look_up_claim(key) == logged


@then('closing key "{name}" gives "{verdict}"')
def step_close(context: Any, name: str, verdict: str) -> None:
    now_ms = context.replica.now_ms
    _expect(context.replica.run(LookUpClaim(now_ms, _key(name), True)), verdict)


@then('the stored answer of key "{name}" has body "{body}"')
def step_body(context: Any, name: str, body: str) -> None:
    result = context.replica.machine.look_up_claim(_key(name))
    assert result.answer.body == body.encode(), result
    message = result.answer.to_message()
    assert AnswerRecord.from_message(message) == result.answer


@when('{count:d} attempts of key "{name}" are abandoned')
def step_many_abandoned(context: Any, count: int, name: str) -> None:
    for number in range(count):
        attempt = f"attempt-{number}"
        _expect(_claim(context, _key(name), attempt), "granted")
        _expect(_end(context, _key(name), attempt, None), "recorded")


@when("{count:d} commands are applied at the same log time")
def step_same_time(context: Any, count: int) -> None:
    for _ in range(count):
        context.replica.run(AdvanceTime(context.replica.now_ms))


@then("the replica holds {count:d} claims")
def step_count(context: Any, count: int) -> None:
    assert context.replica.machine.claim_count == count


def _partition_keys(count: int) -> list[RequestKey]:
    keys = (_key(f"n{number}") for number in range(count * 2000))
    first = partition_of(_key("n0"))
    found = [key for key in keys if partition_of(key) == first][:count]
    assert len(found) == count
    return found


@when("{count:d} claims of one partition are granted")
def step_partition(context: Any, count: int) -> None:
    for key in _partition_keys(count):
        _expect(_claim(context, key, "a"), "granted")


@then("each further command removes at most {limit:d} claims until none is left")
def step_pruned(context: Any, limit: int) -> None:
    machine = context.replica.machine
    for _ in range(1000):
        before = machine.claim_count
        context.replica.run(AdvanceTime(context.replica.now_ms))
        assert before - machine.claim_count <= limit, before
    assert machine.claim_count == 0


@when("{count:d} claims of one partition end with answers of {size:d} bytes each")
def step_answers(context: Any, count: int, size: int) -> None:
    # The attempts end in a different order than that of the keys.
    context.keys = sorted(_partition_keys(count), reverse=True)
    for key in context.keys:
        _expect(_claim(context, key, "a"), "granted")
        _expect(_end(context, key, "a", b"x" * size), "recorded")
        context.replica.restore_from_snapshot()
    context.size = size


@then("the stored answers take at most {limit:d} bytes")
def step_answers_limit(context: Any, limit: int) -> None:
    assert 0 < context.replica.machine.answers_bytes <= limit


@then("the oldest answer of the partition has lost its body and kept its length")
def step_oldest(context: Any) -> None:
    result = context.replica.machine.look_up_claim(context.keys[0])
    _expect(result, "done")
    assert not result.answer.body_stored and result.answer.body == b""
    assert result.answer.body_length_bytes == context.size


@then("the newest answer of the partition has its body")
def step_newest(context: Any) -> None:
    result = context.replica.machine.look_up_claim(context.keys[-1])
    assert len(result.answer.body) == context.size


@when("a partition for {count:d} claims is full")
def step_full(context: Any, count: int) -> None:
    limits = StateLimits(claims_per_partition=count)
    context.replica = type(context.replica)(limits)
    context.keys = _partition_keys(count + 1)
    for key in context.keys[:-1]:
        _expect(_claim(context, key, "a"), "granted")


@then("a further key of the partition is unavailable and its holder can still end")
def step_unavailable(context: Any) -> None:
    last = context.keys[-1]
    _expect(_claim(context, last, "a"), "unavailable")
    _expect(_end(context, last, "a", None), "unavailable")
    now_ms = context.replica.now_ms
    _expect(context.replica.run(LookUpClaim(now_ms, last, True)), "unavailable")
    _expect(_end(context, context.keys[0], "a", b"paid"), "recorded")


@then(
    "{count:d} keys spread over {partitions:d} partitions with at most {most:d} in one"
)
def step_spread(context: Any, count: int, partitions: int, most: int) -> None:
    counts = Counter(partition_of(_key(f"n{number}")) for number in range(count))
    assert set(counts) == set(range(partitions))
    assert max(counts.values()) <= most, max(counts.values())
