"""Metrics, status and health of a process over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest


if TYPE_CHECKING:
    from collections.abc import Callable

    from prometheus_client.registry import Collector


def make_metrics_app(
    metrics: Collector,
    status: Callable[[], dict[str, Any]],
    is_healthy: Callable[[], bool],
) -> web.Application:
    """Build the application of the metrics address.

    :param metrics: collector that is read at each scrape
    :param status: returns the state of the process as JSON values
    :param is_healthy: returns whether ``/healthz`` answers 200
    :return: application with ``/metrics``, ``/status`` and ``/healthz``
    """
    registry = CollectorRegistry()
    registry.register(metrics)

    async def get_metrics(_: web.Request) -> web.Response:
        return web.Response(body=generate_latest(registry), content_type="text/plain")

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
