"""Requests that the own backend server is running now."""

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

CONTEXT_BYTES = 12
ID_BATCH = 64


@unique
class SubCallState(Enum):
    """What became of a sub-call of a running request."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    NOT_RUN = "not-run"


@dataclass(slots=True)
class InFlight:
    """One running request, the parent of its sub-calls."""

    call: Call
    allowance: RetryAllowance
    started_ms: float
    used_services: set[str] = field(default_factory=set)
    sub_calls: dict[str, SubCallState] = field(default_factory=dict)


def _random_ids() -> Iterator[str]:
    """Yield ids that cannot be guessed; one system call serves a batch."""
    while True:
        batch = secrets.token_bytes(CONTEXT_BYTES * ID_BATCH)
        for start in range(0, len(batch), CONTEXT_BYTES):
            yield batch[start : start + CONTEXT_BYTES].hex()


class InFlightMap:
    """Running requests by the context id that their backend server was given.

    :param make_allowance: makes the retry tokens of a request
    """

    def __init__(self, make_allowance: Callable[[int], RetryAllowance]) -> None:
        self._make_allowance = make_allowance
        self._ids = _random_ids()
        self._entries: dict[str, InFlight] = {}
        self._by_key: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, call: Call, started_ms: float) -> str:
        """Add a request that is about to run.

        :param call: the call
        :param started_ms: time of the node's clock
        :return: the context id, which cannot be guessed
        """
        context_id = next(self._ids)
        allowance = self._make_allowance(call.retry_tokens)
        self._entries[context_id] = InFlight(call, allowance, started_ms)
        self._by_key[call.request_key] = context_id
        return context_id

    def find(self, context_id: str) -> InFlight | None:
        """Find a running request.

        :param context_id: id from the header of a sub-call
        :return: the request, or None if it has ended
        """
        return self._entries.get(context_id)

    def context_of(self, request_key: str) -> str | None:
        """Return the context id of a running request.

        :param request_key: key of the request
        :return: the context id, or None if it does not run here
        """
        return self._by_key.get(request_key)

    def remove(self, context_id: str) -> int:
        """Remove a request that has ended; its later sub-calls are refused.

        :param context_id: id that :meth:`add` returned
        :return: retry tokens that are left
        """
        entry = self._entries.pop(context_id)
        self._by_key.pop(entry.call.request_key, None)
        return entry.allowance.held

    def discard(self, context_id: str) -> None:
        """Remove a request whose retry tokens are given up.

        :param context_id: id that :meth:`add` returned
        """
        if context_id in self._entries:
            self.remove(context_id)

    def used_services(self, context_id: str) -> set[str]:
        """Return the services below a running request that its sub-calls reached.

        :param context_id: id that :meth:`add` returned
        :return: names of services
        """
        return self._entries[context_id].used_services

    def calls(self) -> list[Call]:
        """Return the running calls, for crash suspects and shutdown reports.

        :return: calls in order of their start
        """
        return [entry.call for entry in self._entries.values()]
