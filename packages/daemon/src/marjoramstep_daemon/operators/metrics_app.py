"""Metrics, status and health of a process over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from aiohttp import web


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from prometheus_client.core import Metric


class MetricsSource(Protocol):
    """Source of the metrics of a process."""

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics for a scrape."""


def make_metrics_app(
    metrics: MetricsSource,
    status: Callable[[], dict[str, Any]],
    is_healthy: Callable[[], bool],
) -> web.Application:
    """Build the application of the metrics address.

    :param metrics: collector that is read at each scrape
    :param status: returns the state of the process as JSON values
    :param is_healthy: returns whether ``/healthz`` answers 200
    :return: application with ``/metrics``, ``/status`` and ``/healthz``
    """

    async def get_metrics(_: web.Request) -> web.Response:
        # Imported at the first scrape, since it takes much memory and start time.
        from prometheus_client import generate_latest

        return web.Response(body=generate_latest(metrics), content_type="text/plain")

    async def get_status(_: web.Request) -> web.Response:
        return web.json_response(status())

    async def get_health(_: web.Request) -> web.Response:
        healthy = is_healthy()
        return web.Response(status=200 if healthy else 503, text=f"{healthy}\n")

    app = web.Application()
    app.router.add_get("/metrics", get_metrics)
    app.router.add_get("/status", get_status)
    app.router.add_get("/healthz", get_health)
    return app
