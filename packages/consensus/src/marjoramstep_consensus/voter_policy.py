"""Policy that adds and removes replicas without an operator."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from marjoramstep_core.ids import ReplicaId

    from .membership import Membership

# Five voters tolerate two concurrent failures. Each further voter costs every commit a
# message, and every node a connection.
TARGET_VOTERS = 5
# Bounds the entries that the leader sends for each change.
MEMBER_LIMIT = 25
# A voter that is unreachable for this long, when learners have taken its place, is
# removed: it raises the majority, so that fewer further losses would be tolerated. It
# is admitted again as a learner when it returns.
LOST_VOTER_TIMEOUT_MS = 4_500.0
# A partition or a restart can make a learner unreachable for several seconds, and a
# removed replica has to catch up again.
SYNCED_LEARNER_TIMEOUT_MS = 12_000.0
LEARNER_TIMEOUT_MS = 4_000.0
# A replica that is restarted with an empty data folder has a new id at the same
# address. The old id does not return, so that a short time-out suffices.
REPLACED_VOTER_TIMEOUT_MS = 1_000.0


def count_target_voters(tolerated_losses: int) -> int:
    """Return the number of voters that tolerates a number of concurrent losses.

    :param tolerated_losses: replicas that may be lost at the same time
    :return: number of voters, never below the default
    """
    return max(2 * tolerated_losses + 1, TARGET_VOTERS)


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
    catching_up: Collection[ReplicaId] | None = None,
    target_voters: int = TARGET_VOTERS,
) -> MembershipChange | None:
    """Choose the next membership change; changes are made one at a time.

    Each replica that asks is admitted as a learner. The leader promotes learners while
    too few voters answer, and the others stay learners. While a learner catches up, no
    other change is made.

    :param membership: current membership
    :param pending_joins: address of each replica that has recently asked to join
    :param silent_ms: time since the last message from each other member
    :param catching_up: learners that do not hold the log yet; all of them by default
    :param target_voters: intended number of voters
    :return: the change, or None if no change is needed
    """
    if catching_up is None:
        catching_up = membership.learners
    for learner in sorted(membership.learners):
        is_catching_up = learner in catching_up
        limit_ms = LEARNER_TIMEOUT_MS if is_catching_up else SYNCED_LEARNER_TIMEOUT_MS
        if silent_ms.get(learner, 0.0) > limit_ms:
            return Remove(learner)
    if catching_up:
        return None
    replaced = _find_replaced(membership, silent_ms)
    if replaced is not None:
        return Remove(replaced)
    if len(membership.members) < MEMBER_LIMIT:
        for replica_id in sorted(pending_joins):
            return Admit(replica_id, pending_joins[replica_id])
    unreachable = [
        voter
        for voter in sorted(membership.voters)
        if silent_ms.get(voter, 0.0) > LOST_VOTER_TIMEOUT_MS
    ]
    if unreachable and len(membership.voters) - len(unreachable) >= target_voters:
        return Remove(unreachable[0])
    return None


def _find_replaced(
    membership: Membership, silent_ms: Mapping[ReplicaId, float]
) -> ReplicaId | None:
    """Return an unreachable member whose address now belongs to another one.

    A voter is only removed if the other member votes as well.
    """
    by_address: dict[str, ReplicaId] = {}
    for member, address in sorted(membership.members.items()):
        other = by_address.setdefault(address, member)
        if other == member:
            continue
        unreachable = max((member, other), key=lambda one: silent_ms.get(one, 0.0))
        if silent_ms.get(unreachable, 0.0) <= REPLACED_VOTER_TIMEOUT_MS:
            continue
        both_vote = {member, other} <= membership.voters.keys()
        if both_vote or unreachable in membership.learners:
            return unreachable
    return None
