"""Chooses the replica that a node asks for the table."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from marjoramstep_core.addresses import Address
    from marjoramstep_core.clock import Clock

# A replica that has not replied in this time is passed over. Several replicas can be
# asked in turn within the seconds in which a table has to be in force.
REPLY_TIMEOUT_MS = 250.0


class TableRequests:
    """Asks one replica at a time.

    Every replica announces a new version. If each announcement were answered by a
    request, every node would get each change once from every replica.

    :param clock: clock of the node
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._asked: Address | None = None
        self._asked_at_ms = float("-inf")
        self._announced_by: Address | None = None
        self._turn = 0

    @property
    def is_pending(self) -> bool:
        """Whether a request still waits for its reply."""
        elapsed_ms = self._clock.now_ms() - self._asked_at_ms
        return self._asked is not None and elapsed_ms < REPLY_TIMEOUT_MS

    def record_announcement(self, replica: Address) -> None:
        """Record that a replica has announced a newer version.

        :param replica: address of the replica
        """
        if not self.is_pending:
            self._announced_by = replica

    def record_reply(self, replica: Address) -> None:
        """Record that a replica has replied.

        :param replica: address of the replica
        """
        if replica == self._asked:
            self._asked = None

    def choose(self, open_replicas: Sequence[Address]) -> Address | None:
        """Choose the replica to ask now.

        :param open_replicas: replicas with an open connection
        :return: the replica that has announced the version, else each one in turn;
            None while a request waits for its reply, or without a connection
        """
        if self.is_pending or not open_replicas:
            return None
        silent = self._asked
        chosen, self._announced_by = self._announced_by, None
        if chosen not in open_replicas or chosen == silent:
            others = [one for one in open_replicas if one != silent]
            candidates = others or list(open_replicas)
            self._turn += 1
            chosen = candidates[self._turn % len(candidates)]
        self._asked = chosen
        self._asked_at_ms = self._clock.now_ms()
        return chosen
