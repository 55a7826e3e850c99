"""Leader's view of the replication state of another member."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .entry import Snapshot


@dataclass
class Progress:
    """Replication state of one member; times are monotonic milliseconds.

    :param next_index: index of the next entry to send
    :param match_index: highest index known to be durable on the member
    :param acked_round: newest heartbeat round that the member acknowledged
    :param acked_round_sent_ms: time at which that round was sent; at first the time at
        which the member was added
    :param sent_last_index: last index of the batch or snapshot that is not yet
        acknowledged, or 0
    :param sent_ms: time at which that batch or snapshot part was sent
    :param snapshot: snapshot being sent; not replaced by a newer one, because a slow
        member would then never receive a complete snapshot
    :param snapshot_offset_bytes: number of its bytes that the member has stored
    :param catch_up_target: index that a learner must reach in its catch-up round, or 0
    :param catch_up_start_ms: time at which the catch-up round started
    :param has_caught_up: whether a learner has completed a fast catch-up round
    :param heartbeat_sent_ms: time of the last heartbeat
    """

    next_index: int
    acked_round_sent_ms: float
    match_index: int = 0
    acked_round: int = 0
    sent_last_index: int = 0
    sent_ms: float = 0.0
    snapshot: Snapshot | None = None
    snapshot_offset_bytes: int = 0
    catch_up_target: int = 0
    catch_up_start_ms: float = 0.0
    has_caught_up: bool = False
    heartbeat_sent_ms: float = 0.0

    def record_match(self, index: int) -> None:
        """Record that entries up to an index are durable on the member."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        if self.sent_last_index <= self.match_index:
            self.sent_last_index = 0
        if self.snapshot is not None and self.snapshot.last_index <= index:
            self.end_snapshot()

    def record_mismatch(self, hint: int) -> bool:
        """Record that the member's log does not match before ``next_index``.

        :param hint: ``previous_index`` to try in the next ``AppendRequest``
        :return: whether there is a lower index to try; there is none if the reply is
            outdated, or if the member lost entries that it had acknowledged
        """
        before = self.next_index
        self.next_index = max(self.match_index, min(hint, before - 1)) + 1
        self.sent_last_index = 0
        return self.next_index < before

    def end_snapshot(self) -> None:
        """Clear the state of the snapshot transfer."""
        self.snapshot = None
        self.snapshot_offset_bytes = 0
        self.sent_last_index = 0
