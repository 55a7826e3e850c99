"""Steps for the retry budgets of a chain of services."""

from __future__ import annotations

from bisect import bisect_left
from random import Random
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.ids import ServiceName
from marjoramstep_policy.retries import SERVICE_RETRY_BUDGETS
from marjoramstep_policy.retries import RefusedCall


WINDOW_MS = 10_000.0
CALL_INTERVAL_MS = 5.0
MAXIMUM_SENDS = 3
REFUSED_CALL = RefusedCall(weight=1, siblings_succeeded=True)


class Chain:
    """Services that call each other in sequence; one node calls each of them.

    :param services: number of services
    :param refused_share: part of the arrivals that each service refuses
    :param seed: seed of the refusals
    """

    def __init__(self, services: int, refused_share: float, seed: int) -> None:
        self.clock = ManualClock(0.0)
        self._rng = Random(seed)
        self._refused_share = refused_share
        make_budget = SERVICE_RETRY_BUDGETS.get("share")
        self._budgets = [make_budget(self.clock) for _ in range(services)]
        self.first_ms: list[list[float]] = [[] for _ in range(services)]
        self.repeats_ms: list[list[float]] = [[] for _ in range(services)]

    def call(self, depth: int, *, is_repeat: bool, counts_repeats: bool) -> None:
        """Send a call and, once it runs, the call that its run makes."""
        if depth == len(self._budgets):
            return
        service, budget = ServiceName(f"s{depth}"), self._budgets[depth]
        if is_repeat and counts_repeats:
            budget.record_repeat(service)
        else:
            budget.record_first_attempt(service, REFUSED_CALL.weight)
        (self.repeats_ms if is_repeat else self.first_ms)[depth].append(
            self.clock.now_ms()
        )
        for _ in range(MAXIMUM_SENDS):
            if self._rng.random() >= self._refused_share:
                self.call(depth + 1, is_repeat=is_repeat, counts_repeats=counts_repeats)
                return
            if not budget.try_spend_after_refusal(service, REFUSED_CALL):
                return
            is_repeat = True
            self.repeats_ms[depth].append(self.clock.now_ms())


@given(
    "a chain of {services:d} services that each refuse {percent:d}% of what arrives,"
    " seed {seed:d}"
)
def step_chain(context: Any, services: int, percent: int, seed: int) -> None:
    context.chain = Chain(services, percent / 100, seed)


@when(
    "calls pass through it for {seconds:d} s and calls of retried runs are counted as"
    " {kind}"
)
def step_calls(context: Any, seconds: int, kind: str) -> None:
    chain = context.chain
    while chain.clock.now_ms() < seconds * 1_000:
        chain.call(0, is_repeat=False, counts_repeats=kind == "retries")
        chain.clock.advance_ms(CALL_INTERVAL_MS)


@then(
    "repeated arrivals {verdict} {percent:d}% of the calls to a service, or {slack:d},"
    " within 10 s"
)
def step_verdict(context: Any, verdict: str, percent: int, slack: int) -> None:
    chain = context.chain
    above = []
    for first_ms, repeats_ms in zip(chain.first_ms, chain.repeats_ms, strict=True):
        for end_ms in repeats_ms:
            # The call that is being counted may have come with this repeat.
            calls = bisect_left(first_ms, end_ms + 1) - bisect_left(
                first_ms, end_ms - WINDOW_MS
            )
            repeats = bisect_left(repeats_ms, end_ms + 1) - bisect_left(
                repeats_ms, end_ms - WINDOW_MS
            )
            if repeats > percent / 100 * calls + slack:
                above.append((end_ms, repeats, calls))
    assert bool(above) == (verdict == "pass"), above[:3]
