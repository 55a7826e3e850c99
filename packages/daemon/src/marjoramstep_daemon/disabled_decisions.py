"""Decisions of a node that can be disabled.

A replay can measure a deployment without them for comparison.
"""

from __future__ import annotations


ADMISSION = "admission"
BACKPRESSURE = "backpressure"
ROUTING = "routing"
RETRY_BOUND = "retry-bound"
SIZE_CLASSES = "size-classes"

DECISION_NAMES = (ADMISSION, BACKPRESSURE, ROUTING, RETRY_BOUND, SIZE_CLASSES)
