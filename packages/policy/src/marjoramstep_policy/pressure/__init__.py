"""Backpressure from downstream services to the entry node."""

from __future__ import annotations

from .backpressure_map import BACKPRESSURE_VARIANTS
from .backpressure_map import Backpressure
from .backpressure_map import BackpressureMap
from .backpressure_map import BackpressureReport


__all__ = [
    "BACKPRESSURE_VARIANTS",
    "Backpressure",
    "BackpressureMap",
    "BackpressureReport",
]
