"""Policy that adds and removes replicas without an operator."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping

    from marjoramstep_core.ids import ReplicaId

    from .membership import Membership

# Five voters tolerate two concurrent failures, so an unreachable voter is not removed
# if fewer would remain.
MINIMUM_VOTERS = 5
# Beyond this number a further voter costs every commit a message and adds no fault
# tolerance that is used in practice.
MAXIMUM_VOTERS = 13
# A partition or a restart can make a replica unreachable for several seconds, and a
# removed replica has to catch up again.
VOTER_TIMEOUT_MS = 12_000.0
LEARNER_TIMEOUT_MS = 4_000.0
# A replica that is restarted with an empty data folder has a new id at the same
# address. The old id does not return, so that a short time-out suffices.
REPLACED_VOTER_TIMEOUT_MS = 1_000.0


@dataclass(frozen=True)
class Admit:
    """Add a replica as a learner."""

    replica_id: ReplicaId
    address: str


@dataclass(frozen=True)
class Remove:
    """Remove a replica."""

    replica_id: ReplicaId


MembershipChange = Admit | Remove


def next_membership_change(
    membership: Membership,
    pending_joins: Mapping[ReplicaId, str],
    silent_ms: Mapping[ReplicaId, float],
) -> MembershipChange | None:
    """Choose the next membership change; changes are made one at a time.

    While a learner catches up, no other change is made.

    :param membership: current membership
    :param pending_joins: address of each replica that has recently asked to join
    :param silent_ms: time since the last message from each other member
    :return: the change, or None if no change is needed
    """
    for learner in membership.learners:
        if silent_ms.get(learner, 0.0) > LEARNER_TIMEOUT_MS:
            return Remove(learner)
        # Only one learner at a time; it is promoted once it has caught up.
        return None
    replaced = _find_replaced(membership, silent_ms)
    if replaced is not None:
        return Remove(replaced)
    if len(membership.voters) < MAXIMUM_VOTERS:
        for replica_id in sorted(pending_joins):
            return Admit(replica_id, pending_joins[replica_id])
    if len(membership.voters) > MINIMUM_VOTERS:
        unreachable = [
            voter
            for voter in sorted(membership.voters)
            if silent_ms.get(voter, 0.0) > VOTER_TIMEOUT_MS
        ]
        if unreachable:
            return Remove(unreachable[0])
    return None


def _find_replaced(
    membership: Membership, silent_ms: Mapping[ReplicaId, float]
) -> ReplicaId | None:
    """Return an unreachable voter whose address now belongs to another voter."""
    by_address: dict[str, ReplicaId] = {}
    for voter, address in sorted(membership.voters.items()):
        other = by_address.setdefault(address, voter)
        if other == voter:
            continue
        unreachable = max((voter, other), key=lambda one: silent_ms.get(one, 0.0))
        if silent_ms.get(unreachable, 0.0) > REPLACED_VOTER_TIMEOUT_MS:
            return unreachable
    return None
