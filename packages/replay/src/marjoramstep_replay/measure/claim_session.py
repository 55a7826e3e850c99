"""Claims over the links that a node uses, without the node."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING

from marjoramstep_core.addresses import split_address
from marjoramstep_core.clock import SystemClock
from marjoramstep_core.ids import ZoneName
from marjoramstep_core.states import Role
from marjoramstep_daemon.control.claim_client import ClaimClient
from marjoramstep_daemon.control.control_link import ControlLink
from marjoramstep_daemon.log import EventLog
from marjoramstep_wire.codec import encode_struct
from marjoramstep_wire.handshake import make_hello
from marjoramstep_wire.messages import ClaimEnd
from marjoramstep_wire.messages import ClaimLookup
from marjoramstep_wire.messages import ClaimReply
from marjoramstep_wire.messages import ClaimRequest
from marjoramstep_wire.messages import StoredAnswer


if TYPE_CHECKING:
    from collections.abc import Sequence

    from marjoramstep_core.states import ConnectionClass
    from marjoramstep_wire.messages import Hello
    from marjoramstep_wire.messages import Message

DEADLINE_MS = 30_000.0
FINGERPRINT = "0" * 64


def new_key() -> str:
    """Return a request key that was not used before.

    :return: the key, issued now
    """
    return f"{int(time.time() * 1000)}-{secrets.token_hex(10)}"


class ClaimSession:
    """Sends claims as a node does; must be made on the event loop.

    :param addresses: peer addresses of the replicas as ``ip:port``
    :param key: key of the deployment
    :param node_id: id of the node
    """

    def __init__(self, addresses: Sequence[str], key: bytes, node_id: str) -> None:
        self._node_id = node_id
        clock = SystemClock()
        self._clock = clock
        log = EventLog(clock, node_id)
        self._links = [
            ControlLink(
                split_address(address),
                key,
                self._make_hello,
                lambda _: None,
                self._on_message,
                log,
            )
            for address in addresses
        ]
        self._client = ClaimClient(clock, lambda: self._links)
        self._tasks = [asyncio.create_task(link.run()) for link in self._links]

    async def claim(
        self, key: str, attempt_id: str, deadline_ms: float = DEADLINE_MS
    ) -> str:
        """Ask for a claim.

        :param key: request key
        :param attempt_id: id of the attempt
        :param deadline_ms: time left
        :return: the verdict
        :raises UnavailableError: if there is none before the deadline
        """
        request = ClaimRequest(
            request_id=0,
            request_key=key,
            attempt_id=attempt_id,
            node_id=self._node_id,
            row_name="default",
            fingerprint=FINGERPRINT,
        )
        reply = await self._client.claim(request, self._clock.now_ms() + deadline_ms)
        return str(reply.verdict)

    async def end(self, key: str, attempt_id: str, body: bytes = b"") -> str:
        """Record that an attempt is done.

        :param key: request key
        :param attempt_id: id of the attempt
        :param body: body of the answer
        :return: the verdict
        """
        answer = StoredAnswer(
            status=200,
            headers=[],
            body=body,
            body_stored=True,
            body_length=len(body),
            body_sha256=FINGERPRINT,
        )
        message = ClaimEnd(
            request_id=0,
            request_key=key,
            attempt_id=attempt_id,
            end_state="done",
            stored_answer=encode_struct(answer),
        )
        return str((await self._client.end(message)).verdict)

    async def look_up(self, key: str) -> str:
        """Ask for the state of a key.

        :param key: request key
        :return: the verdict
        """
        lookup = ClaimLookup(request_id=0, request_key=key, close=False)
        deadline_ms = self._clock.now_ms() + DEADLINE_MS
        return str((await self._client.look_up(lookup, deadline_ms)).verdict)

    async def close(self) -> None:
        """Close all links."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _make_hello(self, connection_class: ConnectionClass) -> Hello:
        return make_hello(self._node_id, Role.NODE, ZoneName("a"), 0, connection_class)

    def _on_message(self, _: ControlLink, message: Message) -> None:
        if isinstance(message, ClaimReply):
            self._client.on_reply(message)
