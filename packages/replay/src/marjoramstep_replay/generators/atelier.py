"""Workload of the heraldic atelier."""

from __future__ import annotations

from .workload import WORKLOADS
from .workload import Call
from .workload import Flow
from .workload import Service
from .workload import ServicePath
from .workload import Workload


SCAN_BYTES = 2 * 1024 * 1024
SCAN_LIMIT_BYTES = 64 * 1024 * 1024

TINCTURE = Call("archive", "GET", "/tincture/{n}")
ORDER_LOOKUP = Call("status", "GET", "/orders/{n}")
ORDER_NOTE = Call("status", "POST", "/orders/{n}")

ROWS = (
    {
        "name": "blazon-read",
        "service": "archive",
        "method": "GET",
        "path_prefix": "/blazon",
        "weight": 10,
        "repeatable": True,
        "deadline_ms": 2000,
        "size_class": "short",
    },
    {
        "name": "tincture-lookup",
        "service": "archive",
        "method": "GET",
        "path_prefix": "/tincture",
        "weight": 300,
        "repeatable": True,
        "deadline_ms": 2000,
        "size_class": "short",
    },
    {
        "name": "commission-status",
        "service": "status",
        "method": "GET",
        "path_prefix": "/commission",
        "weight": 50,
        "repeatable": True,
        "deadline_ms": 3000,
        "size_class": "short",
    },
    {
        "name": "order-lookup",
        "service": "status",
        "method": "GET",
        "path_prefix": "/orders",
        "weight": 300,
        "repeatable": True,
        "deadline_ms": 2000,
        "size_class": "short",
    },
    {
        "name": "order-note",
        "service": "status",
        "method": "POST",
        "path_prefix": "/orders",
        "weight": 800,
        "repeatable": False,
        "deadline_ms": 5000,
        "size_class": "short",
    },
    {
        "name": "deposit",
        "service": "booking",
        "method": "POST",
        "path_prefix": "/deposit",
        "weight": 900,
        "repeatable": False,
        "deadline_ms": 8000,
        "queue_wait_ms": 4000,
        "size_class": "short",
    },
    {
        "name": "painting",
        "service": "booking",
        "method": "POST",
        "path_prefix": "/painting",
        "weight": 800,
        "repeatable": False,
        "deadline_ms": 8000,
        "queue_wait_ms": 4000,
        "size_class": "short",
    },
    {
        "name": "panel-lookup",
        "service": "storage",
        "method": "GET",
        "path_prefix": "/panel",
        "weight": 300,
        "repeatable": True,
        "deadline_ms": 3000,
        "size_class": "short",
    },
    {
        "name": "scan-upload",
        "service": "storage",
        "method": "PUT",
        "path_prefix": "/scan",
        "weight": 700,
        "repeatable": True,
        "deadline_ms": 120_000,
        "size_class": "long",
        "queue_wait_ms": 60_000,
        "expected_ms": 3000,
        "body_limit_bytes": SCAN_LIMIT_BYTES,
    },
)

SERVICES = (
    Service(
        "archive",
        4,
        120,
        800,
        (ServicePath("/blazon", 20.0), ServicePath("/tincture", 8.0)),
    ),
    Service(
        "booking",
        4,
        120,
        800,
        (
            ServicePath("/deposit", 20.0, (TINCTURE, ORDER_NOTE)),
            ServicePath("/painting", 20.0, (TINCTURE, ORDER_NOTE), "parallel"),
        ),
    ),
    Service(
        "storage",
        4,
        120,
        800,
        (ServicePath("/panel", 10.0), ServicePath("/scan", 200.0)),
    ),
    Service(
        "status",
        4,
        50,
        400,
        (
            ServicePath("/commission", 8.0, (ORDER_LOOKUP,)),
            ServicePath("/orders", 4.0, (TINCTURE,)),
        ),
    ),
)


@WORKLOADS.register("atelier")
def make_atelier() -> Workload:
    """Build the workload of the atelier at the sizes of the requirements.

    :return: the workload
    """
    return Workload(
        name="atelier",
        zones=("zone-1", "zone-2", "zone-3", "zone-4"),
        services=SERVICES,
        rows=ROWS,
        flows=(
            Flow("blazon", "archive", "GET", "/blazon/{n}", 0.42),
            Flow("status", "status", "GET", "/commission/{n}", 0.18),
            Flow("tincture", "archive", "GET", "/tincture/{n}", 0.10),
            Flow("order", "status", "GET", "/orders/{n}", 0.08),
            Flow("panel", "storage", "GET", "/panel/{n}", 0.08),
            Flow("deposit", "booking", "POST", "/deposit/{n}", 0.08, 400),
            Flow("painting", "booking", "POST", "/painting/{n}", 0.06, 800),
        ),
        upload=Flow("scan", "storage", "PUT", "/scan/{n}", 0.0, SCAN_BYTES, 12),
        lookups=("panel",),
        important=("deposit", "painting"),
        deep_service="archive",
    )
