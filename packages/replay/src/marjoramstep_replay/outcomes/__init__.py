"""Stated outcomes of a replay and the verdict on them."""

from __future__ import annotations

from .result import RequestResult
from .result import RunResult
from .stated import StatedOutcomes
from .stated import read_outcomes
from .verdict import CheckResult
from .verdict import judge


__all__ = [
    "CheckResult",
    "RequestResult",
    "RunResult",
    "StatedOutcomes",
    "judge",
    "read_outcomes",
]
