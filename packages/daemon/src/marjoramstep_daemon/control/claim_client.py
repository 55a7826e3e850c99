"""Sends claims to the leading replica and waits for the verdict."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from marjoramstep_core.errors import UnavailableError
from marjoramstep_wire.messages import ClaimEnd
from marjoramstep_wire.messages import ClaimReply
from marjoramstep_wire.messages import ClaimRequest

from .claim_verdict import ClaimReplyVerdict


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.clock import Clock
    from marjoramstep_wire.messages import ClaimLookup

    from .control_link import ControlLink

ATTEMPT_TIMEOUT_MS = 1_000.0
RETRY_DELAY_MS = 100.0
SECOND_MS = 1_000.0
# The end of a claim is resent for this long. After that it is given up, and the
# replicas may never learn how the attempt ended.
END_RETRY_LIMIT_MS = 3_600_000.0

ClaimMessage = ClaimRequest | ClaimEnd


class ClaimClient:
    """Resends a claim message until a replica gives a verdict.

    Resending is safe, since the replicas give the same attempt the same verdict.

    :param clock: clock of the node
    :param links: returns the links to all replicas
    """

    def __init__(self, clock: Clock, links: Callable[[], list[ControlLink]]) -> None:
        self._clock = clock
        self._links = links
        self._ids = count(1)
        self._pending: dict[int, asyncio.Future[ClaimReply]] = {}
        self._leader: str = ""
        self._next_link = 0

    def on_reply(self, reply: ClaimReply) -> None:
        """Complete the request that a verdict answers; a late verdict is dropped.

        :param reply: the message
        """
        future = self._pending.pop(reply.request_id, None)
        if future is not None and not future.done():
            future.set_result(reply)

    async def claim(self, request: ClaimRequest, deadline_ms: float) -> ClaimReply:
        """Claim a request key for an attempt.

        :param request: the claim; its request id is filled in
        :param deadline_ms: absolute, in milliseconds of the clock
        :return: the verdict
        :raises UnavailableError: if no replica gives a verdict before the deadline
        """
        return await self._request(request, deadline_ms)

    async def end(self, end: ClaimEnd) -> ClaimReply:
        """Record the end of a claim.

        :param end: the end; its request id is filled in
        :return: the verdict
        :raises UnavailableError: if no replica recorded it within an hour
        """
        return await self._request(end, self._clock.now_ms() + END_RETRY_LIMIT_MS)

    async def look_up(self, lookup: ClaimLookup, deadline_ms: float) -> ClaimReply:
        """Look up the state of a request key.

        :param lookup: the lookup; its request id is filled in
        :param deadline_ms: absolute, in milliseconds of the clock
        :return: the verdict
        :raises UnavailableError: if no replica gives a verdict before the deadline
        """
        return await self._request(lookup, deadline_ms)

    async def _request(
        self, message: ClaimRequest | ClaimEnd | ClaimLookup, deadline_ms: float
    ) -> ClaimReply:
        detail = "no replica answered"
        last_hint = ""
        while self._clock.now_ms() < deadline_ms:
            link = self._pick_link()
            if link is not None:
                reply = await self._send(link, message, deadline_ms)
                if reply is not None and not self._must_retry(reply):
                    return reply
                if reply is not None:
                    detail = reply.detail or reply.verdict
                if reply is not None and reply.leader_address not in ("", last_hint):
                    # Ask a newly named leader at once. The same name twice waits, so
                    # that requests do not loop without a delay.
                    last_hint = reply.leader_address
                    continue
            wait_ms = min(RETRY_DELAY_MS, deadline_ms - self._clock.now_ms())
            await asyncio.sleep(max(wait_ms, 0.0) / SECOND_MS)
        raise UnavailableError(detail, step="claim", peer="control replicas")

    def _pick_link(self) -> ControlLink | None:
        links = [link for link in self._links() if link.is_open]
        for link in links:
            if f"{link.address[0]}:{link.address[1]}" == self._leader:
                return link
        if not links:
            return None
        self._next_link += 1
        return links[self._next_link % len(links)]

    async def _send(
        self,
        link: ControlLink,
        message: ClaimRequest | ClaimEnd | ClaimLookup,
        deadline_ms: float,
    ) -> ClaimReply | None:
        message.request_id = next(self._ids)
        future: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        self._pending[message.request_id] = future
        wait_ms = min(ATTEMPT_TIMEOUT_MS, deadline_ms - self._clock.now_ms())
        try:
            link.send(message)
            async with asyncio.timeout(max(wait_ms, 0.0) / SECOND_MS):
                return await future
        except (TimeoutError, UnavailableError):
            self._leader = ""
            return None
        finally:
            self._pending.pop(message.request_id, None)

    def _must_retry(self, reply: ClaimReply) -> bool:
        """Return whether to ask again, and record the leader that the reply names."""
        verdict = ClaimReplyVerdict(reply.verdict)
        if verdict is ClaimReplyVerdict.NOT_LEADER:
            self._leader = reply.leader_address
            return True
        return verdict is ClaimReplyVerdict.UNAVAILABLE
