"""Client of the operators' HTTP interface of the replicas."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import orjson

from .errors import DeniedError
from .errors import NoReplicaError
from .errors import NotFoundError
from .errors import RefusedError
from .errors import UnknownOutcomeError
from .errors import UsageError


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    from types import TracebackType
    from typing import Self

ROUND_LIMIT = 4
# An election takes about a second; the pauses of all rounds together outlast it.
FIRST_PAUSE_MS = 250
LEADER_HOP_LIMIT = 3
ANSWER_LIMIT_BYTES = 64 * 1024 * 1024

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_NOT_LEADER = 421
STATUS_REFUSED = 422
STATUS_UNAVAILABLE = 503
STATUS_SERVER_ERROR = 500
DENIED_STATUSES = frozenset({401, 403})


@dataclass(frozen=True)
class Answer:
    """Answer of a replica.

    :param status: HTTP status
    :param document: decoded JSON body
    """

    status: int
    document: dict[str, Any]


@dataclass(frozen=True)
class _Failure:
    """An attempt without a usable answer.

    ``maybe_received`` tells whether the request may have taken effect.
    """

    address: str
    problem: str
    maybe_received: bool
    leader_address: str = ""


class ControlClient:
    """Sends requests to the replicas, follows the leader and tries others on failure.

    Use it as an asynchronous context manager.

    :param addresses: ``ip:port`` of the replicas' operator addresses
    :param token: the operator's token
    :param timeout_ms: longest wait for one answer in milliseconds
    """

    def __init__(self, addresses: Sequence[str], token: str, timeout_ms: int) -> None:
        self._addresses = list(addresses)
        self._token = token
        self._timeout_ms = timeout_ms
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        timeout = aiohttp.ClientTimeout(total=self._timeout_ms / 1000)
        headers = {"Authorization": f"Bearer {self._token}"}
        self._session = aiohttp.ClientSession(headers=headers, timeout=timeout)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()

    async def get(
        self, path: str, parameters: Mapping[str, str | int] | None = None
    ) -> dict[str, Any]:
        """Read from the first replica that answers.

        :param path: path with a leading slash
        :param parameters: query parameters
        :return: the decoded body
        :raises MarjoramstepError: if no replica answers or the request is refused
        """
        query = {name: str(value) for name, value in (parameters or {}).items()}
        answer = await self.request("GET", path, query=query)
        return _checked(answer, path).document

    async def get_from_each(self, path: str) -> list[dict[str, Any]]:
        """Read from every replica, for state that each one holds a part of.

        :param path: path with a leading slash
        :return: the decoded bodies of the replicas that answered
        :raises MarjoramstepError: if no replica answers or a request is refused
        """
        documents: list[dict[str, Any]] = []
        failures: list[_Failure] = []
        for address in self._addresses:
            outcome = await self._attempt(address, "GET", path, None, None)
            if isinstance(outcome, Answer):
                documents.append(_checked(outcome, path).document)
            else:
                failures.append(outcome)
        if not documents:
            raise _exhausted("GET", failures)
        return documents

    async def post(
        self, path: str, body: Mapping[str, Any], *, resend: bool
    ) -> dict[str, Any]:
        """Change something, which is refused by an error.

        :param path: path with a leading slash
        :param body: values of the JSON body
        :param resend: whether the request may be sent again after a lost answer
        :return: the decoded body
        :raises MarjoramstepError: as :meth:`request`, or if the request is refused
        """
        answer = await self.request("POST", path, body=body, resend=resend)
        return _checked(answer, path).document

    async def request(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: Mapping[str, Any] | None = None,
        resend: bool = True,
    ) -> Answer:
        """Send a request until a replica answers it, for a bounded number of rounds.

        :param method: HTTP method
        :param path: path with a leading slash
        :param query: query parameters
        :param body: values of the JSON body
        :param resend: whether the request may be sent again after a lost answer
        :return: any answer but those that only mean to try elsewhere
        :raises UnknownOutcomeError: if a change may have been received
        :raises NoReplicaError: if no replica answered and nothing was changed
        """
        failures: list[_Failure] = []
        for round_number in range(ROUND_LIMIT):
            if round_number:
                pause_ms = FIRST_PAUSE_MS * 2 ** (round_number - 1)
                await asyncio.sleep(pause_ms / 1000)
            for address in list(self._addresses):
                answer = await self._follow(
                    address, (method, path, query, body), failures, resend
                )
                if answer is not None:
                    return answer
        raise _exhausted(method, failures)

    async def _follow(
        self,
        address: str,
        parts: tuple[str, str, Mapping[str, str] | None, Mapping[str, Any] | None],
        failures: list[_Failure],
        resend: bool,
    ) -> Answer | None:
        method, path, query, body = parts
        for _ in range(LEADER_HOP_LIMIT):
            outcome = await self._attempt(address, method, path, query, body)
            if isinstance(outcome, Answer):
                return outcome
            failures.append(outcome)
            if outcome.maybe_received and not resend:
                raise _exhausted(method, failures)
            if not outcome.leader_address:
                return None
            address = outcome.leader_address
        return None

    async def _attempt(
        self,
        address: str,
        method: str,
        path: str,
        query: Mapping[str, str] | None,
        body: Mapping[str, Any] | None,
    ) -> Answer | _Failure:
        assert self._session is not None
        changes = method != "GET"
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                params=query,
                data=None if body is None else orjson.dumps(body),
                headers={"Content-Type": "application/json"} if body else None,
                allow_redirects=False,
            ) as response:
                data = await _read_body(response)
                status = response.status
        except aiohttp.ClientConnectorError as error:
            return _Failure(address, error.strerror or "cannot connect", False)
        except aiohttp.InvalidURL:
            raise UsageError(
                f"expected the form ip:port, found {address!r}", step="connect"
            ) from None
        except TimeoutError:
            return _Failure(address, "no answer in time", changes)
        except aiohttp.ClientError as error:
            return _Failure(address, str(error) or type(error).__name__, changes)
        return _classify(address, status, data, changes)


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    data = bytearray()
    async for chunk in response.content.iter_any():
        data += chunk
        if len(data) > ANSWER_LIMIT_BYTES:
            raise aiohttp.ClientPayloadError(f"answer above {ANSWER_LIMIT_BYTES} bytes")
    return bytes(data)


def _classify(
    address: str, status: int, data: bytes, changes: bool
) -> Answer | _Failure:
    if status in DENIED_STATUSES:
        raise DeniedError("the token is not accepted", step="log in", peer=address)
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError:
        document = None
    if status == STATUS_NOT_LEADER:
        leader = document.get("leader_address") if isinstance(document, dict) else None
        hint = leader if isinstance(leader, str) else ""
        return _Failure(address, "not the leader", False, hint)
    if status >= STATUS_SERVER_ERROR:
        return _Failure(address, f"status {status}", changes)
    if not isinstance(document, dict):
        return _Failure(address, f"status {status} without a JSON object", changes)
    return Answer(status, document)


def _checked(answer: Answer, path: str) -> Answer:
    if answer.status < STATUS_BAD_REQUEST:
        return answer
    detail = str(answer.document.get("error") or f"status {answer.status}")
    if answer.status == STATUS_NOT_FOUND:
        raise NotFoundError(f"not found: {detail}", step=f"request {path}")
    raise RefusedError(f"refused: {detail}", step=f"request {path}")


def _exhausted(
    method: str, failures: list[_Failure]
) -> UnknownOutcomeError | NoReplicaError:
    last = {failure.address: failure.problem for failure in failures}
    problems = "; ".join(f"{address}: {problem}" for address, problem in last.items())
    if any(failure.maybe_received for failure in failures):
        return UnknownOutcomeError(
            f"the answer was lost, the outcome is unknown: {problems}",
            step="send change",
            peer=", ".join(last),
        )
    return NoReplicaError(
        f"no replica can answer: {problems}", step=method.lower(), peer=", ".join(last)
    )
