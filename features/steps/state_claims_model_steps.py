"""Randomized comparison of the claims with a plain model.

The model keeps the whole history of a key and never forgets anything, so it needs no
pruning, bounds or snapshots.
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
from marjoramstep_state.commands import Claim
from marjoramstep_state.commands import EndClaim
from marjoramstep_state.commands import EndState
from marjoramstep_state.commands import LookUpClaim


LIMITS = StateLimits(
    key_lifetime_ms=20_000, key_ahead_ms=2_000, prune_records=1, abandoned_per_key=100
)


@dataclass
class PlainKey:
    """History of one key."""

    holder: str = ""
    fingerprint: str = ""
    done: bool = False
    closed: bool = False
    given_up: set[str] = field(default_factory=set)
    granted: list[str] = field(default_factory=list)

    def running(self) -> bool:
        """Return whether the holder may run."""
        return bool(self.holder) and not self.done and self.holder not in self.given_up

    def state(self) -> str:
        """Return the verdict of a lookup."""
        if self.done:
            return "done"
        if self.closed:
            return "closed"
        if self.running():
            return "running"
        return "abandoned" if self.given_up else "none"

    def claim(self, command: Claim) -> str:
        """Return the verdict of a claim."""
        if self.fingerprint not in ("", command.fingerprint):
            return "key-reused"
        if command.attempt_id in self.given_up:
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
        if command.end_state is EndState.ABANDONED:
            if holds and self.done:
                return "not-holder"
            if not self.done and not self.closed:
                self.given_up.add(command.attempt_id)
            return "recorded"
        if not holds or command.attempt_id in self.given_up:
            return "not-holder"
        self.done = True
        return "recorded"

    def look_up(self, command: LookUpClaim) -> str:
        """Return the verdict of a lookup."""
        if command.close and self.state() in ("none", "abandoned"):
            self.closed = True
        return self.state()


def _expected(keys: dict[str, PlainKey], command: Any, watermark_ms: int) -> str:
    issued_ms = int(command.request_key.split("-")[0])
    if issued_ms > watermark_ms + LIMITS.key_ahead_ms:
        return "bad-key"
    if issued_ms < watermark_ms - LIMITS.key_lifetime_ms:
        return "expired"
    key = keys.setdefault(command.request_key, PlainKey())
    if isinstance(command, Claim):
        return key.claim(command)
    return key.end(command) if isinstance(command, EndClaim) else key.look_up(command)


def _messages(rng: random.Random, start_ms: int, count: int) -> list[tuple[int, Any]]:
    """Return messages with their times of delivery; a message may come many times."""
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
            EndClaim(0, key, name, EndState.DONE, body)
            if rng.random() < 0.3
            else EndClaim(0, key, name, EndState.ABANDONED, None)
        )
        if rng.random() < 0.3:
            sent.append(LookUpClaim(0, key, rng.random() < 0.15))
        for command in sent:
            for _ in range(rng.choice([1, 1, 2, 3])):
                delay_ms = rng.choice([10, 500, 3_000, 25_000])
                messages.append((sent_ms + rng.randrange(delay_ms), command))
    return sorted(messages, key=lambda message: message[0])


@when("{count:d} claim messages are reordered, copied and delayed with seed {seed:d}")
def step_run(context: Any, count: int, seed: int) -> None:
    rng = random.Random(seed)
    replica = context.replica = type(context.replica)(LIMITS)
    context.plain = keys = {}
    context.claim_faults = []
    context.met = set()
    watermark_ms = 0
    for delivered_ms, command in _messages(rng, replica.now_ms, count):
        # Log times of entries may go back; the watermark must not.
        log_time_ms = max(0, delivered_ms - rng.randrange(1_000))
        watermark_ms = max(watermark_ms, log_time_ms)
        stamped = type(command)(**{**vars(command), "log_time_ms": log_time_ms})
        expected = _expected(keys, stamped, watermark_ms)
        verdict = replica.run(stamped).verdict.value
        context.met.add(verdict)
        if verdict != expected:
            context.claim_faults.append((len(replica.log), stamped, expected, verdict))
        if rng.random() < 0.01:
            replica.restart()


@then("every claim verdict agreed with the plain model")
def step_agreed(context: Any) -> None:
    assert not context.claim_faults, context.claim_faults[0]


@then("no key was granted to an attempt while another could have run")
def step_no_double(context: Any) -> None:
    """Check the log itself, without the model's verdicts."""
    replica = context.replica
    machine = type(replica)(LIMITS)
    may_run: dict[str, str] = {}
    never: dict[str, set[str]] = {}
    grants = 0
    for command in map(decode_command, replica.log):
        verdict = machine.run(command).verdict.value
        key = command.request_key
        if isinstance(command, Claim) and verdict == "granted":
            attempt = command.attempt_id
            assert may_run.setdefault(key, attempt) == attempt, (key, attempt)
            assert attempt not in never.get(key, set()), (key, attempt)
            grants += 1
        if isinstance(command, EndClaim) and verdict == "recorded":
            attempt = command.attempt_id
            if command.end_state is EndState.ABANDONED:
                never.setdefault(key, set()).add(attempt)
                if may_run.get(key) == attempt:
                    del may_run[key]
        if verdict == "closed":
            # No attempt has the id "closed", so that any later grant is found.
            assert may_run.setdefault(key, "closed") == "closed", key
    assert grants > 100, grants


@then("the claim run met every verdict")
def step_met(context: Any) -> None:
    expected = {"granted", "running", "done", "abandoned", "closed", "none", "expired"}
    expected |= {"recorded", "not-holder", "bad-key", "key-reused"}
    assert context.met == expected, expected ^ context.met
