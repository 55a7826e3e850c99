"""HTTP server for an aiohttp application."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import web


if TYPE_CHECKING:
    import ssl

    from aiohttp.typedefs import Handler
    from aiohttp.typedefs import Middleware

SECOND_MS = 1_000.0


class HttpServer:
    """Serves an application on one address.

    :param app: the application
    :param body_timeout_ms: longest time from the head of a request to the end of its
        body
    :param tls: TLS context, or None for plain HTTP
    """

    def __init__(
        self,
        app: web.Application,
        body_timeout_ms: int,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        # The last one is called after those that authenticate.
        app.middlewares.append(_limit_body_time(body_timeout_ms / SECOND_MS))
        self._runner = web.AppRunner(app, access_log=None)
        self._tls = tls

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Start listening.

        :param address: IP address and port
        :return: IP address and port that the server is bound to
        :raises OSError: if the address cannot be bound
        """
        await self._runner.setup()
        host, port = address
        site = web.TCPSite(self._runner, host, port, ssl_context=self._tls)
        await site.start()
        bound = self._runner.addresses[0]
        return bound[0], bound[1]

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        await self._runner.cleanup()


def _limit_body_time(timeout_seconds: float) -> Middleware:
    @web.middleware
    async def read_body(request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            async with asyncio.timeout(timeout_seconds):
                await request.read()
        except TimeoutError:
            response = web.Response(status=HTTPStatus.REQUEST_TIMEOUT)
            response.force_close()
            return response
        return await handler(request)

    return read_body
