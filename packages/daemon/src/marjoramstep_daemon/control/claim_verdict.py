"""Verdicts on a claim, as replicas send them."""

from __future__ import annotations

from enum import Enum
from enum import unique


@unique
class ClaimVerdict(Enum):
    """Answer of the replicas to a claim, its end or a lookup.

    The state machine returns all of them except ``NOT_LEADER``.
    """

    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"
    ABANDONED = "abandoned"
    CLOSED = "closed"
    NONE = "none"
    RECORDED = "recorded"
    NOT_HOLDER = "not-holder"
    EXPIRED = "expired"
    BAD_KEY = "bad-key"
    KEY_REUSED = "key-reused"
    UNAVAILABLE = "unavailable"
    NOT_LEADER = "not-leader"
