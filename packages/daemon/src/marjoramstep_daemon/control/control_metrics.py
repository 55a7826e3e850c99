"""Prometheus metrics of a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_wire.traffic import PROCESS_TRAFFIC


if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client.core import Metric

    from .replica import Replica


class ControlMetrics:
    """Gauges of the replicated log, read at each scrape.

    :param replica: the replica of this process
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    def collect(self) -> Iterator[Metric]:
        """Yield all gauges."""
        # Imported at the first scrape, since it takes much memory and start time.
        from .. import metric_families as families

        for name, (text, value) in self._gauges().items():
            yield families.make_gauge(f"marjoramstep_{name}", text, value)
        yield from families.make_traffic(PROCESS_TRAFFIC.sent())

    def _gauges(self) -> dict[str, tuple[str, float]]:
        core, machine = self._replica.core, self._replica.machine
        since_heard_ms = self._replica.quorum_contact.since_heard_ms().values()
        return {
            "replica_leads": ("1 for the leader.", float(self._replica.is_leader)),
            "replica_term": ("Term of the log.", core.term),
            "replica_voters": ("Voters.", len(core.membership.voters)),
            "replica_learners": ("Learners.", len(core.membership.learners)),
            "replica_last_index": ("Index of the last log entry.", core.last_index),
            "replica_commit_index": (
                "Index of the last committed log entry.",
                core.commit_index,
            ),
            "replica_applied_index": (
                "Index of the last applied log entry.",
                core.applied_index,
            ),
            "replica_confirmed_age_ms": (
                "Time since a quorum confirmed the leader, negative if unknown.",
                self._replica.confirmed_age_ms(),
            ),
            "replica_longest_silence_ms": (
                "Longest time since a reply of another member; only meaningful if"
                " replica_leads is 1.",
                max(since_heard_ms, default=0.0),
            ),
            "table_version": ("Version of the table.", machine.table.version),
            "table_revision": (
                "Revision of the last accepted replacement of the whole table.",
                machine.revision,
            ),
            "claims": ("Stored claims of request keys.", machine.claim_count),
        }
