"""Invariants that must hold in every schedule."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from marjoramstep_consensus.entry import Entry


class ViolationError(AssertionError):
    """An invariant is violated."""


class ListMachine:
    """State machine that stores the ids of proposals without duplicates."""

    def __init__(self) -> None:
        self.ids: list[str] = []
        self._known: set[str] = set()

    def apply(self, entry: Entry) -> int:
        proposal_id = entry.payload.decode()
        if proposal_id not in self._known:
            self._known.add(proposal_id)
            self.ids.append(proposal_id)
        return len(self.ids)

    def restore(self, data: bytes) -> None:
        self.ids = json.loads(data)
        self._known = set(self.ids)

    def snapshot(self) -> bytes:
        return json.dumps(self.ids).encode()


class Checker:
    """Checks the invariants across all replicas of a schedule."""

    def __init__(self) -> None:
        self._leaders: dict[int, str] = {}
        self._committed: dict[int, Entry] = {}
        self.acknowledged: set[str] = set()

    def check_single_leader(self, replica_id: str, term: int) -> None:
        """Check that a term has at most one leader."""
        first_seen = self._leaders.setdefault(term, replica_id)
        if first_seen != replica_id:
            raise ViolationError(
                f"two leaders in term {term}: {first_seen}, {replica_id}"
            )

    def check_applied(self, replica_id: str, entry: Entry) -> None:
        """Check that an index always has the same entry, and the order of log times."""
        first_seen = self._committed.setdefault(entry.index, entry)
        if first_seen != entry:
            raise ViolationError(
                f"{replica_id} applied {entry} but {first_seen} was committed"
            )
        before = self._committed.get(entry.index - 1)
        if before is not None and before.time_ms > entry.time_ms:
            raise ViolationError(f"log time decreases at index {entry.index}")

    def check_read(
        self, replica_id: str, machine: ListMachine, expected: set[str]
    ) -> None:
        """Check that a confirmed read includes what was acknowledged before it."""
        missing = expected - set(machine.ids)
        if missing:
            raise ViolationError(f"read at {replica_id} misses {sorted(missing)[:3]}")

    def check_final_states(self, machines: dict[str, ListMachine]) -> None:
        """Check that final states are equal and have each acknowledged id once."""
        first_ids = next(iter(machines.values())).ids
        for replica_id, machine in machines.items():
            if machine.ids != first_ids:
                raise ViolationError(f"the state of {replica_id} differs at the end")
            if len(set(machine.ids)) != len(machine.ids):
                raise ViolationError(f"{replica_id} holds an id twice")
            missing = self.acknowledged - set(machine.ids)
            if missing:
                raise ViolationError(
                    f"{replica_id} lost acknowledged {sorted(missing)[:3]}"
                )
