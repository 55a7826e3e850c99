"""HTTP server for an aiohttp application."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web


if TYPE_CHECKING:
    import ssl


class HttpServer:
    """Serves an application on one address.

    :param app: the application
    :param tls: TLS context, or None for plain HTTP
    """

    def __init__(self, app: web.Application, tls: ssl.SSLContext | None = None) -> None:
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
