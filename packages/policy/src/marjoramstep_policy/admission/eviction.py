"""Chooses the call that leaves a full queue."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .messages import AdmissionRequest
    from .queue import AdmissionQueue


def make_room(
    queue: AdmissionQueue, request: AdmissionRequest, queue_limit: int
) -> AdmissionRequest | None:
    """Choose the call to refuse if the queue is full, and remove it from the queue.

    :param queue: the queue
    :param request: call that arrives
    :param queue_limit: limit of the queue over all rows
    :return: ``None`` if there is room, or the request itself if no queued call has a
        lower weight
    """
    row = request.row
    if row.queue_length == 0 or row.queue_wait_ms == 0:
        return request
    if queue.row_count(row.name) >= row.queue_length:
        victim = queue.victim(row.name)
    elif len(queue) >= queue_limit:
        victim = queue.victim()
    else:
        return None
    if victim is None or victim.request.weight >= request.weight:
        return request
    queue.remove(victim)
    return victim.request
