"""Tracks requests of replicas to be admitted, and when to send one."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping

    from marjoramstep_consensus.replica_core import ReplicaCore
    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import ReplicaId

# Time without a leader after which a member asks to be admitted, since it may have been
# removed.
NO_LEADER_LIMIT_MS = 4_000.0
# A replica whose last request is older than this is no longer waiting, since a waiting
# replica repeats its request more often.
REQUEST_EXPIRY_MS = 2_500.0


class JoinRequests:
    """Times of the requests of other replicas and of the last contact with a leader.

    :param clock: clock of the process
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._requested_at_ms: dict[ReplicaId, float] = {}
        self._leader_seen_at_ms = clock.now_ms()

    def record(self, replica_id: ReplicaId) -> None:
        """Record a request to be admitted.

        :param replica_id: id of the replica
        """
        self._requested_at_ms[replica_id] = self._clock.now_ms()

    def filter_current(self, waiting: Mapping[ReplicaId, str]) -> dict[ReplicaId, str]:
        """Filter out replicas that no longer repeat their request.

        :param waiting: address by id of each replica that has ever asked this leader
        :return: address by id
        """
        oldest_ms = self._clock.now_ms() - REQUEST_EXPIRY_MS
        return {
            replica_id: address
            for replica_id, address in waiting.items()
            if self._requested_at_ms.get(replica_id, 0.0) >= oldest_ms
        }

    def must_request_admission(self, core: ReplicaCore) -> bool:
        """Return whether this replica has to ask to be admitted.

        A replica that was removed while it was partitioned is still a member according
        to its own log, but no leader sends to it any more. Must be called periodically,
        since it also records when a leader was last known.

        :param core: core of this replica
        :return: whether it is not a member, or has had no leader for too long
        """
        if core.replica_id not in core.membership.members:
            return True
        if core.leader_id is not None:
            self._leader_seen_at_ms = self._clock.now_ms()
        return self._clock.now_ms() - self._leader_seen_at_ms > NO_LEADER_LIMIT_MS
