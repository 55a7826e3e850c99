"""Backpressure from downstream services to the entry node."""

from __future__ import annotations

from .pressure_map import PRESSURE_VARIANTS
from .pressure_map import Pressure
from .pressure_map import PressureMap
from .pressure_map import PressureReport


__all__ = ["PRESSURE_VARIANTS", "Pressure", "PressureMap", "PressureReport"]
