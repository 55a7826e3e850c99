"""Announces a server to its node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import eliot


if TYPE_CHECKING:
    from marjoramstep_core.addresses import Address

    from .options import ServerOptions
    from .server import StandInServer

ANNOUNCE_TIMEOUT_SECONDS = 1.0


class Announcer:
    """Sends an announcement each second and at each change of state.

    :param options: options of the server
    :param server: the server whose state is announced
    :param session: HTTP client
    :param address: address that the server listens on
    :param incarnation: number that rises with each start of the server
    """

    def __init__(
        self,
        options: ServerOptions,
        server: StandInServer,
        session: aiohttp.ClientSession,
        address: Address,
        incarnation: int,
    ) -> None:
        self._options = options
        self._server = server
        self._session = session
        self._address = address
        self._incarnation = incarnation
        self._changed = asyncio.Event()
        self._is_reachable = True

    def announce_now(self) -> None:
        """Announce without waiting for the interval to end."""
        self._changed.set()

    async def run(self) -> None:
        """Announce until cancelled."""
        interval_seconds = self._options.announce_interval_ms / 1000.0
        while True:
            await self._announce()
            try:
                await asyncio.wait_for(self._changed.wait(), interval_seconds)
            except TimeoutError:
                continue
            self._changed.clear()

    async def _announce(self) -> None:
        if self._options.announce is None:
            return
        host, port = self._options.announce
        document = {
            "service": self._options.service,
            "address": f"{self._address[0]}:{self._address[1]}",
            "slots": self._options.slots,
            "connections": self._options.connections,
            "state": self._server.state.value,
            "incarnation": self._incarnation,
        }
        try:
            timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_SECONDS)
            url = f"http://{host}:{port}/announce"
            async with self._session.post(url, json=document, timeout=timeout) as reply:
                problem = "" if reply.status < 400 else f"status {reply.status}"
        except (aiohttp.ClientError, TimeoutError) as error:
            problem = repr(error)
        if bool(problem) == self._is_reachable:
            self._is_reachable = not problem
            message = "announce-failed" if problem else "announce-accepted"
            eliot.log_message(message, node=f"{host}:{port}", problem=problem)
