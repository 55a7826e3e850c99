"""Admission control for the backend server of a node."""

from __future__ import annotations

from .baseline import ADMISSION_VARIANTS
from .controller import AdmissionController
from .messages import Admission
from .messages import AdmissionLoad
from .messages import AdmissionRequest
from .messages import Decision
from .messages import Refuse
from .messages import Start
from .root_throttle import ROOT_THROTTLES
from .root_throttle import RootThrottle
from .shed_breaker import SHED_BREAKERS
from .shed_breaker import ShedBreaker
from .size_class import SIZE_CLASS_VARIANTS
from .size_class import SizeClasses
from .size_class import SizeClassifier


__all__ = [
    "ROOT_THROTTLES",
    "RootThrottle",
    "SHED_BREAKERS",
    "ShedBreaker",
    "ADMISSION_VARIANTS",
    "SIZE_CLASS_VARIANTS",
    "Admission",
    "AdmissionController",
    "AdmissionLoad",
    "AdmissionRequest",
    "Decision",
    "Refuse",
    "SizeClasses",
    "SizeClassifier",
    "Start",
]
