"""Limits how often a client may resend a request under one request key.

Each resend costs one of the retries that the row of the routing table allows.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.registry import Registry

from .retry_allowance import RETRY_ALLOWANCES
from .retry_allowance import RetryAllowance


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import RequestKey

MAX_KEYS = 50_000

RESEND_TRACKERS: Registry[type[ResendTracker]] = Registry("resend tracker")


@dataclass(frozen=True)
class ResendDecision:
    """Decision on an arriving request.

    :param allowed: whether it may run; otherwise refuse it with ``retries-exhausted``
    :param is_resend: whether the key was known
    :param allowance: retry tokens of the key, shared by all its attempts at this node
    """

    allowed: bool
    is_resend: bool
    allowance: RetryAllowance


@dataclass
class _Entry:
    allowance: RetryAllowance
    expires_ms: float


@RESEND_TRACKERS.register("counted")
class ResendTracker:
    """Keeps the retry allowance of each key; a resend costs a token like any retry.

    Each arrival restarts the lifetime of its key, so that a client that keeps resending
    gets no new allowance. The number of keys is limited; the key that arrived least
    recently is evicted. Eviction, like expiry, closes the key's allowance: an attempt
    still in flight can no longer retry at this hop, and the next arrival of the key
    counts as a first attempt with a new allowance. Each eviction therefore adds at most
    one first attempt and one new allowance to the tokens that its calls in flight
    downstream already hold. Requests that must not run twice do not depend on this
    limit: a durable claim on the request key allows a single run.

    :param clock: source of monotonic milliseconds
    :param max_keys: maximum number of remembered keys
    :param allowance: name of the variant of ``RETRY_ALLOWANCES``
    :raises InvalidInputError: if the maximum is below 1 or the variant is unknown
    """

    def __init__(
        self, clock: Clock, max_keys: int = MAX_KEYS, allowance: str = "tokens"
    ) -> None:
        if max_keys < 1:
            raise InvalidInputError(
                f"max_keys must be at least 1, got {max_keys}",
                step="create resend tracker",
            )
        self._clock = clock
        self._max_keys = max_keys
        self._allowance_type = RETRY_ALLOWANCES.get(allowance)
        self._entries: OrderedDict[RequestKey, _Entry] = OrderedDict()

    def record_arrival(
        self, key: RequestKey, retries: int, lifetime_ms: float
    ) -> ResendDecision:
        """Record an arrival of a request.

        :param key: request key of the client
        :param retries: the row's retries, used when the key is new
        :param lifetime_ms: how long the key is remembered after this arrival, longer
            than the longest deadline
        :return: the decision, with the allowance of the key
        :raises InvalidInputError: if the lifetime is negative, or if the key is new and
            the retries are negative
        """
        if lifetime_ms < 0:
            raise InvalidInputError(
                f"lifetime_ms must not be negative, got {lifetime_ms}",
                step="record arrival of request",
            )
        now_ms = self._clock.now_ms()
        entry = self._entries.get(key)
        if entry is not None and entry.expires_ms > now_ms:
            entry.expires_ms = now_ms + lifetime_ms
            self._entries.move_to_end(key)
            return ResendDecision(entry.allowance.take(), True, entry.allowance)
        allowance = self._allowance_type(retries)
        if entry is not None:
            entry.allowance.close()
        self._entries[key] = _Entry(allowance, now_ms + lifetime_ms)
        self._entries.move_to_end(key)
        self._evict(now_ms)
        return ResendDecision(True, False, allowance)

    def __len__(self) -> int:
        return len(self._entries)

    def _evict(self, now_ms: float) -> None:
        while self._entries:
            least_recent = next(iter(self._entries.values()))
            is_over_limit = len(self._entries) > self._max_keys
            if not is_over_limit and least_recent.expires_ms > now_ms:
                return
            self._entries.popitem(last=False)[1].allowance.close()


@RESEND_TRACKERS.register("uncounted")
class UncountedResendTracker(ResendTracker):
    """Baseline for comparison: treats each resend as a first attempt."""

    def record_arrival(
        self, key: RequestKey, retries: int, lifetime_ms: float
    ) -> ResendDecision:
        """Allow the request without remembering its key.

        :return: a decision with a full allowance
        """
        return ResendDecision(True, False, self._allowance_type(retries))
