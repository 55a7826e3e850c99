"""Requests of the demo to nodes."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from marjoramstep_core.errors import ConnectionFailedError
from marjoramstep_core.errors import UnavailableError

from ..load.sender import OUTCOME_HEADER
from ..load.sender import REASON_HEADER
from .scenario import UPLOAD_BODY
from .scenario import UPLOAD_METHOD
from .scenario import UPLOAD_PATH
from .scenario import UPLOAD_SERVICE


if TYPE_CHECKING:
    from collections.abc import Mapping

REQUEST_TIMEOUT_SECONDS = 10.0
# The design's target for an edit to be in force everywhere.
IN_FORCE_LIMIT_SECONDS = 17.0
POLL_SECONDS = 0.01


@dataclass(frozen=True)
class UploadResult:
    """Answer to the demo's request.

    :param status: HTTP status
    :param outcome: value of ``Marjoramstep-Outcome``
    :param reason: value of ``Marjoramstep-Reason``, empty if there is none
    """

    status: int
    outcome: str
    reason: str

    @property
    def is_served(self) -> bool:
        """Whether the backend server answered with success."""
        return self.status == 200 and self.outcome == "done"

    @property
    def is_refused_by_size(self) -> bool:
        """Whether the body limit of the row refused the request."""
        return self.outcome == "not-run" and self.reason == "body-too-large"

    def __str__(self) -> str:
        text = f"status {self.status}, outcome {self.outcome}"
        return f"{text}, reason {self.reason}" if self.reason else text


class NodeClient:
    """Speaks HTTP to nodes.

    :param session: HTTP client
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)

    async def upload(self, caller_address: str) -> UploadResult:
        """Send the demo's request.

        :param caller_address: caller address of a node
        :return: what the node answered
        :raises ConnectionFailedError: if the node gives no answer
        """
        try:
            async with self._session.request(
                UPLOAD_METHOD,
                f"http://{caller_address}{UPLOAD_PATH}",
                headers={"Marjoramstep-Service": UPLOAD_SERVICE},
                data=UPLOAD_BODY,
                timeout=self._timeout,
            ) as answer:
                await answer.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise ConnectionFailedError(
                f"no answer: {error!r}", step="send request", peer=caller_address
            ) from error
        outcome = answer.headers.get(OUTCOME_HEADER, "missing")
        return UploadResult(
            answer.status, outcome, answer.headers.get(REASON_HEADER, "")
        )

    async def wait_for_version(
        self, metrics_addresses: Mapping[str, str], version: int
    ) -> float:
        """Wait until every node has a version of the table, or a higher one.

        :param metrics_addresses: metrics address by name of the node
        :param version: version of the table
        :return: time until the last node had it, in milliseconds
        :raises UnavailableError: names a node that does not get it in time
        """
        started_seconds = time.monotonic()
        for name, address in metrics_addresses.items():
            while (found := await self._table_version(address)) < version:
                if time.monotonic() - started_seconds > IN_FORCE_LIMIT_SECONDS:
                    raise UnavailableError(
                        f"the table has version {found}, expected {version}",
                        step="wait for table",
                        peer=f"{name} at {address}",
                    )
                await asyncio.sleep(POLL_SECONDS)
        return (time.monotonic() - started_seconds) * 1000.0

    async def _table_version(self, address: str) -> int:
        try:
            async with self._session.get(
                f"http://{address}/status", timeout=self._timeout
            ) as answer:
                return int((await answer.json())["table_version"])
        except (aiohttp.ClientError, TimeoutError) as error:
            raise ConnectionFailedError(
                f"no status: {error!r}", step="read status", peer=address
            ) from error
