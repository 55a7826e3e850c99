"""Sends the requests of a trace at their times, whatever becomes of earlier ones."""

from __future__ import annotations

import asyncio
import hashlib
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason
from yarl import URL

from ..outcomes.result import Attempt
from ..outcomes.result import RequestResult


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from marjoramstep_core.clock import Clock
    from marjoramstep_core.table import Row
    from marjoramstep_core.table import RowMatcher

    from ..trace import TraceRequest

OUTCOME_HEADER = "Marjoramstep-Outcome"
REASON_HEADER = "Marjoramstep-Reason"
# An answer that says "deadline" arrives shortly after the deadline itself.
ANSWER_GRACE_MS = 1000.0
KEY_CHARACTERS = 24


@dataclass(frozen=True)
class _Prepared:
    request: TraceRequest
    row: Row
    url: URL
    key: str
    body: bytes
    start_ms: float


def make_key(issued_ms: int, text: str) -> str:
    """Return a request key of the form that rows with claims need.

    :param issued_ms: time of issue in milliseconds since the epoch
    :param text: what the key stands for; equal texts give equal keys
    :return: the key, whose second part is hexadecimal
    """
    digest = hashlib.sha256(text.encode()).hexdigest()
    return f"{issued_ms}-{digest[:KEY_CHARACTERS]}"


class TraceSender:
    """Open-loop sender.

    :param session: HTTP client without a limit on connections
    :param clock: source of the time
    :param matcher: finds the row of a request
    :param entry_addresses: caller addresses of the nodes
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        clock: Clock,
        matcher: RowMatcher,
        entry_addresses: Sequence[str],
    ) -> None:
        self._session = session
        self._clock = clock
        self._matcher = matcher
        self._entries = list(entry_addresses)
        self._issued_ms: dict[str, int] = {}
        self.send_lags_ms: list[float] = []

    async def send_all(
        self, requests: Sequence[TraceRequest], progress: Callable[[int], None]
    ) -> list[RequestResult]:
        """Send all requests and wait until each has its outcome.

        :param requests: requests in order of time
        :param progress: called with the number sent so far, about once a second
        :return: results in the order of the requests
        """
        start_ms = self._clock.now_ms()
        next_report_ms = start_ms
        tasks: list[asyncio.Task[RequestResult]] = []
        try:
            for index, request in enumerate(requests):
                due_ms = start_ms + request.at_ms
                wait_ms = due_ms - self._clock.now_ms()
                if wait_ms > 0:
                    await asyncio.sleep(wait_ms / 1000.0)
                now_ms = self._clock.now_ms()
                self.send_lags_ms.append(max(0.0, now_ms - due_ms))
                prepared = self._prepare(request, index, due_ms)
                tasks.append(asyncio.create_task(self._send(prepared)))
                if now_ms >= next_report_ms:
                    progress(index + 1)
                    next_report_ms = now_ms + 1000.0
            return await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    def _prepare(self, request: TraceRequest, index: int, due_ms: float) -> _Prepared:
        name = request.key or f"line {index}"
        issued_ms = self._issued_ms.setdefault(name, self._clock.wall_ms())
        key = make_key(issued_ms, name)
        entry = self._entries[zlib.crc32(request.caller.encode()) % len(self._entries)]
        # Bodies differ, so that requests of one path have different fingerprints.
        body = request.body.encode() or key.encode().ljust(request.body_bytes, b".")
        if not request.body:
            body = body[: request.body_bytes]
        return _Prepared(
            request=request,
            row=self._matcher.match(
                ServiceName(request.service), request.method, request.path
            ),
            url=URL(f"http://{entry}{request.path}", encoded=True),
            key=key,
            body=body,
            start_ms=due_ms,
        )

    async def _send(self, prepared: _Prepared) -> RequestResult:
        request, row = prepared.request, prepared.row
        attempts: list[Attempt] = []
        complete: bool | None = None
        while True:
            attempt, complete = await self._attempt(prepared)
            attempts.append(attempt)
            elapsed_ms = self._clock.now_ms() - prepared.start_ms
            if attempt.outcome is Outcome.DONE or len(attempts) > request.retries:
                break
            if elapsed_ms + request.backoff_ms >= row.deadline_ms:
                break
            await asyncio.sleep(request.backoff_ms / 1000.0)
        return RequestResult(
            group=request.group,
            service=request.service,
            key=prepared.key,
            weight=row.weight,
            repeatable=row.repeatable,
            retries=row.retries,
            at_ms=request.at_ms,
            latency_ms=elapsed_ms,
            deadline_ms=float(row.deadline_ms),
            attempts=tuple(attempts),
            is_answer_complete=complete,
        )

    async def _attempt(self, prepared: _Prepared) -> tuple[Attempt, bool | None]:
        request, row = prepared.request, prepared.row
        timeout_ms = request.timeout_ms or row.deadline_ms + ANSWER_GRACE_MS
        headers = {
            "Marjoramstep-Service": request.service,
            "Marjoramstep-Key": prepared.key,
            **request.headers,
        }
        try:
            async with self._session.request(
                request.method,
                prepared.url,
                headers=headers,
                data=prepared.body or None,
                timeout=aiohttp.ClientTimeout(total=timeout_ms / 1000.0),
            ) as answer:
                body = await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Attempt(Outcome.UNKNOWN, type(error).__name__, 0), None
        outcome = _read_outcome(answer.headers.get(OUTCOME_HEADER, ""))
        reason = answer.headers.get(REASON_HEADER, "")
        attempt = Attempt(outcome, reason, answer.status)
        if outcome is not Outcome.DONE or not 200 <= answer.status < 400:
            return attempt, None
        return attempt, _is_own_answer(prepared, reason, body)


def _read_outcome(text: str) -> Outcome:
    try:
        return Outcome(text)
    except ValueError:
        return Outcome.UNKNOWN


def _is_own_answer(prepared: _Prepared, reason: str, body: bytes) -> bool:
    request = prepared.request
    if reason == Reason.ANSWER_NOT_STORED.value or request.method == "HEAD":
        return True
    length, checksum = len(prepared.body), zlib.crc32(prepared.body)
    head = f"{prepared.key} {request.method} {request.path} {length} {checksum} "
    return body.startswith(head.encode())
