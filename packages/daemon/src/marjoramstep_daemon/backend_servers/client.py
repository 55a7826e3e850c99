"""HTTP client to the own backend server."""

from __future__ import annotations

import asyncio
from enum import Enum
from enum import unique
from typing import TYPE_CHECKING

import aiohttp
import yarl
from marjoramstep_core.errors import ConnectionFailedError
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.states import Reason

from ..calls import INLINE_BODY_LIMIT_BYTES
from ..calls import UNKNOWN_LENGTH
from ..calls import Answer
from ..calls import Body
from ..calls import Refused
from ..http_headers import SHED
from ..http_headers import strip_hop_by_hop


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ..calls import Call
    from ..calls import HeaderList

CONNECT_TIMEOUT_SECONDS = 2.0
KEEPALIVE_SECONDS = 60.0
HTTP_UNAVAILABLE = 503
Address = tuple[str, int]


@unique
class BackendFault(Enum):
    """How an exchange with the backend server failed."""

    NOT_CONNECTED = "not-connected"
    BROKEN = "broken"


class BackendServerError(ConnectionFailedError):
    """The exchange failed.

    :param message: what went wrong
    :param fault: ``NOT_CONNECTED`` proves that the request did not run
    :param peer: address of the backend server
    """

    def __init__(self, message: str, fault: BackendFault, peer: str) -> None:
        super().__init__(message, step="send to backend server", peer=peer)
        self.fault = fault


class _Source:
    """Body of a call; keeps the error with which it broke off."""

    def __init__(self, body: Body) -> None:
        self._body = body
        self.error: MarjoramstepError | None = None

    async def parts(self) -> AsyncIterator[bytes]:
        try:
            async for part in self._body.parts():
                yield part
        except MarjoramstepError as error:
            self.error = error
            raise


class BackendServerClient:
    """Owns the connections to the backend server.

    :param address: the backend server's address as announced
    :param connections: largest number of connections
    """

    def __init__(self, address: Address, connections: int) -> None:
        self._peer = f"{address[0]}:{address[1]}"
        self._base_url = f"http://{self._peer}"
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=connections, keepalive_timeout=KEEPALIVE_SECONDS
            ),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Content-Type"),
        )
        # aiohttp resends idempotent methods by itself when a reused connection breaks.
        # That would be a run that no retry token pays for.
        self._session._retry_connection = False

    async def send(self, call: Call, extra_headers: HeaderList) -> Answer | Refused:
        """Send a request and wait for the head of its answer.

        Cancelling this coroutine closes the connection of the request.

        :param call: the call
        :param extra_headers: headers of this node for the backend server
        :return: the answer, short bodies complete; ``Refused`` if the backend server
            shed the request
        :raises BackendServerError: if no complete head of an answer arrived
        :raises MarjoramstepError: if the body of the call broke off
        """
        headers = strip_hop_by_hop(call.headers) + extra_headers
        source = _Source(call.body)
        data = call.body.data if call.body.is_complete else source.parts()
        try:
            response = await self._session.request(
                call.method,
                yarl.URL(self._base_url + call.path, encoded=True),
                headers=headers,
                data=data or None,
                allow_redirects=False,
            )
            return await self._to_reply(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise self._error(error, BackendFault.NOT_CONNECTED) from error
        except (aiohttp.ClientError, OSError, asyncio.IncompleteReadError) as error:
            if source.error is not None:
                # The caller's side broke off, the backend server did not fail.
                raise source.error from error
            raise self._error(error, BackendFault.BROKEN) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _to_reply(self, response: aiohttp.ClientResponse) -> Answer | Refused:
        if response.status == HTTP_UNAVAILABLE and SHED in response.headers:
            # Closing also ends the upload of a body that has not been sent in full.
            response.close()
            return Refused(Reason.OVERLOAD, "shed by the backend server")
        headers = strip_hop_by_hop(
            [
                (name.decode(), value.decode("latin-1"))
                for name, value in response.raw_headers
            ]
        )
        length = response.content_length
        if length is not None and length <= INLINE_BODY_LIMIT_BYTES:
            data = await response.read()
            return Answer(response.status, headers, Body(data, length=len(data)))
        body = Body(
            rest=self._parts(response),
            length=UNKNOWN_LENGTH if length is None else length,
            on_abandon=response.close,
        )
        return Answer(response.status, headers, body)

    async def _parts(self, response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
        try:
            async for part in response.content.iter_chunked(INLINE_BODY_LIMIT_BYTES):
                yield part
        except (aiohttp.ClientError, OSError) as error:
            raise self._error(error, BackendFault.BROKEN) from error
        finally:
            response.close()

    def _error(self, error: Exception, fault: BackendFault) -> BackendServerError:
        text = str(error) or type(error).__name__
        return BackendServerError(text, fault, self._peer)
