"""Admission control, circuit breaker, root throttle and size classes of rows."""

from __future__ import annotations

from .baseline import ADMISSION_VARIANTS
from .circuit_breaker import CIRCUIT_BREAKERS
from .circuit_breaker import CircuitBreaker
from .controller import AdmissionController
from .messages import AdmissionControl
from .messages import AdmissionLoad
from .messages import AdmissionRequest
from .messages import Decision
from .messages import Refuse
from .messages import Start
from .root_throttle import ROOT_THROTTLES
from .root_throttle import RootThrottle
from .size_classifier import SIZE_CLASSIFIERS
from .size_classifier import LearnedSizeClassifier
from .size_classifier import SizeClassifier


__all__ = [
    "ROOT_THROTTLES",
    "RootThrottle",
    "CIRCUIT_BREAKERS",
    "CircuitBreaker",
    "ADMISSION_VARIANTS",
    "SIZE_CLASSIFIERS",
    "AdmissionControl",
    "AdmissionController",
    "AdmissionLoad",
    "AdmissionRequest",
    "Decision",
    "Refuse",
    "SizeClassifier",
    "LearnedSizeClassifier",
    "Start",
]
