"""Backpressure from downstream services to the entry node."""

from __future__ import annotations

from .backpressure_map import BACKPRESSURE_VARIANTS
from .backpressure_map import Backpressure
from .backpressure_map import BackpressureReport
from .backpressure_map import ReportedBackpressure


__all__ = [
    "BACKPRESSURE_VARIANTS",
    "Backpressure",
    "ReportedBackpressure",
    "BackpressureReport",
]
