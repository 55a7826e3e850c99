"""Fills the table of a new deployment over the operators' HTTP interface."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.errors import UnavailableError


if TYPE_CHECKING:
    from collections.abc import Sequence

    from marjoramstep_core.table import EditOperation

LIMIT_SECONDS = 60.0
PAUSE_SECONDS = 0.1
ACCEPTED = "accepted"


class TableSetup:
    """Sends one edit until its verdict is known.

    :param session: HTTP client
    :param addresses: operator addresses of the replicas
    :param token: token of an operator
    """

    def __init__(
        self, session: aiohttp.ClientSession, addresses: Sequence[str], token: str
    ) -> None:
        self._session = session
        self._addresses = list(addresses)
        self._headers = {"Authorization": f"Bearer {token}"}

    async def apply(self, operations: Sequence[EditOperation]) -> int:
        """Apply an edit to the table in force.

        :param operations: operations of the edit
        :return: the new version
        :raises InvalidInputError: if the edit is refused
        :raises UnavailableError: if no replica accepts it in time
        """
        edit_key = f"replay-{secrets.token_hex(8)}"
        limit_seconds = time.monotonic() + LIMIT_SECONDS
        problem = "no attempt was made"
        address = self._addresses[0]
        while time.monotonic() < limit_seconds:
            try:
                status, answer = await self._send(address, edit_key, operations)
            except (aiohttp.ClientError, TimeoutError) as error:
                status, answer = 0, {"error": repr(error)}
            if status == 200 and answer.get("verdict") == ACCEPTED:
                return int(answer["version"])
            if status in (400, 401, 403, 422):
                raise InvalidInputError(
                    f"the edit was refused with status {status}: {answer}",
                    step="fill table",
                    peer=address,
                )
            problem = f"{address} answered status {status}: {answer}"
            # An address that is not one of the replicas' operator addresses is not
            # followed; trying the replicas in turn finds the leader too.
            leader = answer.get("leader_address")
            address = leader if leader in self._addresses else self._next(address)
            await asyncio.sleep(PAUSE_SECONDS)
        raise UnavailableError(problem, step="fill table", peer=address)

    def _next(self, address: str) -> str:
        if address not in self._addresses:
            return self._addresses[0]
        index = self._addresses.index(address) + 1
        return self._addresses[index % len(self._addresses)]

    async def _send(
        self, address: str, edit_key: str, operations: Sequence[EditOperation]
    ) -> tuple[int, dict[str, Any]]:
        status, table = await self._request("GET", address, "/v1/table")
        if status != 200:
            return status, table
        edit = {
            "edit_key": edit_key,
            "base_version": table["version"],
            "operations": [operation.to_json() for operation in operations],
        }
        return await self._request("POST", address, "/v1/edits", edit)

    async def _request(
        self, method: str, address: str, path: str, document: Any = None
    ) -> tuple[int, dict[str, Any]]:
        timeout = aiohttp.ClientTimeout(total=10.0)
        async with self._session.request(
            method,
            f"http://{address}{path}",
            json=document,
            headers=self._headers,
            timeout=timeout,
        ) as answer:
            try:
                found = await answer.json(content_type=None)
            except ValueError:
                found = None
            return answer.status, found if isinstance(found, dict) else {}
