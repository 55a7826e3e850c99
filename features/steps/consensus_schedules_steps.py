"""Steps for the random fault schedules."""

from __future__ import annotations

import os
import sys
from collections import Counter
from typing import Any

from behave import then
from behave import when
from support.consensus_checker import ViolationError
from support.consensus_replica import InjectedBugs
from support.consensus_schedule import Schedule


COUNTERS = (
    "truncated",
    "interrupted_writes",
    "installed",
    "confirmed_reads",
    "wiped",
    "admitted",
    "removed",
)
BUG_SEED_LIMIT = 600
MAX_TRACES_PRINTED = 2


@when("{count:d} replication schedules run")
def step_run(context: Any, count: int) -> None:
    count = int(os.environ.get("MARJORAMSTEP_SCHEDULES", count))
    first = int(os.environ.get("MARJORAMSTEP_FIRST_SEED", 0))
    context.failures = []
    context.totals = Counter()
    for seed in range(first, first + count):
        schedule = Schedule(seed)
        try:
            schedule.run()
        except ViolationError as error:
            context.failures.append(
                f"seed {seed}: {error}\n{schedule.trace_text()}\n"
                f"run again with MARJORAMSTEP_FIRST_SEED={seed} "
                "MARJORAMSTEP_SCHEDULES=1"
            )
        for name in COUNTERS:
            context.totals[name] += getattr(schedule, name)


@then("no replication schedule violates a property")
def step_no_failure(context: Any) -> None:
    # The formatter used in CI prints no messages, and behave captures sys.stderr.
    for failure in context.failures[:MAX_TRACES_PRINTED]:
        sys.__stderr__.write(f"{failure}\n")
    assert not context.failures, f"{len(context.failures)} schedules failed"


@then("the replication schedules exercised every counted event unless the run is short")
def step_contained(context: Any) -> None:
    is_full_run = int(os.environ.get("MARJORAMSTEP_SCHEDULES", 250)) >= 250
    missing = [name for name in COUNTERS if not context.totals[name]]
    assert not is_full_run or not missing, f"none of {missing}; totals {context.totals}"


@when(
    'replication schedules run with the bug "{name}" until one reports "{texts}"',
)
def step_run_with_bug(context: Any, name: str, texts: str) -> None:
    # A bug may also stop all progress, which says less about it, so schedules run until
    # one reports a property that the bug violates.
    bugs = InjectedBugs(**{name: True})
    context.violations = []
    context.is_detected = False
    for seed in range(BUG_SEED_LIMIT):
        try:
            Schedule(seed, bugs, isolate_leaders=bugs.commit_earlier_terms).run()
        except ViolationError as error:
            context.violations.append(str(error))
            if any(text in str(error) for text in texts.split(", ")):
                context.is_detected = True
                return


@then("a replication schedule has detected the bug")
def step_detected(context: Any) -> None:
    assert context.is_detected, f"other violations: {context.violations}"
