"""Further calls of a request through the server's own node."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

import aiohttp
from marjoramstep_core.errors import ConnectionFailedError
from yarl import URL


if TYPE_CHECKING:
    from collections.abc import Mapping

    from marjoramstep_core.addresses import Address
    from marjoramstep_core.clock import Clock

    from .profile import PathProfile
    from .profile import SubCall

CONTEXT_HEADER = "Marjoramstep-Context"
KEY_HEADER = "Marjoramstep-Key"
SERVICE_HEADER = "Marjoramstep-Service"
SUCCESS_LIMIT_STATUS = 400


class SubCaller:
    """Makes the further calls of requests.

    :param session: HTTP client
    :param caller: caller address of the own node, or None
    :param clock: source of the times in keys
    """

    def __init__(
        self, session: aiohttp.ClientSession, caller: Address | None, clock: Clock
    ) -> None:
        self._session = session
        self._caller = caller
        self._clock = clock

    async def call_all(
        self, profile: PathProfile, headers: Mapping[str, str], run: int
    ) -> bool:
        """Make all calls of a path.

        :param profile: behaviour of the path
        :param headers: headers of the request that makes the calls
        :param run: number of the run, put into paths
        :return: whether all calls succeeded; after the first failure sequential calls
            stop and parallel ones are cancelled
        """
        context = headers.get(CONTEXT_HEADER, "")
        key = headers.get(KEY_HEADER, "")
        calls = [
            (call, self._sub_key(key, index))
            for index, call in enumerate(profile.calls)
        ]
        if not profile.is_parallel:
            for call, sub_key in calls:
                if not await self._call(call, context, sub_key, run):
                    return False
            return True
        tasks = [
            asyncio.ensure_future(self._call(call, context, sub_key, run))
            for call, sub_key in calls
        ]
        try:
            for task in asyncio.as_completed(tasks):
                if not await task:
                    return False
            return True
        finally:
            for pending in tasks:
                pending.cancel()

    def _sub_key(self, key: str, index: int) -> str:
        # A second run of the same request makes its calls under the same keys.
        if "-" in key:
            return f"{key}_{index}"
        return f"{self._clock.wall_ms()}-{secrets.token_hex(8)}"

    async def _call(self, call: SubCall, context: str, key: str, run: int) -> bool:
        for attempt in range(call.retries + 1):
            if attempt:
                await asyncio.sleep(call.backoff_ms / 1000.0)
            if await self._attempt(call, context, key, run):
                return True
        return False

    async def _attempt(self, call: SubCall, context: str, key: str, run: int) -> bool:
        if self._caller is None:
            raise ConnectionFailedError(
                "a path has calls, but no caller address of a node is set",
                step="further call",
                peer=call.service,
            )
        host, port = self._caller
        path = call.path.replace("{n}", str(run))
        headers = {SERVICE_HEADER: call.service, KEY_HEADER: key}
        if context:
            headers[CONTEXT_HEADER] = context
        try:
            async with self._session.request(
                call.method,
                URL(f"http://{host}:{port}{path}", encoded=True),
                headers=headers,
                data=bytes(call.body_bytes) if call.body_bytes else None,
            ) as answer:
                await answer.read()
                return answer.status < SUCCESS_LIMIT_STATUS
        except aiohttp.ClientError:
            return False
