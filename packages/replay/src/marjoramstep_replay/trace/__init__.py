"""Recorded traces: requests and faults with their times."""

from __future__ import annotations

from .lines import FaultAction
from .lines import TraceFault
from .lines import TraceRequest
from .reader import Trace
from .reader import read_trace
from .reader import write_trace


__all__ = [
    "FaultAction",
    "Trace",
    "TraceFault",
    "TraceRequest",
    "read_trace",
    "write_trace",
]
