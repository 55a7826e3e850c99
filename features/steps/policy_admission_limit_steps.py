"""Steps for the concurrency limit of admission control."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when
from policy_admission_support import make_row


CALL_MS = 20.0
OVERLOAD_WEIGHTS = (10, 100, 900)


@when("the saturated server runs 2 s, slows down 5-fold by {kind} for 4 s and recovers")
def step_slowdown(context: Any, kind: str) -> None:
    server = context.server
    row = make_row("steady", queue_length=1000, queue_wait_ms=100_000)
    limits: list[int] = []

    def send_calls() -> None:
        while server.admission.load().queue_length < 100:
            server.arrive(row, work_ms=server.rng.uniform(10, 30))
        limits.append(server.admission.load().limit)

    server.run(2000, send_calls)
    context.normal_finished = len(server.finished)
    if kind == "latency":
        server.slowdown = 5.0
    else:
        server.capacity /= 5
    server.run(4000, send_calls)
    context.slowed_finished = len(server.finished) - context.normal_finished
    context.last_slow_limits = limits[-1000:]
    context.limits = limits[2000:]
    server.slowdown, server.capacity = 1.0, float(server.slots)
    context.recovered = []
    for _ in range(30):
        before = len(server.finished)
        server.run(100, send_calls)
        context.recovered.append(len(server.finished) - before)


@then("throughput while slowed is at least {share:d} percent of what is possible")
def step_slow_throughput(context: Any, share: int) -> None:
    possible = context.normal_finished * 2 / 5
    assert context.normal_finished > 3500, context.normal_finished
    assert context.slowed_finished <= possible * 1.1, "the server was not slowed down"
    assert context.slowed_finished >= possible * share / 100, (
        context.slowed_finished,
        possible,
    )


@then("full throughput is reached within {limit:d} ms after the slowdown")
def step_recovery(context: Any, limit: int) -> None:
    full = context.normal_finished / 20 * 0.9
    reached = next(i for i, n in enumerate(context.recovered, 1) if n >= full)
    assert reached * 100 <= limit, context.recovered


@then(
    "the mean limit in the last second of the slowdown is between {low:d} and {high:d}"
)
def step_limit(context: Any, low: int, high: int) -> None:
    mean = sum(context.last_slow_limits) / len(context.last_slow_limits)
    assert low <= mean <= high, mean


@then("the limit fell to at most {limit:d} within {within:d} ms of the slowdown")
def step_limit_fell(context: Any, limit: int, within: int) -> None:
    assert min(context.limits[:within]) <= limit, context.limits[:within:50]


@when(
    "calls of exactly 20 ms saturate the server, capacity falls 5-fold for 4 s and "
    "returns"
)
def step_exact(context: Any) -> None:
    server = context.server
    row = make_row("steady", queue_length=1000, queue_wait_ms=100_000)

    def send_calls() -> None:
        while server.admission.load().queue_length < 100:
            server.arrive(row)

    server.run(2000, send_calls)
    server.capacity /= 5
    server.run(4000, send_calls)
    assert server.admission.load().limit <= 14, "the limit did not fall"
    server.capacity = float(server.slots)
    context.limits = []
    server.run(
        2000,
        lambda: (send_calls(), context.limits.append(server.admission.load().limit)),
    )


@then("the limit equals the slots again within {within:d} ms")
def step_limit_back(context: Any, within: int) -> None:
    assert max(context.limits[:within]) == context.server.slots, context.limits[::100]


@when("2 calls at a time run for 6 s, then 7 at a time with 250 ms of slowdown")
def step_short_slowdown(context: Any) -> None:
    server = context.server
    row = make_row("steady")

    def keep(count: int) -> None:
        load = server.admission.load()
        for _ in range(count - load.in_flight - load.queue_length):
            server.arrive(row)
        context.limits.append(server.admission.load().limit)

    context.limits = []
    server.run(6000, lambda: keep(2))
    context.limits = []
    server.slowdown = 4.0
    server.run(250, lambda: keep(7))
    server.slowdown = 1.0
    server.run(2000, lambda: keep(7))


@then("the limit stayed at {limit:d} from the slowdown until 2 s after it")
def step_limit_kept(context: Any, limit: int) -> None:
    assert len(context.limits) == 2250
    assert set(context.limits) == {limit}, context.limits[::100]
