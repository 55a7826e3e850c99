"""Steps for bodies of requests that arrive in all ways, on both event loops."""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass
from typing import Any
from unittest import mock

import uvloop
from aiohttp.http_parser import HttpRequestParserC
from aiohttp.http_parser import HttpRequestParserPy
from behave import then
from behave import when
from daemon_harness import CLOCK
from daemon_harness import LIMIT_SECONDS
from daemon_harness import make_tables
from daemon_harness import run
from marjoramstep_core.states import Outcome
from marjoramstep_daemon.callers import request_receiver
from marjoramstep_daemon.callers.entry_result import EntryResult
from marjoramstep_daemon.callers.listener import CallerListener
from marjoramstep_daemon.calls import Answer
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.log import EventLog
from support.body_arrivals import ARRIVALS
from support.body_arrivals import LONG_BODY
from support.body_arrivals import SHORT_BODY
from support.body_arrivals import Arrival
from support.body_arrivals import ArrivalKind
from support.body_arrivals import Caller
from support.body_arrivals import FinalAnswer
from support.body_arrivals import RequestForm
from support.body_arrivals import request_forms


PARSERS = {"native": HttpRequestParserC, "Python": HttpRequestParserPy}
# The answers of a draining node announce that their connection closes.
DRAINING_WAYS = frozenset(
    {"while the node starts to drain", "while the listener stops listening"}
)
ANSWER_LIMIT_SECONDS = 5.0


class EchoingEntry:
    """Answers each request with its path and the digest of its body."""

    def __init__(self) -> None:
        self._releases: dict[str, asyncio.Event] = {}
        self.release("/body")

    def release(self, path: str) -> None:
        """Let the request with a path be answered."""
        self._releases.setdefault(path, asyncio.Event()).set()

    async def execute(self, request: Any) -> EntryResult:
        """Read the body and wait for the release."""
        data = b"".join([part async for part in request.body.parts()])
        await self._releases.setdefault(request.path, asyncio.Event()).wait()
        text = expected_answer(request.path, data)
        answer = Answer(200, [], Body(text, length=len(text)))
        return EntryResult(answer, Outcome.DONE, "k", "r")


@dataclass(frozen=True)
class Exchanged:
    """What came of a request.

    :param answers: answers of its connection
    :param error: why an answer is missing, empty if none is
    """

    form: RequestForm
    answers: tuple[FinalAnswer, ...]
    error: str = ""


def expected_answer(path: str, data: bytes) -> bytes:
    """Return the body of the answer to a request."""
    return f"{path} {len(data)} {hashlib.sha256(data).hexdigest()}".encode()


async def _exchange(kind: ArrivalKind, form: RequestForm) -> Exchanged:
    entry = EchoingEntry()
    tables = make_tables()
    listener = CallerListener(entry, tables, EventLog(CLOCK, "test"))
    address = await listener.start(("127.0.0.1", 0))
    caller = Caller(*await asyncio.open_connection(*address))
    error = ""
    try:
        async with asyncio.timeout(ANSWER_LIMIT_SECONDS):
            await kind.send(Arrival(form, caller, listener, tables, entry.release))
            while len(caller.answers) < len(kind.paths):
                await caller.read_answer()
    except (TimeoutError, EOFError, OSError, AssertionError) as failure:
        error = repr(failure)
    finally:
        caller.writer.close()
        await listener.stop_listening()
        await listener.close()
    return Exchanged(form, tuple(caller.answers), error)


@when("requests of all forms are sent whose body arrives {way}, to the {parser} parser")
def step_send(context: Any, way: str, parser: str) -> None:
    async def scenario() -> None:
        forms = list(request_forms())
        context.results += await asyncio.gather(
            *[_exchange(ARRIVALS[way], form) for form in forms]
        )

    context.way = way
    context.results = []
    with mock.patch.object(request_receiver, "HttpRequestParser", PARSERS[parser]):
        run(scenario())
        uvloop.run(asyncio.wait_for(scenario(), LIMIT_SECONDS))


@then("each of them is run with its whole body and is answered")
def step_answered(context: Any) -> None:
    data = LONG_BODY if context.way.startswith("1.5 MB") else SHORT_BODY
    paths = ARRIVALS[context.way].paths
    expected = [expected_answer(path, b"") for path in paths[:-1]]
    expected.append(expected_answer("/body", data))
    for result in context.results:
        assert [answer.body for answer in result.answers] == expected, result


@then("only the connections of last requests end with the answer")
def step_closes(context: Any) -> None:
    for result in context.results:
        closes = result.form.is_last or context.way in DRAINING_WAYS
        assert result.answers[-1].says_close is closes, result
