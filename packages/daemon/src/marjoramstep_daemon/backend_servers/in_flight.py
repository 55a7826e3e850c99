"""Requests that are running at the local backend server."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from marjoramstep_policy.retries import RetryAllowance

    from ..calls import Call

CONTEXT_ID_BYTES = 12
IDS_PER_BATCH = 64


@unique
class SubCallState(Enum):
    """State of a sub-call made by a running request."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    NOT_RUN = "not-run"


@dataclass(slots=True)
class InFlightRequest:
    """A running request and the state of its sub-calls."""

    call: Call
    allowance: RetryAllowance
    started_ms: float
    reached_services: set[str] = field(default_factory=set)
    sub_calls: dict[str, SubCallState] = field(default_factory=dict)


def _random_ids() -> Iterator[str]:
    """Yield unguessable ids; one system call generates a batch of them."""
    while True:
        batch = secrets.token_bytes(CONTEXT_ID_BYTES * IDS_PER_BATCH)
        for start in range(0, len(batch), CONTEXT_ID_BYTES):
            yield batch[start : start + CONTEXT_ID_BYTES].hex()


class InFlightMap:
    """Running requests by the context id that was sent to the backend server.

    :param make_allowance: builds the retry allowance from a request's retry tokens
    """

    def __init__(self, make_allowance: Callable[[int], RetryAllowance]) -> None:
        self._make_allowance = make_allowance
        self._ids = _random_ids()
        self._requests: dict[str, InFlightRequest] = {}
        self._context_ids_by_key: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, call: Call, started_ms: float) -> str:
        """Add a request that is about to be sent to the backend server.

        :param call: the call
        :param started_ms: start time by the node's clock
        :return: the context id, which cannot be guessed
        """
        context_id = next(self._ids)
        allowance = self._make_allowance(call.retry_tokens)
        self._requests[context_id] = InFlightRequest(call, allowance, started_ms)
        self._context_ids_by_key[call.request_key] = context_id
        return context_id

    def find(self, context_id: str) -> InFlightRequest | None:
        """Find a running request by its context id.

        :param context_id: context id from the headers of a sub-call
        :return: the request, or None if it has ended
        """
        return self._requests.get(context_id)

    def find_context_id(self, request_key: str) -> str | None:
        """Return the context id of a running request.

        :param request_key: key of the request
        :return: the context id, or None if the request is not running here
        """
        return self._context_ids_by_key.get(request_key)

    def remove(self, context_id: str) -> int:
        """Remove a request that has ended; later sub-calls of it are refused.

        :param context_id: id that :meth:`add` returned
        :return: number of unused retry tokens
        """
        request = self._requests.pop(context_id)
        self._context_ids_by_key.pop(request.call.request_key, None)
        return request.allowance.held

    def discard(self, context_id: str) -> None:
        """Remove a request, if it is still there, and drop its unused retry tokens.

        :param context_id: id that :meth:`add` returned
        """
        if context_id in self._requests:
            self.remove(context_id)

    def reached_services(self, context_id: str) -> set[str]:
        """Return the downstream services that a request's sub-calls have reached.

        :param context_id: id that :meth:`add` returned
        :return: service names
        """
        return self._requests[context_id].reached_services

    def calls(self) -> list[Call]:
        """Return the running calls, for shutdown reports.

        :return: calls in the order of their start
        """
        return [request.call for request in self._requests.values()]
