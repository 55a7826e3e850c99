"""Subscribes to the services of the table before a request needs them."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from marjoramstep_core.table.matcher import WILDCARD


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.ids import ServiceName
    from marjoramstep_core.table import Row
    from marjoramstep_core.table import Table

# While a deployment starts, each member that joins is pushed to all subscribers. After
# a few seconds one list holds them all. The spread keeps nodes that start together from
# asking at the same time.
MIN_DELAY_SECONDS = 4.0
MAX_DELAY_SECONDS = 7.0
PAUSE_SECONDS = 0.1
# Bounds the lists that a node keeps of services which it may never call. Services
# beyond it are subscribed to on their first call.
SERVICE_LIMIT = 16


class SubscriptionPrefetcher:
    """Subscribes to services one by one, some seconds after the start of the node.

    A node that learns its members only with the first request of a service has nowhere
    to send that request while it cannot reach the replicas.

    :param subscribe: subscribes to a service, if that has not happened yet
    :param min_delay_seconds: shortest time until the first subscription
    :param max_delay_seconds: longest time until the first subscription
    :param pause_seconds: time between two subscriptions
    """

    def __init__(
        self,
        subscribe: Callable[[ServiceName], None],
        min_delay_seconds: float = MIN_DELAY_SECONDS,
        max_delay_seconds: float = MAX_DELAY_SECONDS,
        pause_seconds: float = PAUSE_SECONDS,
    ) -> None:
        self._subscribe = subscribe
        self._next_delay_seconds = random.uniform(min_delay_seconds, max_delay_seconds)
        self._pause_seconds = pause_seconds
        self._chosen: set[ServiceName] = set()
        self._waiting: list[ServiceName] = []
        self._timer: asyncio.TimerHandle | None = None

    def on_table(self, table: Table) -> None:
        """Take the services of a table.

        :param table: the table in force
        """
        for service in _services_by_weight(table):
            if len(self._chosen) >= SERVICE_LIMIT:
                break
            if service not in self._chosen:
                self._chosen.add(service)
                self._waiting.append(service)
        if self._waiting and self._timer is None:
            self._schedule()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._next_delay_seconds, self._subscribe_next)
        self._next_delay_seconds = self._pause_seconds

    def _subscribe_next(self) -> None:
        self._timer = None
        self._subscribe(self._waiting.pop(0))
        if self._waiting:
            self._schedule()


def _services_by_weight(table: Table) -> list[ServiceName]:
    """Return the services that requests are sent to, those of high weight first."""
    weights: dict[ServiceName, int] = {}
    for row in table.rows.values():
        for service in _services_of(row):
            weights[service] = max(weights.get(service, 0), row.weight)
    return sorted(weights, key=lambda service: (-weights[service], service))


def _services_of(row: Row) -> set[ServiceName]:
    if row.target_shares:
        return {target.service for target in row.target_shares if target.share}
    return set() if row.service == WILDCARD else {row.service}
