"""Load balancing: choice of the service and the backend server for a call."""

from __future__ import annotations

from .comparable_rows import ComparableRows
from .route_member import CallResult
from .route_member import ReportedLoad
from .route_member import RouteMember
from .route_member import SuspensionChange
from .router import ROUTERS
from .router import Router
from .target_chooser import TargetChooser
from .uniform import UniformRouter
from .zone_first import ZoneFirstRouter


__all__ = [
    "ROUTERS",
    "CallResult",
    "ComparableRows",
    "ReportedLoad",
    "RouteMember",
    "Router",
    "SuspensionChange",
    "TargetChooser",
    "UniformRouter",
    "ZoneFirstRouter",
]
