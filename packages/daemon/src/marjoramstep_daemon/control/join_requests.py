"""Who asks to be admitted to the replicas, and when to ask."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping

    from marjoramstep_consensus.replica_core import ReplicaCore
    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import ReplicaId

# Time without a leader after which a member asks whether it still is one.
LEFT_OUT_MS = 4_000.0
# A replica that waits repeats its request more often than this.
ASKED_MS = 2_500.0


class JoinRequests:
    """Times of the requests of others, and of the last contact with a leader.

    :param clock: clock of the process
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._asked_ms: dict[ReplicaId, float] = {}
        self._led_ms = clock.now_ms()

    def note(self, replica_id: ReplicaId) -> None:
        """Note that a replica has asked.

        :param replica_id: id of the replica
        """
        self._asked_ms[replica_id] = self._clock.now_ms()

    def recent(self, waiting: Mapping[ReplicaId, str]) -> dict[ReplicaId, str]:
        """Leave out replicas that no longer ask.

        :param waiting: address of each replica that has ever asked this leader
        :return: address by id
        """
        oldest_ms = self._clock.now_ms() - ASKED_MS
        return {
            replica_id: address
            for replica_id, address in waiting.items()
            if self._asked_ms.get(replica_id, 0.0) >= oldest_ms
        }

    def seems_left_out(self, core: ReplicaCore) -> bool:
        """Tell whether this replica has to ask to be admitted.

        One that was removed while it was cut off still finds itself in its own log, but
        no leader sends to it any more.

        :param core: core of this replica
        :return: whether it is no member, or has had no leader for long
        """
        if core.replica_id not in core.membership.members:
            return True
        if core.leader_id is not None:
            self._led_ms = self._clock.now_ms()
        return self._clock.now_ms() - self._led_ms > LEFT_OUT_MS
