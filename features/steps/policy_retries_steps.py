"""Steps for the limits on retries."""

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
from marjoramstep_policy.retries import RESEND_TRACKERS
from marjoramstep_policy.retries import RETRY_ALLOWANCES
from marjoramstep_policy.retries import SERVICE_RETRY_BUDGETS
from marjoramstep_policy.retries import RetryAllowance


LIFETIME_MS = 60_000.0
# Probability that the answer to the client is lost.
CLIENT_LOSS = 0.3
# Ends a request of the baseline, whose retries multiply without limit.
MAX_RUNS = 5000


class CallTree:
    """Simulates requests over a call tree; each position in the tree has a path."""

    def __init__(
        self, fan_out: int, allowance: str, probabilities: dict[str, float]
    ) -> None:
        self.fan_out = fan_out
        self.new_allowance = RETRY_ALLOWANCES.get(allowance)
        self.probabilities = probabilities
        self.rng = Random(int(probabilities["seed"]))
        self.events: Counter[str] = Counter()

    def begin(self) -> None:
        self.runs: Counter[tuple[int, ...]] = Counter()
        self.retries = 0

    def serve(
        self, path: tuple[int, ...], hops: int, hop_allowance: RetryAllowance
    ) -> bool:
        """Run one hop; return whether all its sub-calls succeeded."""
        self.runs[path] += 1
        if hops == 1 or self.runs.total() > MAX_RUNS:
            return True
        sent = [(branch, hop_allowance.delegate()) for branch in range(self.fan_out)]
        self.rng.shuffle(sent)
        answers = [
            (branch, tokens, *self.attempt((*path, branch), hops - 1, tokens))
            for branch, tokens in sent
        ]
        self.rng.shuffle(answers)
        while answers:
            branch, tokens, succeeded, returned = answers.pop()
            if returned is not None:
                hop_allowance.reclaim(returned, delegated=tokens)
            if succeeded:
                continue
            if not hop_allowance.take():
                return False
            self.retries += 1
            tokens = hop_allowance.delegate()
            retried = self.attempt((*path, branch), hops - 1, tokens)
            answers.insert(0, (branch, tokens, *retried))
        return True

    def attempt(
        self, path: tuple[int, ...], hops: int, tokens: int
    ) -> tuple[bool, int | None]:
        """Call a hop; return success and the returned tokens, ``None`` if lost."""
        if self.rng.random() < self.probabilities["refused"]:
            self.events["refused"] += 1
            return False, tokens
        hop_allowance = self.new_allowance(tokens)
        succeeded = self.serve(path, hops, hop_allowance)
        if self.rng.random() < self.probabilities["lost"]:
            self.events["lost"] += 1
            return False, None
        return succeeded, hop_allowance.held


@given(
    "{requests:d} requests over {hops:d} hops with fan-out {fan_out:d}"
    ' and {retries:d} retries under a "{allowance}" allowance'
)
def step_chain(
    context: Any, requests: int, hops: int, fan_out: int, retries: int, allowance: str
) -> None:
    context.chain = (requests, hops, fan_out, retries, allowance)


@given(
    "{lost:g}% of answers lost, {refused:g}% of calls refused,"
    " answers reordered, seed {seed:d}"
)
def step_probabilities(context: Any, lost: float, refused: float, seed: int) -> None:
    context.probabilities = {"lost": lost / 100, "refused": refused / 100, "seed": seed}


@when("each client resends its request up to {resends:d} times until it succeeds")
def step_run_chain(context: Any, resends: int) -> None:
    requests, hops, fan_out, retries, allowance = context.chain
    tree = CallTree(fan_out, allowance, context.probabilities)
    clock = ManualClock()
    tracker = RESEND_TRACKERS.get("counted")(clock, requests, allowance)
    context.results = []
    for number in range(requests):
        tree.begin()
        for _ in range(resends + 1):
            clock.advance_ms(10)
            key = RequestKey(f"key-{number}")
            decision = tracker.record_arrival(key, retries, LIFETIME_MS)
            if not decision.allowed:
                break
            tree.retries += decision.is_resend
            tree.events["resent"] += decision.is_resend
            succeeded = tree.serve((), hops, decision.allowance)
            if succeeded and tree.rng.random() >= CLIENT_LOSS:
                break
        context.results.append((tree.retries, max(tree.runs.values())))
    context.events = tree.events


@then("losses, refusals, retries and resends took place")
def step_took_place(context: Any) -> None:
    events = context.events
    assert all(events[kind] for kind in ("lost", "refused", "resent")), events
    assert any(retries for retries, _ in context.results)


@then(
    "the requests {verdict} a limit of {retries:d} retries and 1 + {more:d} runs of "
    "each call"
)
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
    context.allowance.reclaim(tokens, delegated=0)
    assert context.allowance.held == 1, context.allowance.held
    context.allowance.reclaim(tokens, delegated=4)
    context.allowance.reclaim(tokens)


@then("the retry allowance holds {tokens:d} tokens")
def step_holds(context: Any, tokens: int) -> None:
    assert context.allowance.held == tokens, context.allowance.held


@then("returning {tokens:d} tokens is rejected as invalid")
def step_invalid(context: Any, tokens: int) -> None:
    held = context.allowance.held
    try:
        context.allowance.reclaim(tokens)
    except InvalidInputError:
        assert context.allowance.held == held
    else:
        raise AssertionError("a negative number of tokens was accepted")


@given('a "{budget}" service retry budget')
def step_budget(context: Any, budget: str) -> None:
    context.clock = ManualClock(123.0)
    context.budget = SERVICE_RETRY_BUDGETS.get(budget)(context.clock)


@when(
    "calls of which {percent:d}% need a retry arrive for {seconds:d} s,"
    " with alternating busy and idle phases, seed {seed:d}"
)
def step_traffic(context: Any, percent: int, seconds: int, seed: int) -> None:
    rng, service = Random(seed), ServiceName("tariffs")
    context.first_attempts, context.retries = [], []
    while (now_ms := context.clock.now_ms()) < seconds * 1000:
        context.budget.record_first_attempt(service)
        context.first_attempts.append(now_ms)
        needs_retry = rng.random() < percent / 100
        if needs_retry and context.budget.try_spend_after_failure(service):
            context.retries.append(now_ms)
        is_busy = int(now_ms // 7000) % 2 == 0
        context.clock.advance_ms(rng.expovariate(1 / (5.0 if is_busy else 400.0)))


@then(
    "retries {verdict} a limit of 10% of first attempts, or 3, within a window of 10 s"
)
def step_share_holds(context: Any, verdict: str) -> None:
    exceeded = []
    for end_ms in context.retries:
        start_ms = end_ms - 10_000
        first_attempts = sum(start_ms < at <= end_ms for at in context.first_attempts)
        retries = sum(start_ms < at <= end_ms for at in context.retries)
        exceeded.append(retries > max(3, 0.1 * first_attempts))
    assert len(context.retries) > 50, "too few retries to judge"
    assert any(exceeded) == (verdict == "sometimes pass"), sum(exceeded)


@then("a service without traffic gets exactly 3 retries, and 3 more 11 s later")
def step_floor(context: Any) -> None:
    for _ in range(2):
        spent = [
            context.budget.try_spend_after_failure(ServiceName("quiet"))
            for _ in range(9)
        ]
        assert spent.count(True) == 3, spent
        context.clock.advance_ms(11_000)


@then("after calls to {count:d} services at most {bound:d} are tracked")
def step_services(context: Any, count: int, bound: int) -> None:
    for number in range(count):
        context.budget.record_first_attempt(ServiceName(f"service-{number}"))
    assert context.budget.tracked_services() == bound
    assert not context.budget.try_spend_after_failure(ServiceName("further"))


@then("a further service gets a retry once the others have been idle for 11 s")
def step_further(context: Any) -> None:
    context.clock.advance_ms(11_000)
    assert context.budget.try_spend_after_failure(ServiceName("further"))


@given('a "{variant}" resend tracker for {keys:d} keys')
def step_resend_tracker(context: Any, variant: str, keys: int) -> None:
    context.clock = ManualClock()
    context.tracker = RESEND_TRACKERS.get(variant)(context.clock, keys)


def _arrive(context: Any, key: str = "key") -> Any:
    return context.tracker.record_arrival(RequestKey(key), 2, LIFETIME_MS)


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
def step_many_keys(context: Any, count: int) -> None:
    context.evicted = _arrive(context)
    assert context.evicted.allowance.delegate() == 1
    for number in range(count):
        _arrive(context, f"other-{number}")


@then("the resend tracker holds {count:d} keys")
def step_resend_tracker_size(context: Any, count: int) -> None:
    assert len(context.tracker) == count, len(context.tracker)


@then("the evicted key's first attempt holds no tokens and gets none back")
def step_closed(context: Any) -> None:
    context.evicted.allowance.reclaim(1)
    assert not context.evicted.allowance.take()


@then("the evicted key runs {runs:d} more times under one new allowance")
@then("after its lifetime it runs {runs:d} more times under one new allowance")
def step_fresh(context: Any, runs: int) -> None:
    decisions = [_arrive(context) for _ in range(runs + 3)]
    assert [d.allowed for d in decisions] == [True] * runs + [False] * 3, decisions
    assert len({id(d.allowance) for d in decisions}) == 1
    context.clock.advance_ms(LIFETIME_MS + 1)
