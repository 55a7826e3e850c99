"""Fingerprints of requests that a node refuses to run."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.registry import Registry


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import Fingerprint
    from marjoramstep_core.ids import ServiceName

MAX_ENTRIES = 1024
MAX_REMAINING_MS = 600_000.0

QUARANTINE_LISTS: Registry[type[QuarantineList]] = Registry("quarantine list")


@dataclass(frozen=True)
class QuarantineEntry:
    """One quarantined fingerprint.

    :param service: service whose nodes refuse it
    :param fingerprint: fingerprint of the requests to refuse
    :param remaining_ms: remaining time of the quarantine in milliseconds
    """

    service: ServiceName
    fingerprint: Fingerprint
    remaining_ms: float


@QUARANTINE_LISTS.register("refuse")
class QuarantineList:
    """Quarantined fingerprints with expiry.

    When the list is full, the entry with the least remaining time is evicted.

    :param clock: source of monotonic milliseconds
    :param max_entries: maximum number of entries
    :raises InvalidInputError: if the maximum is below 1
    """

    def __init__(self, clock: Clock, max_entries: int = MAX_ENTRIES) -> None:
        if max_entries < 1:
            raise InvalidInputError(
                f"max_entries must be at least 1, got {max_entries}",
                step="create quarantine list",
            )
        self._clock = clock
        self._max_entries = max_entries
        self._expires_ms: dict[tuple[ServiceName, Fingerprint], float] = {}

    def add(
        self, service: ServiceName, fingerprint: Fingerprint, remaining_ms: float
    ) -> None:
        """Quarantine a fingerprint; adding it again never shortens the time.

        :param service: service whose nodes refuse it
        :param fingerprint: fingerprint of the requests to refuse
        :param remaining_ms: remaining time in milliseconds, limited to 10 minutes
        :raises InvalidInputError: if the time is negative or not finite
        """
        if not math.isfinite(remaining_ms) or remaining_ms < 0:
            raise InvalidInputError(
                f"remaining_ms must be finite and not negative, got {remaining_ms}",
                step="add to quarantine",
            )
        now_ms = self._clock.now_ms()
        key = (service, fingerprint)
        expires_ms = now_ms + min(remaining_ms, MAX_REMAINING_MS)
        self._expires_ms[key] = max(expires_ms, self._expires_ms.get(key, 0.0))
        if len(self._expires_ms) > self._max_entries:
            self._drop_expired(now_ms)
        if len(self._expires_ms) > self._max_entries:
            del self._expires_ms[
                min(self._expires_ms, key=self._expires_ms.__getitem__)
            ]

    def is_quarantined(self, service: ServiceName, fingerprint: Fingerprint) -> bool:
        """Tell whether a request must be refused.

        :param service: service called
        :param fingerprint: fingerprint of the request
        :return: whether it is quarantined now
        """
        expires_ms = self._expires_ms.get((service, fingerprint))
        return expires_ms is not None and expires_ms > self._clock.now_ms()

    @property
    def has_entries(self) -> bool:
        """Whether there are any entries, including expired ones."""
        return bool(self._expires_ms)

    def entries(self) -> list[QuarantineEntry]:
        """Return the entries that have not expired.

        :return: entries with their remaining time
        """
        now_ms = self._clock.now_ms()
        self._drop_expired(now_ms)
        return [
            QuarantineEntry(service, fingerprint, expires_ms - now_ms)
            for (service, fingerprint), expires_ms in self._expires_ms.items()
        ]

    def _drop_expired(self, now_ms: float) -> None:
        expired = [
            key for key, expires_ms in self._expires_ms.items() if expires_ms <= now_ms
        ]
        for key in expired:
            del self._expires_ms[key]


@QUARANTINE_LISTS.register("off")
class DisabledQuarantineList(QuarantineList):
    """Baseline for comparison: keeps entries, but refuses no request."""

    def is_quarantined(self, service: ServiceName, fingerprint: Fingerprint) -> bool:
        """Allow the request.

        :return: always false
        """
        return False
