"""Admits and removes replicas while this replica leads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_consensus.voter_policy import Admit
from marjoramstep_consensus.voter_policy import next_membership_change
from marjoramstep_core.errors import MarjoramstepError


if TYPE_CHECKING:
    from marjoramstep_consensus.effects import Effect
    from marjoramstep_consensus.replica_core import ReplicaCore

    from ..log import EventLog
    from .replica import Replica

CHECK_INTERVAL_SECONDS = 0.25


class ReplicaSetReconciler:
    """Starts the membership changes that the voter policy decides.

    :param replica: the replica of this process
    :param target_voters: intended number of voters
    :param log: event log
    """

    def __init__(self, replica: Replica, target_voters: int, log: EventLog) -> None:
        self._replica = replica
        self._target_voters = target_voters
        self._log = log

    async def run(self) -> None:
        """Check the membership periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if self._replica.is_leader:
                self._check()

    def _check(self) -> None:
        core, quorum_contact = self._replica.core, self._replica.quorum_contact
        change = next_membership_change(
            core.membership,
            self._replica.current_join_requests(),
            quorum_contact.since_heard_ms(),
            core.catching_up(),
            self._target_voters,
        )
        if change is None:
            return

        def apply(core: ReplicaCore) -> list[Effect]:
            if isinstance(change, Admit):
                return core.admit(change.replica_id, change.address)
            return core.remove(change.replica_id)

        kind = type(change).__name__.lower()
        try:
            self._replica.change_membership(apply)
        except MarjoramstepError as error:
            # Usually another change is not committed yet. The next check tries again.
            self._log.write(
                "change of replicas put off", step=error.step, error=error.message
            )
            return
        # The change is started but not yet committed, so it may still be lost.
        self._log.write(
            "replicas changed",
            step="change membership",
            peer=change.replica_id,
            change=kind,
            voters=len(core.membership.voters),
        )
