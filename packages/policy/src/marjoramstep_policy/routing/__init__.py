"""Load balancing: choice of the service and the backend server for a call."""

from __future__ import annotations

from .comparable_rows import ComparableRows
from .members import CallResult
from .members import RouteChange
from .members import RouteLoad
from .members import RouteMember
from .router import ROUTERS
from .router import Router
from .targets import TargetChooser
from .uniform import UniformRouter
from .zone_first import ZoneFirstRouter


__all__ = [
    "ROUTERS",
    "CallResult",
    "ComparableRows",
    "RouteChange",
    "RouteLoad",
    "RouteMember",
    "Router",
    "TargetChooser",
    "UniformRouter",
    "ZoneFirstRouter",
]
