"""Waits until every node reaches every service."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiohttp
from marjoramstep_core.errors import UnavailableError

from .sender import OUTCOME_HEADER
from .sender import REASON_HEADER
from .sender import make_key


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from marjoramstep_core.clock import Clock

PROBE_PATH = "/replay-probe"
PROBE_TIMEOUT_SECONDS = 5.0
PAUSE_SECONDS = 0.2
LIMIT_SECONDS = 60.0


class WarmUp:
    """Sends probes until each pair of node and service has answered one with success.

    :param session: HTTP client
    :param clock: source of the time in keys
    """

    def __init__(self, session: aiohttp.ClientSession, clock: Clock) -> None:
        self._session = session
        self._clock = clock

    async def wait(self, entries: Mapping[str, str], services: Sequence[str]) -> None:
        """Wait until every service can be reached from every entry.

        :param entries: caller address by name of the node
        :param services: names of the services
        :raises UnavailableError: names a pair that did not come up in time
        """
        limit_seconds = time.monotonic() + LIMIT_SECONDS
        waits = [
            self._wait_for(name, address, service, limit_seconds)
            for name, address in entries.items()
            for service in services
        ]
        await asyncio.gather(*waits)

    async def _wait_for(
        self, name: str, address: str, service: str, limit_seconds: float
    ) -> None:
        number = 0
        while True:
            number += 1
            found = await self._probe(address, service, f"{name} {service} {number}")
            if not found:
                return
            if time.monotonic() > limit_seconds:
                raise UnavailableError(
                    f"no success from service {service}; last answer: {found}",
                    step="warm up",
                    peer=f"{name} at {address}",
                )
            await asyncio.sleep(PAUSE_SECONDS)

    async def _probe(self, address: str, service: str, name: str) -> str:
        key = make_key(self._clock.wall_ms(), f"probe {name}")
        headers = {"Marjoramstep-Service": service, "Marjoramstep-Key": key}
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
        url = f"http://{address}{PROBE_PATH}"
        try:
            async with self._session.get(
                url, headers=headers, timeout=timeout
            ) as answer:
                await answer.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            return repr(error)
        outcome = answer.headers.get(OUTCOME_HEADER, "without outcome")
        if answer.status == 200 and outcome == "done":
            return ""
        reason = answer.headers.get(REASON_HEADER, "no reason")
        return f"status {answer.status}, {outcome}, {reason}"
