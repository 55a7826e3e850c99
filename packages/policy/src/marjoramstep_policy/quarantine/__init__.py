"""Quarantine of requests that are suspected of crashing backend servers."""

from __future__ import annotations

from .crash_tracker import CrashReport
from .crash_tracker import CrashSuspects
from .crash_tracker import CrashTracker
from .fingerprint import FINGERPRINT_BODY_BYTES
from .fingerprint import FingerprintBuilder
from .fingerprint import fingerprint_request
from .quarantine_list import QUARANTINE_LISTS
from .quarantine_list import QuarantineEntry
from .quarantine_list import QuarantineList


__all__ = [
    "FINGERPRINT_BODY_BYTES",
    "QUARANTINE_LISTS",
    "CrashReport",
    "CrashSuspects",
    "CrashTracker",
    "FingerprintBuilder",
    "QuarantineEntry",
    "QuarantineList",
    "fingerprint_request",
]
