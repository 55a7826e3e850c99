"""The adapter, which the daemon loads by the name of this package."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from marjoramstep_daemon.adapter import ADAPTERS

from .backend_protocol import PlatformBackendProtocol
from .caller_protocol import PlatformCallerProtocol
from .heartbeats import HeartbeatApi


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_daemon.backend_servers.in_flight import InFlightMap
    from marjoramstep_daemon.backend_servers.local_server import LocalServer
    from marjoramstep_daemon.control.replica import Replica
    from marjoramstep_daemon.log import EventLog
    from marjoramstep_daemon.settings import Settings


@ADAPTERS.register("marjoramstep_platform")
class PlatformAdapter:
    """Implements the platform's protocols and HTTP interfaces."""

    def caller_protocol(
        self, settings: Settings, local_server: LocalServer, in_flight: InFlightMap
    ) -> PlatformCallerProtocol:
        """Return the protocol for callers, which routes requests by host and path."""

        def local_service() -> str:
            announcement = local_server.announcement
            if announcement is not None:
                return announcement.service
            return "" if settings.node is None else settings.node.backend_service

        return PlatformCallerProtocol(local_service, in_flight.find_context_id)

    def backend_protocol(self) -> PlatformBackendProtocol:
        """Return the protocol for requests to backend servers."""
        return PlatformBackendProtocol()

    def make_announce_app(
        self, local_server: LocalServer, log: EventLog
    ) -> web.Application:
        """Build the HTTP interface for heartbeats of the backend server on this VM."""
        return HeartbeatApi(local_server, log).make_app()

    def make_ready_app(self, is_ready: Callable[[], bool]) -> web.Application:
        """Build the readiness endpoint that the platform polls."""

        async def get_ready(_: web.Request) -> web.Response:
            return web.Response(status=200 if is_ready() else 503)

        app = web.Application()
        app.router.add_get("/-/ready", get_ready)
        return app

    def make_configuration_app(
        self, replica: Replica, log: EventLog
    ) -> web.Application:
        """Build the HTTP interface for configurations."""
        # Nodes do without the replicated state that it imports.
        from .configuration_api import ConfigurationApi

        return ConfigurationApi(replica, log).make_app()
