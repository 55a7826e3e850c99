"""HTTP client of the local backend server."""

from __future__ import annotations

import asyncio
from enum import Enum
from enum import unique
from functools import partial
from typing import TYPE_CHECKING

from marjoramstep_core.errors import ConnectionFailedError

from ..calls import INLINE_BODY_LIMIT_BYTES
from ..calls import Answer
from ..calls import Body
from ..calls import Failed
from ..calls import Refused
from ..http_headers import select_forwarded_headers
from .connection_pool import ConnectionPool
from .connection_pool import NotConnectedError
from .outgoing_request import OutgoingRequest
from .server_answer import BrokenExchangeError


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from marjoramstep_core.addresses import Address
    from marjoramstep_core.ids import RequestKey
    from multidict import CIMultiDict

    from ..calls import Call
    from .protocol import BackendProtocol
    from .server_answer import ServerAnswer
    from .server_connection import ServerConnection

# Far above the few milliseconds in which a backend server on the same VM accepts a
# connection. The reply to the failed call waits for this check.
LIVENESS_TIMEOUT_SECONDS = 0.15
# The kernel may close the connections of a process that ends before it closes the
# socket that it listens on, and accepts connections in between.
LIVENESS_CONFIRMATION_SECONDS = 0.03


@unique
class BackendFault(Enum):
    """How an exchange with the backend server failed."""

    NOT_CONNECTED = "not-connected"
    BROKEN = "broken"


class BackendServerError(ConnectionFailedError):
    """A request to the backend server failed.

    :param message: cause of the failure
    :param fault: kind of failure; ``NOT_CONNECTED``, also used when the connection
        limit is reached, proves that the request did not run
    :param peer: address of the backend server
    """

    def __init__(self, message: str, fault: BackendFault, peer: str) -> None:
        super().__init__(message, step="send to backend server", peer=peer)
        self.fault = fault


class BackendServerClient:
    """Sends requests to the backend server over pooled connections.

    :param address: the backend server's address as announced
    :param connections: maximum number of connections
    :param protocol: interprets the answers
    :param on_open: called for each new connection
    :param on_skipped: called with the key of the request that waits and the status of
        each answer that is not its own
    """

    def __init__(
        self,
        address: Address,
        connections: int,
        protocol: BackendProtocol,
        on_open: Callable[[], None] = lambda: None,
        on_skipped: Callable[[RequestKey, int], None] = lambda _key, _status: None,
    ) -> None:
        self._peer = f"{address[0]}:{address[1]}"
        self._protocol = protocol
        self._pool = ConnectionPool(address, connections, on_open, on_skipped)

    async def send(
        self, call: Call, headers: CIMultiDict[str]
    ) -> Answer | Refused | Failed:
        """Send a request and wait for the status line and headers of its answer.

        Cancelling this coroutine closes the connection of the request.

        :param call: the call
        :param headers: headers of the request
        :return: the answer, with a short body in full; ``Refused`` if the backend
            server did not run the request
        :raises BackendServerError: if the headers of the answer did not arrive in full
        :raises MarjoramstepError: if the caller's upload was truncated
        """
        try:
            connection = await self._pool.acquire(call.request_key)
        except NotConnectedError as error:
            raise self._error(error, BackendFault.NOT_CONNECTED) from error
        request = OutgoingRequest(
            call.request_key,
            call.method,
            call.path,
            headers,
            call.body,
            partial(self._protocol.matches, call),
        )
        try:
            answer = await connection.send(request)
            return await self._to_reply(call, connection, answer)
        except BrokenExchangeError as error:
            if connection.upload_error is not None:
                # The caller's upload was truncated; the backend server did not fail.
                raise connection.upload_error from error
            raise self._error(error, BackendFault.BROKEN) from error

    async def is_alive(self) -> bool:
        """Check whether the backend server accepts a new connection and keeps it.

        :return: whether a connection was opened in time and stays open
        """
        try:
            async with asyncio.timeout(LIVENESS_TIMEOUT_SECONDS):
                connection = await self._pool.open_idle()
        except (NotConnectedError, TimeoutError):
            return False
        await asyncio.sleep(LIVENESS_CONFIRMATION_SECONDS)
        return self._pool.holds(connection)

    async def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def _to_reply(
        self, call: Call, connection: ServerConnection, answer: ServerAnswer
    ) -> Answer | Refused | Failed:
        rejection = self._protocol.classify(call, answer.status, answer.headers)
        if rejection is not None:
            if isinstance(rejection, Refused):
                connection.record_refusal(call.request_key)
            # If the request body has not been sent in full, the connection is closed
            # after that.
            if answer.read_buffered() is None:
                await answer.discard()
            return rejection
        headers = select_forwarded_headers(answer.raw_headers)
        if 0 <= answer.length <= INLINE_BODY_LIMIT_BYTES:
            whole = answer.read_buffered()
            if whole is not None:
                return Answer(answer.status, headers, Body(whole, length=len(whole)))
        parts = self._stream_body(answer)
        first = bytearray()
        if answer.length <= INLINE_BODY_LIMIT_BYTES:
            # An answer of unknown length may still be short enough to be inlined.
            async for part in parts:
                first += part
                if len(first) > INLINE_BODY_LIMIT_BYTES:
                    break
            else:
                data = bytes(first)
                return Answer(answer.status, headers, Body(data, length=len(data)))
        body = Body(
            bytes(first), rest=parts, length=answer.length, on_abandon=answer.abandon
        )
        return Answer(answer.status, headers, body)

    async def _stream_body(self, answer: ServerAnswer) -> AsyncIterator[bytes]:
        try:
            async for part in answer.parts():
                yield part
        except BrokenExchangeError as error:
            raise self._error(error, BackendFault.BROKEN) from error

    def _error(
        self, error: ConnectionFailedError, fault: BackendFault
    ) -> BackendServerError:
        return BackendServerError(error.message, fault, self._peer)
