"""Decides which replicas join and leave without an operator."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping

    from marjoramstep_core.ids import ReplicaId

    from .membership import Membership

# Five voters survive two losses at a time, so a silent one is not removed below that.
MINIMUM_VOTERS = 5
# Above it, a further voter costs each commit a message and adds no tolerance in use.
MAXIMUM_VOTERS = 13
# A cut or a restart may silence a replica for several seconds; what is removed has to
# catch up again.
SILENT_VOTER_MS = 12_000.0
SILENT_LEARNER_MS = 4_000.0
# Two identities at one address: the silent one has lost its disk.
REPLACED_MS = 1_000.0


@dataclass(frozen=True)
class Admit:
    """Add a replica as a learner."""

    replica_id: ReplicaId
    address: str


@dataclass(frozen=True)
class Remove:
    """Remove a replica."""

    replica_id: ReplicaId


Change = Admit | Remove


def next_change(
    membership: Membership,
    waiting: Mapping[ReplicaId, str],
    silent_ms: Mapping[ReplicaId, float],
) -> Change | None:
    """Choose the next change of the members; one at a time.

    :param membership: members now
    :param waiting: address of each replica that has asked to join just now
    :param silent_ms: time since each other member was heard
    :return: the change, None if the members are as they should be
    """
    for learner in membership.learners:
        if silent_ms.get(learner, 0.0) > SILENT_LEARNER_MS:
            return Remove(learner)
        # One learner at a time; it becomes a voter once it has caught up.
        return None
    replaced = _replaced(membership, silent_ms)
    if replaced is not None:
        return Remove(replaced)
    if len(membership.voters) < MAXIMUM_VOTERS:
        for replica_id in sorted(waiting):
            return Admit(replica_id, waiting[replica_id])
    if len(membership.voters) > MINIMUM_VOTERS:
        silent = [
            voter
            for voter in sorted(membership.voters)
            if silent_ms.get(voter, 0.0) > SILENT_VOTER_MS
        ]
        if silent:
            return Remove(silent[0])
    return None


def _replaced(
    membership: Membership, silent_ms: Mapping[ReplicaId, float]
) -> ReplicaId | None:
    """Return a voter whose address belongs to another voter now."""
    by_address: dict[str, ReplicaId] = {}
    for voter, address in sorted(membership.voters.items()):
        other = by_address.setdefault(address, voter)
        if other == voter:
            continue
        silent = max((voter, other), key=lambda one: silent_ms.get(one, 0.0))
        if silent_ms.get(silent, 0.0) > REPLACED_MS:
            return silent
    return None
