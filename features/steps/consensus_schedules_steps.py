"""Steps for the schedules of faults."""

from __future__ import annotations

import os
import sys
from collections import Counter
from typing import Any

from behave import then
from behave import when
from support.consensus_checker import ViolationError
from support.consensus_replica import PlantedFaults
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
PLANTED_SEED_LIMIT = 600
TRACES_PRINTED = 2


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


@then("no replication schedule breaks a property")
def step_no_failure(context: Any) -> None:
    # The formatter that CI uses shows no messages, and behave captures sys.stderr.
    for failure in context.failures[:TRACES_PRINTED]:
        sys.__stderr__.write(f"{failure}\n")
    assert not context.failures, f"{len(context.failures)} schedules failed"


@then("the replication schedules contained every kind of fault")
def step_contained(context: Any) -> None:
    many = int(os.environ.get("MARJORAMSTEP_SCHEDULES", 250)) >= 250
    missing = [name for name in COUNTERS if not context.totals[name]]
    assert not many or not missing, f"none of {missing}; totals {context.totals}"


@when('replication schedules run with the fault "{name}" until one breaks')
def step_run_planted(context: Any, name: str) -> None:
    faults = PlantedFaults(**{name: True})
    context.violation = None
    for seed in range(PLANTED_SEED_LIMIT):
        try:
            Schedule(seed, faults, rotate=faults.commit_earlier_terms).run()
        except ViolationError as error:
            context.violation = str(error)
            return


@then('the broken replication schedule reports one of "{texts}"')
def step_reports(context: Any, texts: str) -> None:
    assert context.violation is not None, "no schedule found the planted fault"
    assert any(t in context.violation for t in texts.split(", ")), context.violation
