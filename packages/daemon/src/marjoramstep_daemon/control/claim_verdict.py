"""Verdicts on a claim, as replicas send them."""

from __future__ import annotations

from enum import Enum
from enum import unique


@unique
class ClaimReplyVerdict(Enum):
    """Answer of the replicas to a claim, its end or a lookup.

    The verdicts of :class:`marjoramstep_state.results.ClaimVerdict`, and
    ``NOT_LEADER``. A replica also answers ``UNAVAILABLE`` and ``BAD_KEY`` itself.
    """

    # The attempt holds the key and may run.
    GRANTED = "granted"
    # An attempt holds the key.
    RUNNING = "running"
    # An attempt has finished; the reply may hold its answer.
    DONE = "done"
    # For a claim: this attempt was abandoned. For a lookup: no attempt holds the key.
    ABANDONED = "abandoned"
    # A lookup has closed the key; no attempt can claim it any more.
    CLOSED = "closed"
    # For a lookup: the key is not known.
    NONE = "none"
    # The end of the claim is stored.
    RECORDED = "recorded"
    # The end was not stored, since the attempt does not hold the key.
    NOT_HOLDER = "not-holder"
    # The key is older than its lifetime.
    EXPIRED = "expired"
    # The key is malformed or too far ahead of the log time, or the command is invalid.
    BAD_KEY = "bad-key"
    # The key was used for another request.
    KEY_REUSED = "key-reused"
    # Too many claims, or it is not known whether the command was committed.
    UNAVAILABLE = "unavailable"
    NOT_LEADER = "not-leader"
