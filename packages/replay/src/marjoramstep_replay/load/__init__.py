"""Sends the requests of a trace and injects its faults."""

from __future__ import annotations

from .fault_injector import FaultInjector
from .sender import TraceSender


__all__ = ["FaultInjector", "TraceSender"]
