"""Steps for subscriptions ahead of the first request."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given
from behave import then
from behave import when
from daemon_harness import run
from daemon_harness import wait_until
from marjoramstep_core.table import EditOperation
from marjoramstep_core.table import Table
from marjoramstep_core.table import apply_operations
from marjoramstep_daemon.callers.subscription_prefetcher import SubscriptionPrefetcher


SETTLE_SECONDS = 0.1


def _table(weights: dict[str, int], version: int = 1) -> Table:
    operations = [
        {
            "kind": "add",
            "row": f"row-{service}",
            "cells": {
                "host": f"{service}.example",
                "path_prefix": "/",
                "targets": f"{service}:1",
                "weight": weight,
            },
        }
        for service, weight in weights.items()
    ]
    edits = [EditOperation.from_json(operation) for operation in operations]
    return Table(version, apply_operations(Table(), edits).rows)


def _run(context: Any, tables: list[Table], count: int) -> None:
    async def scenario() -> None:
        subscribed: list[str] = []
        prefetcher = SubscriptionPrefetcher(subscribed.append, 0.0, 0.0, 0.0)
        for table in tables:
            prefetcher.on_table(table)
            await asyncio.sleep(0.01)
        await wait_until(lambda: len(subscribed) >= count)
        await asyncio.sleep(SETTLE_SECONDS)
        context.subscribed = subscribed

    run(scenario())


@given('a node whose table sends requests to the services "{names}"')
def step_table(context: Any, names: str) -> None:
    context.weights = dict.fromkeys(names.split(","), 1)
    context.tables = [_table(context.weights)]


@given("a node whose table sends requests to {count:d} services of rising weight")
def step_many(context: Any, count: int) -> None:
    context.weights = {f"s{number:02d}": number + 1 for number in range(count)}
    context.tables = [_table(context.weights)]


@when("no request arrives")
def step_no_request(context: Any) -> None:
    _run(context, context.tables, 1)


@when('a later table also sends requests to the service "{name}"')
def step_later(context: Any, name: str) -> None:
    context.weights[name] = 1
    _run(context, [*context.tables, _table(context.weights, version=2)], 2)


@then('the node has subscribed to "{names}"')
def step_subscribed(context: Any, names: str) -> None:
    assert sorted(context.subscribed) == names.split(","), context.subscribed


@then("the node has subscribed to the {count:d} services of the highest weights")
def step_highest(context: Any, count: int) -> None:
    ordered = sorted(context.weights, key=lambda name: -context.weights[name])
    assert context.subscribed == ordered[:count], context.subscribed


@given("{count:d} nodes that start together")
def step_together(context: Any, count: int) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        context.due_seconds = []
        for _ in range(count):
            prefetcher = SubscriptionPrefetcher(lambda _: None)
            started_seconds = loop.time()
            prefetcher.on_table(_table({"store": 1}))
            timer = prefetcher._timer
            context.due_seconds.append(timer.when() - started_seconds)
            timer.cancel()

    run(scenario())


@then(
    "their first subscriptions are due over at least {spread:d} s, none before"
    " {first:d} s"
)
def step_spread(context: Any, spread: int, first: int) -> None:
    due = context.due_seconds
    assert min(due) >= first, min(due)
    assert max(due) - min(due) >= spread, (min(due), max(due))
