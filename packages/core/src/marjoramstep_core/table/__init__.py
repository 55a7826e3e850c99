"""The policy table that operators edit, with one row for each class of requests."""

from __future__ import annotations

from .edit import EditOperation
from .edit import apply_operations
from .matcher import RowMatcher
from .row import Row
from .row import SizeClassRule
from .row import TargetShare
from .table import DEFAULT_ROW_NAME
from .table import Table


__all__ = [
    "DEFAULT_ROW_NAME",
    "EditOperation",
    "Row",
    "RowMatcher",
    "SizeClassRule",
    "Table",
    "TargetShare",
    "apply_operations",
]
