"""Randomized comparison of the claims with a reference model.

The model keeps the whole history of each key, so it needs no pruning, limits or
snapshots.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from behave import then
from behave import when
from marjoramstep_state import StateLimits
from marjoramstep_state import decode_command
from marjoramstep_state.answer import AnswerRecord
from marjoramstep_state.commands import AttemptOutcome
from marjoramstep_state.commands import Claim
from marjoramstep_state.commands import EndClaim
from marjoramstep_state.commands import LookUpClaim


LIMITS = StateLimits(
    key_lifetime_ms=20_000,
    key_clock_skew_ms=2_000,
    prune_batch_size=1,
    abandoned_per_key=100,
)


@dataclass
class ReferenceKey:
    """History of one key."""

    holder: str = ""
    fingerprint: str = ""
    done: bool = False
    closed: bool = False
    abandoned: set[str] = field(default_factory=set)
    granted: list[str] = field(default_factory=list)

    def running(self) -> bool:
        """Return whether the holder may run."""
        return bool(self.holder) and not self.done and self.holder not in self.abandoned

    def state(self) -> str:
        """Return the verdict of a lookup."""
        if self.done:
            return "done"
        if self.closed:
            return "closed"
        if self.running():
            return "running"
        return "abandoned" if self.abandoned else "none"

    def claim(self, command: Claim) -> str:
        """Return the verdict of a claim."""
        if self.fingerprint not in ("", command.fingerprint):
            return "key-reused"
        if command.attempt_id in self.abandoned:
            return "abandoned"
        if self.done or self.closed:
            return self.state()
        if self.running() and self.holder != command.attempt_id:
            return "running"
        self.holder, self.fingerprint = command.attempt_id, command.fingerprint
        self.granted.append(command.attempt_id)
        return "granted"

    def end(self, command: EndClaim) -> str:
        """Return the verdict of an end."""
        holds = self.holder == command.attempt_id
        if command.end_state is AttemptOutcome.ABANDONED:
            if holds and self.done:
                return "not-holder"
            if not self.done and not self.closed:
                self.abandoned.add(command.attempt_id)
            return "recorded"
        if not holds or command.attempt_id in self.abandoned:
            return "not-holder"
        self.done = True
        return "recorded"

    def look_up(self, command: LookUpClaim) -> str:
        """Return the verdict of a lookup."""
        if command.close and self.state() in ("none", "abandoned"):
            self.closed = True
        return self.state()


def _expected(keys: dict[str, ReferenceKey], command: Any, watermark_ms: int) -> str:
    issued_ms = int(command.request_key.split("-")[0])
    if issued_ms > watermark_ms + LIMITS.key_clock_skew_ms:
        return "bad-key"
    if issued_ms < watermark_ms - LIMITS.key_lifetime_ms:
        return "expired"
    key = keys.setdefault(command.request_key, ReferenceKey())
    if isinstance(command, Claim):
        return key.claim(command)
    return key.end(command) if isinstance(command, EndClaim) else key.look_up(command)


def _messages(rng: random.Random, start_ms: int, count: int) -> list[tuple[int, Any]]:
    """Return messages with their delivery times; a message may be duplicated."""
    messages: list[tuple[int, Any]] = []
    attempt = 0
    while len(messages) < count:
        sent_ms = start_ms + len(messages) * 20
        issued_ms = sent_ms // 1500 * 1500 + rng.choice([0, 0, 0, 0, 1500, 4000])
        key = f"{issued_ms}-{rng.randrange(3):016d}"
        attempt += 1
        name = f"attempt-{attempt}"
        fingerprint = rng.choice(["fp"] * 9 + ["other"])
        body = AnswerRecord(200, (), b"paid", True, 4, "")
        sent: list[Any] = [Claim(0, key, name, "node", "pay", fingerprint)]
        sent.append(
            EndClaim(0, key, name, AttemptOutcome.DONE, body)
            if rng.random() < 0.3
            else EndClaim(0, key, name, AttemptOutcome.ABANDONED, None)
        )
        if rng.random() < 0.3:
            sent.append(LookUpClaim(0, key, rng.random() < 0.15))
        for command in sent:
            for _ in range(rng.choice([1, 1, 2, 3])):
                delay_ms = rng.choice([10, 500, 3_000, 25_000])
                messages.append((sent_ms + rng.randrange(delay_ms), command))
    return sorted(messages, key=lambda message: message[0])


@when(
    "{count:d} claim messages are reordered, duplicated and delayed with seed {seed:d}"
)
def step_run(context: Any, count: int, seed: int) -> None:
    rng = random.Random(seed)
    replica = context.replica = type(context.replica)(LIMITS)
    context.reference_keys = keys = {}
    context.mismatches = []
    context.seen_verdicts = set()
    watermark_ms = 0
    for delivered_ms, command in _messages(rng, replica.now_ms, count):
        # The log times of entries may decrease; the watermark must not.
        log_time_ms = max(0, delivered_ms - rng.randrange(1_000))
        watermark_ms = max(watermark_ms, log_time_ms)
        stamped = type(command)(**{**vars(command), "log_time_ms": log_time_ms})
        expected = _expected(keys, stamped, watermark_ms)
        verdict = replica.run(stamped).verdict.value
        context.seen_verdicts.add(verdict)
        if verdict != expected:
            context.mismatches.append((len(replica.log), stamped, expected, verdict))
        if rng.random() < 0.01:
            replica.restore_from_snapshot()


@then("every claim verdict agreed with the reference model")
def step_agreed(context: Any) -> None:
    assert not context.mismatches, context.mismatches[0]


@then("no key was granted to an attempt while another could have run")
def step_no_double_grant(context: Any) -> None:
    """Check the log itself, independently of the model."""
    replica = context.replica
    machine = type(replica)(LIMITS)
    may_run: dict[str, str] = {}
    blocked: dict[str, set[str]] = {}
    grants = 0
    for command in map(decode_command, replica.log):
        verdict = machine.run(command).verdict.value
        key = command.request_key
        if isinstance(command, Claim) and verdict == "granted":
            attempt = command.attempt_id
            assert may_run.setdefault(key, attempt) == attempt, (key, attempt)
            assert attempt not in blocked.get(key, set()), (key, attempt)
            grants += 1
        if isinstance(command, EndClaim) and verdict == "recorded":
            attempt = command.attempt_id
            if command.end_state is AttemptOutcome.ABANDONED:
                blocked.setdefault(key, set()).add(attempt)
                if may_run.get(key) == attempt:
                    del may_run[key]
        if verdict == "closed":
            # No attempt has the id "closed", so that any later grant is detected.
            assert may_run.setdefault(key, "closed") == "closed", key
    assert grants > 100, grants


@then("every claim verdict occurred in the run")
def step_all_verdicts(context: Any) -> None:
    expected = {"granted", "running", "done", "abandoned", "closed", "none", "expired"}
    expected |= {"recorded", "not-holder", "bad-key", "key-reused"}
    assert context.seen_verdicts == expected, expected ^ context.seen_verdicts
