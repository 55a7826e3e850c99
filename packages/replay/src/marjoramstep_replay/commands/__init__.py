"""Plain functions for the command line, one module for each sub-command."""

from __future__ import annotations

from .generate import generate_trace
from .latency import latency
from .replay import replay_trace


__all__ = ["generate_trace", "latency", "replay_trace"]
