"""What a leader knows of one other member."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .entry import Snapshot


@dataclass
class Progress:
    """Replication state of one member; times are monotonic milliseconds.

    :param next_index: first entry to send
    :param match_index: last entry known to be durable there
    :param acked_round: newest round that the member answered
    :param acked_ms: when that round was sent
    :param sent_last_index: last index of the batch that awaits an answer, or 0
    :param sent_ms: when that batch or snapshot part was sent
    :param snapshot: snapshot being sent; a newer one does not replace it, or a slow
        member would never receive a whole one
    :param snapshot_offset_bytes: bytes of it that the member has
    :param catch_up_target: index that a learner must reach in its round, or 0
    :param catch_up_start_ms: when the learner's round started
    """

    next_index: int
    acked_ms: float
    match_index: int = 0
    acked_round: int = 0
    sent_last_index: int = 0
    sent_ms: float = 0.0
    snapshot: Snapshot | None = None
    snapshot_offset_bytes: int = 0
    catch_up_target: int = 0
    catch_up_start_ms: float = 0.0

    def record_match(self, index: int) -> None:
        """Note that entries up to an index are durable at the member."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        if self.sent_last_index <= self.match_index:
            self.sent_last_index = 0
        if self.snapshot is not None and self.snapshot.last_index <= index:
            self.end_snapshot()

    def record_mismatch(self, hint: int) -> bool:
        """Note that the log there does not match before ``next_index``.

        :param hint: index to try as the previous one
        :return: whether there is a lower index to try; none is left when the answer is
            old, or when the member lost entries that it had acknowledged
        """
        before = self.next_index
        self.next_index = max(self.match_index, min(hint, before - 1)) + 1
        self.sent_last_index = 0
        return self.next_index < before

    def end_snapshot(self) -> None:
        """Forget the snapshot that was being sent."""
        self.snapshot = None
        self.snapshot_offset_bytes = 0
        self.sent_last_index = 0
