"""How long a snapshot of the state machine holds up the event loop."""

from __future__ import annotations

import time
from typing import Any

from marjoramstep_core.ids import AttemptId
from marjoramstep_core.ids import Fingerprint
from marjoramstep_core.ids import LogIndex
from marjoramstep_core.ids import NodeId
from marjoramstep_core.ids import RequestKey
from marjoramstep_core.ids import RowName
from marjoramstep_state import StateMachine
from marjoramstep_state import encode_command
from marjoramstep_state.answer import AnswerRecord
from marjoramstep_state.commands import AttemptOutcome
from marjoramstep_state.commands import Claim
from marjoramstep_state.commands import EndClaim


ANSWER_BYTES = 200
SHA256_TEXT = "0" * 64


def measure_snapshot(claims: int) -> dict[str, Any]:
    """Measure the calls that run on the event loop of a replica.

    :param claims: number of finished claims, each with an answer of 200 bytes
    :return: milliseconds of ``snapshot`` and ``restore``, of the longest step of a
        snapshot encoded in steps, and the size of the snapshot
    """
    now_ms = int(time.time() * 1000)
    machine = StateMachine()
    answer = AnswerRecord(200, (), b"x" * ANSWER_BYTES, True, ANSWER_BYTES, SHA256_TEXT)
    index = 0
    for number in range(claims):
        key = RequestKey(f"{now_ms}-{number:020d}")
        attempt = AttemptId(f"attempt-{number}")
        for command in (
            Claim(
                now_ms,
                key,
                attempt,
                NodeId("node"),
                RowName("default"),
                Fingerprint(SHA256_TEXT),
            ),
            EndClaim(now_ms, key, attempt, AttemptOutcome.DONE, answer),
        ):
            index += 1
            machine.apply(LogIndex(index), encode_command(command))
    before = time.perf_counter()
    data = machine.snapshot()
    middle = time.perf_counter()
    StateMachine().restore(data)
    after = time.perf_counter()
    encoder = machine.begin_snapshot()
    longest_ms = 0.0
    stepped = None
    while stepped is None:
        began = time.perf_counter()
        stepped = encoder.step()
        longest_ms = max(longest_ms, (time.perf_counter() - began) * 1000)
    machine.end_snapshot()
    return {
        "claims": claims,
        "longest_step_ms": round(longest_ms, 1),
        "bytes": len(data),
        "snapshot_ms": round((middle - before) * 1000, 1),
        "restore_ms": round((after - middle) * 1000, 1),
    }
