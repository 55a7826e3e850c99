"""A queued call, and the orders in which queued calls start, expire and are evicted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .messages import AdmissionRequest

SortKey = tuple[float, ...]
# Calls of a row with a longer queue wait than this are meant to outlast an overload in
# the queue and are not dropped: after a refusal, their clients might give up retrying
# before the overload ends.
DROP_EXEMPT_WAIT_MS = 1000


@dataclass(slots=True, eq=False)
class QueueEntry:
    """A queued call.

    :param request: the call
    :param sequence: increases with each queued call
    :param arrived_ms: time of arrival in milliseconds
    :param expires_ms: latest time of start in milliseconds
    :param work_ms: expected service time in milliseconds
    :param is_long: whether the size class is ``LONG``
    :param queued: false once the entry has left the queue
    """

    request: AdmissionRequest
    sequence: int
    arrived_ms: float
    expires_ms: float
    work_ms: float
    is_long: bool
    queued: bool = True

    @property
    def is_drop_exempt(self) -> bool:
        """Whether the call is not dropped because of a standing queue."""
        return is_drop_exempt(self.request)


def is_drop_exempt(request: AdmissionRequest) -> bool:
    """Return whether a call is not dropped because of a standing queue.

    Dropping a sub-call would waste the work already done for its root request.

    :param request: the call
    :return: true for a sub-call and for a row that allows a long queue wait
    """
    return request.depth > 0 or request.row.queue_wait_ms > DROP_EXEMPT_WAIT_MS


def deadline_order(entry: QueueEntry) -> SortKey:
    """Order by highest weight, sub-call before root, then earliest deadline."""
    request = entry.request
    return (-request.weight, request.depth == 0, request.deadline_ms, entry.sequence)


def newest_order(entry: QueueEntry) -> SortKey:
    """Order by highest weight, sub-call before root, then newest arrival.

    Calls that are exempt from drops stay in the order of their deadlines: the oldest
    of them would otherwise wait until the whole backlog is processed.
    """
    request = entry.request
    is_root = request.depth == 0
    if entry.is_drop_exempt:
        return (-request.weight, is_root, 0, request.deadline_ms, entry.sequence)
    return (-request.weight, is_root, 1, -entry.sequence)


def victim_order(entry: QueueEntry) -> SortKey:
    """Order of eviction: lowest weight, root before sub-call, then oldest arrival."""
    request = entry.request
    return (request.weight, request.depth > 0, entry.sequence)


def expiry_order(entry: QueueEntry) -> SortKey:
    """Order by the latest time of start."""
    return (entry.expires_ms, entry.sequence)
