"""Steps for the bounds on retries."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import RequestKey
from marjoramstep_core.ids import ServiceName
from marjoramstep_policy.retries import ALLOWANCES
from marjoramstep_policy.retries import RESEND_LEDGERS
from marjoramstep_policy.retries import SERVICE_BUDGETS
from marjoramstep_policy.retries import RetryAllowance


LIFETIME_MS = 60_000.0
# Share of answers lost on the way to the caller.
CALLER_LOSS = 0.3
# Ends a baseline run whose retries multiply without bound.
RUN_LIMIT = 5000


class ChainWorld:
    """One request over a chain with fan-out; each position in the tree has a path."""

    def __init__(self, fan_out: int, allowance: str, odds: dict[str, float]) -> None:
        self.fan_out = fan_out
        self.new_allowance = ALLOWANCES.get(allowance)
        self.odds = odds
        self.rng = Random(int(odds["seed"]))
        self.seen: Counter[str] = Counter()

    def begin(self) -> None:
        self.runs: Counter[tuple[int, ...]] = Counter()
        self.retries = 0

    def serve(self, path: tuple[int, ...], hops: int, held: RetryAllowance) -> bool:
        """Run one hop and return whether all its sub-calls succeeded."""
        self.runs[path] += 1
        if hops == 1 or self.runs.total() > RUN_LIMIT:
            return True
        sent = [(branch, held.delegate()) for branch in range(self.fan_out)]
        self.rng.shuffle(sent)
        answers = [
            (branch, tokens, *self.attempt((*path, branch), hops - 1, tokens))
            for branch, tokens in sent
        ]
        self.rng.shuffle(answers)
        while answers:
            branch, tokens, succeeded, returned = answers.pop()
            if returned is not None:
                held.give_back(returned, delegated=tokens)
            if succeeded:
                continue
            if not held.take():
                return False
            self.retries += 1
            tokens = held.delegate()
            retried = self.attempt((*path, branch), hops - 1, tokens)
            answers.insert(0, (branch, tokens, *retried))
        return True

    def attempt(
        self, path: tuple[int, ...], hops: int, tokens: int
    ) -> tuple[bool, int | None]:
        """Return success and the returned tokens, ``None`` for a lost answer."""
        if self.rng.random() < self.odds["refused"]:
            self.seen["refused"] += 1
            return False, tokens
        held = self.new_allowance(tokens)
        succeeded = self.serve(path, hops, held)
        if self.rng.random() < self.odds["lost"]:
            self.seen["lost"] += 1
            return False, None
        return succeeded, held.held


@given(
    "{requests:d} requests over {hops:d} hops with fan-out {fan_out:d}"
    ' and {retries:d} "{allowance}" retries'
)
def step_chain(
    context: Any, requests: int, hops: int, fan_out: int, retries: int, allowance: str
) -> None:
    context.chain = (requests, hops, fan_out, retries, allowance)


@given(
    "{lost:g}% of answers lost, {refused:g}% of calls refused,"
    " answers reordered, seed {seed:d}"
)
def step_odds(context: Any, lost: float, refused: float, seed: int) -> None:
    context.odds = {"lost": lost / 100, "refused": refused / 100, "seed": seed}


@when("each caller resends its request up to {resends:d} times until it succeeds")
def step_run_chain(context: Any, resends: int) -> None:
    requests, hops, fan_out, retries, allowance = context.chain
    world = ChainWorld(fan_out, allowance, context.odds)
    clock = ManualClock()
    ledger = RESEND_LEDGERS.get("counted")(clock, requests, allowance)
    context.results = []
    for number in range(requests):
        world.begin()
        for _ in range(resends + 1):
            clock.advance_ms(10)
            key = RequestKey(f"key-{number}")
            verdict = ledger.arrive(key, retries, LIFETIME_MS)
            if not verdict.allowed:
                break
            world.retries += verdict.is_resend
            world.seen["resent"] += verdict.is_resend
            succeeded = world.serve((), hops, verdict.allowance)
            if succeeded and world.rng.random() >= CALLER_LOSS:
                break
        context.results.append((world.retries, max(world.runs.values())))
    context.seen = world.seen


@then("losses, refusals, retries and resends took place")
def step_took_place(context: Any) -> None:
    seen = context.seen
    assert all(seen[kind] for kind in ("lost", "refused", "resent")), seen
    assert any(retries for retries, _ in context.results)


@then("the requests {verdict} {retries:d} retries and 1 + {more:d} runs of each call")
def step_bounded(context: Any, verdict: str, retries: int, more: int) -> None:
    used = max(used for used, _ in context.results)
    runs = max(runs for _, runs in context.results)
    assert (used > retries) == (verdict == "pass"), context.results
    assert (runs > 1 + more) == (verdict == "pass"), context.results


@given("a retry allowance of {tokens:d} tokens")
def step_allowance(context: Any, tokens: int) -> None:
    context.allowance = RetryAllowance(tokens)


@when("it delegates twice and each answer claims to return {tokens:d} tokens")
def step_return_too_many(context: Any, tokens: int) -> None:
    assert [context.allowance.delegate() for _ in range(2)] == [4, 0]
    context.allowance.give_back(tokens, delegated=0)
    assert context.allowance.held == 1, context.allowance.held
    context.allowance.give_back(tokens, delegated=4)
    context.allowance.give_back(tokens)


@then("the retry allowance holds {tokens:d} tokens")
def step_holds(context: Any, tokens: int) -> None:
    assert context.allowance.held == tokens, context.allowance.held


@then("returning {tokens:d} tokens is refused as invalid")
def step_invalid(context: Any, tokens: int) -> None:
    held = context.allowance.held
    try:
        context.allowance.give_back(tokens)
    except InvalidInputError:
        assert context.allowance.held == held
    else:
        raise AssertionError("a negative number of tokens was accepted")


@given('a "{budget}" service retry budget')
def step_budget(context: Any, budget: str) -> None:
    context.clock = ManualClock(123.0)
    context.budget = SERVICE_BUDGETS.get(budget)(context.clock)


@when(
    "calls of which {percent:d}% want a retry come for {seconds:d} s,"
    " with idle and busy phases, seed {seed:d}"
)
def step_traffic(context: Any, percent: int, seconds: int, seed: int) -> None:
    rng, service = Random(seed), ServiceName("tariffs")
    context.firsts, context.retries = [], []
    while (now_ms := context.clock.now_ms()) < seconds * 1000:
        context.budget.record_first(service)
        context.firsts.append(now_ms)
        wants = rng.random() < percent / 100
        if wants and context.budget.try_spend(service):
            context.retries.append(now_ms)
        is_busy = int(now_ms // 7000) % 2 == 0
        context.clock.advance_ms(rng.expovariate(1 / (5.0 if is_busy else 400.0)))


@then("retries {verdict} 10% of first attempts, or 3, in every window of 10 s")
def step_share_holds(context: Any, verdict: str) -> None:
    passed = []
    for end_ms in context.retries:
        start_ms = end_ms - 10_000
        firsts = sum(start_ms < at <= end_ms for at in context.firsts)
        retries = sum(start_ms < at <= end_ms for at in context.retries)
        passed.append(retries > max(3, 0.1 * firsts))
    assert len(context.retries) > 50, "too few retries to judge"
    assert any(passed) == (verdict == "sometimes pass"), sum(passed)


@then("a service without traffic gets exactly 3 retries, and 3 more 11 s later")
def step_floor(context: Any) -> None:
    for _ in range(2):
        spent = [context.budget.try_spend(ServiceName("quiet")) for _ in range(9)]
        assert spent.count(True) == 3, spent
        context.clock.advance_ms(11_000)


@then("after calls to {count:d} services at most {bound:d} are tracked")
def step_services(context: Any, count: int, bound: int) -> None:
    for number in range(count):
        context.budget.record_first(ServiceName(f"service-{number}"))
    assert context.budget.tracked_services() == bound
    assert not context.budget.try_spend(ServiceName("further"))


@then("a further service gets a retry once the others were idle for 11 s")
def step_further(context: Any) -> None:
    context.clock.advance_ms(11_000)
    assert context.budget.try_spend(ServiceName("further"))


@given('a "{ledger}" resend ledger for {keys:d} keys')
def step_ledger(context: Any, ledger: str, keys: int) -> None:
    context.clock = ManualClock()
    context.ledger = RESEND_LEDGERS.get(ledger)(context.clock, keys)


def _arrive(context: Any, key: str = "key") -> Any:
    return context.ledger.arrive(RequestKey(key), 2, LIFETIME_MS)


@when("a key with 2 retries arrives {count:d} times, once every second")
def step_arrivals(context: Any, count: int) -> None:
    context.allowed = 0
    for _ in range(count):
        context.allowed += _arrive(context).allowed
        context.clock.advance_ms(1000)


@then("{runs:d} of its arrivals may run")
def step_allowed(context: Any, runs: int) -> None:
    assert context.allowed == runs, context.allowed


@when("a key with 2 retries arrives, then {count:d} other keys")
def step_flood(context: Any, count: int) -> None:
    context.first = _arrive(context)
    assert context.first.allowance.delegate() == 1
    for number in range(count):
        _arrive(context, f"other-{number}")


@then("the ledger holds {count:d} keys")
def step_ledger_size(context: Any, count: int) -> None:
    assert len(context.ledger) == count, len(context.ledger)


@then("the evicted key's first attempt holds no tokens and gets none back")
def step_closed(context: Any) -> None:
    context.first.allowance.give_back(1)
    assert not context.first.allowance.take()


@then("the evicted key runs {runs:d} more times under one fresh allowance")
@then("after its lifetime it runs {runs:d} more times under one fresh allowance")
def step_fresh(context: Any, runs: int) -> None:
    verdicts = [_arrive(context) for _ in range(runs + 3)]
    assert [v.allowed for v in verdicts] == [True] * runs + [False] * 3, verdicts
    assert len({id(v.allowance) for v in verdicts}) == 1
    context.clock.advance_ms(LIFETIME_MS + 1)
