"""Workload of the regulator of tolled highways."""

from __future__ import annotations

from .workload import WORKLOADS
from .workload import Call
from .workload import Flow
from .workload import Service
from .workload import ServicePath
from .workload import Workload


LEDGER_BYTES = 4 * 1024 * 1024
LEDGER_LIMIT_BYTES = 256 * 1024 * 1024

TARIFF = Call("tariffs", "GET", "/tariff/{n}")
PASSAGE = Call("passages", "GET", "/passage/{n}")
SETTLED = Call("settlements", "GET", "/settled/{n}")

# A surge of the overload trace leaves about 4 s of work of settlements and audits. No
# scheduler can complete it if the default wait of 500 ms bounds the queue.
ROWS = (
    {
        "name": "tariff-check",
        "service": "tariffs",
        "method": "GET",
        "path_prefix": "/tariff",
        "weight": 10,
        "repeatable": True,
        "deadline_ms": 1500,
        "size_class": "short",
    },
    {
        "name": "passage-lookup",
        "service": "passages",
        "method": "GET",
        "path_prefix": "/passage",
        "weight": 50,
        "repeatable": True,
        "deadline_ms": 2500,
        "size_class": "short",
    },
    {
        "name": "settled-lookup",
        "service": "settlements",
        "method": "GET",
        "path_prefix": "/settled",
        "weight": 200,
        "repeatable": True,
        "deadline_ms": 3000,
        "size_class": "short",
    },
    {
        "name": "settlement",
        "service": "settlements",
        "method": "POST",
        "path_prefix": "/settlement",
        "weight": 900,
        "repeatable": False,
        "deadline_ms": 8000,
        "queue_wait_ms": 4000,
        "size_class": "short",
    },
    {
        "name": "audit",
        "service": "audits",
        "method": "POST",
        "path_prefix": "/audit",
        "weight": 800,
        "repeatable": False,
        "deadline_ms": 10_000,
        "queue_wait_ms": 5000,
        "size_class": "short",
    },
    {
        "name": "audit-lookup",
        "service": "audits",
        "method": "GET",
        "path_prefix": "/audit",
        "weight": 300,
        "repeatable": True,
        "deadline_ms": 3000,
        "size_class": "short",
    },
    {
        "name": "ledger-upload",
        "service": "audits",
        "method": "PUT",
        "path_prefix": "/ledger",
        "weight": 700,
        "repeatable": True,
        "deadline_ms": 120_000,
        "size_class": "long",
        "queue_wait_ms": 60_000,
        "expected_ms": 3000,
        "body_limit_bytes": LEDGER_LIMIT_BYTES,
    },
)

SERVICES = (
    Service("tariffs", 4, 35, 300, (ServicePath("/tariff", 8.0),)),
    Service(
        "settlements",
        3,
        40,
        350,
        (
            ServicePath("/settlement", 20.0, (PASSAGE, TARIFF)),
            ServicePath("/settled", 6.0, (PASSAGE,)),
        ),
    ),
    Service(
        "audits",
        3,
        40,
        350,
        (
            ServicePath("/audit", 15.0, (SETTLED, PASSAGE), "parallel"),
            ServicePath("/ledger", 300.0),
        ),
    ),
    Service("passages", 3, 25, 250, (ServicePath("/passage", 6.0, (TARIFF,)),)),
)


@WORKLOADS.register("regulator")
def make_regulator() -> Workload:
    """Build the workload of the regulator at the sizes of the requirements.

    :return: the workload
    """
    return Workload(
        name="regulator",
        zones=("zone-1", "zone-2", "zone-3"),
        services=SERVICES,
        rows=ROWS,
        flows=(
            Flow("tariff", "tariffs", "GET", "/tariff/{n}", 0.50),
            Flow("passage", "passages", "GET", "/passage/{n}", 0.22),
            Flow("settled", "settlements", "GET", "/settled/{n}", 0.04),
            Flow("audit-read", "audits", "GET", "/audit/{n}", 0.05),
            Flow("settlement", "settlements", "POST", "/settlement/{n}", 0.13, 600),
            Flow("audit", "audits", "POST", "/audit/{n}", 0.06, 900),
        ),
        upload=Flow("ledger", "audits", "PUT", "/ledger/{n}", 0.0, LEDGER_BYTES, 9),
        lookups=("audit-read",),
        important=("settlement", "audit"),
        deep_service="tariffs",
    )
