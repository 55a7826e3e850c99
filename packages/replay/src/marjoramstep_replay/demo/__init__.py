"""A small deployment on loopback to try the system on one machine."""

from __future__ import annotations

from .demo import Demo
from .demo import DemoOptions


__all__ = ["Demo", "DemoOptions"]
