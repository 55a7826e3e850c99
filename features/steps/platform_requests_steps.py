"""Steps for requests and responses of the platform's protocols."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when
from daemon_harness import make_call
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason
from marjoramstep_daemon.callers.entry_result import EntryResult
from marjoramstep_daemon.calls import Body
from marjoramstep_daemon.calls import Failed
from marjoramstep_daemon.calls import Refused
from marjoramstep_daemon.http.message import HttpRequest
from marjoramstep_platform.backend_protocol import PlatformBackendProtocol
from marjoramstep_platform.caller_protocol import PlatformCallerProtocol
from multidict import CIMultiDict


CALLER_PROTOCOL = PlatformCallerProtocol(lambda: "tariffs", {"root1": "context-1"}.get)


def _parse(target: str = "/x", **changes: str | None) -> Any:
    headers = CIMultiDict(
        {"Host": "toll.example:80", "Attempt-Id": "a1", "Timeout-Ms": "500"}
    )
    for name, value in changes.items():
        key = name.replace("_", "-")
        if value is None:
            del headers[key]
        else:
            headers[key] = value
    request = HttpRequest("GET", target, headers, list(headers.items()), Body())
    return CALLER_PROTOCOL.parse(request)


def _result(outcome: str, reply: Any) -> EntryResult:
    return EntryResult(reply, Outcome(outcome), "a1", "row")


@when("a client sends a request with its own caller service and expected instance")
def step_own_headers(context: Any) -> None:
    context.parsed = _parse(Caller_Service="evil", Expected_Instance="i-9")


@then('the request names the service "{service}" as its caller and no instance')
def step_caller(context: Any, service: str) -> None:
    headers = CIMultiDict(context.parsed.headers)
    assert headers.getall("Caller-Service") == [service], headers
    assert "Expected-Instance" not in headers, headers


@then("its host and attempt id are forwarded")
def step_forwarded(context: Any) -> None:
    headers = CIMultiDict(context.parsed.headers)
    assert headers["Host"] == "toll.example:80", headers
    assert headers["Attempt-Id"] == "a1", headers
    assert context.parsed.host == "toll.example", context.parsed


@when('a request with the attempt id "{attempt_id}" arrives while "root1" runs here')
def step_attempt(context: Any, attempt_id: str) -> None:
    context.parsed = _parse(Attempt_Id=attempt_id)


@then('it is a sub-call of "{parent}"')
def step_parent(context: Any, parent: str) -> None:
    expected = "context-1" if parent == "root1" else None
    assert context.parsed.context_id == expected, context.parsed


@when("a client sends a request with {fault}")
def step_invalid_request(context: Any, fault: str) -> None:
    changes: dict[str, Any] = {
        "no attempt id": {"Attempt_Id": None},
        "a timeout of text": {"Timeout_Ms": "soon"},
        "a foreign target": {"target": "http://other/"},
    }[fault]
    try:
        context.parsed = _parse(**changes)
    except InvalidInputError as error:
        context.parsed = error


@then("the request is refused as invalid")
def step_refused(context: Any) -> None:
    assert isinstance(context.parsed, InvalidInputError), context.parsed


@then("a request that ended as {outcome} because of {reason} gets status {status:d}")
def step_status(context: Any, outcome: str, reason: str, status: int) -> None:
    kind = Refused if outcome == "not-run" else Failed
    answer = CALLER_PROTOCOL.render(_result(outcome, kind(Reason(reason))), 0.0)
    assert answer.status == status, answer


@then(
    'a request refused with a retry delay of {wait_ms:d} ms has the header "{name}" '
    'with "{value}"'
)
def step_retry_after(context: Any, wait_ms: int, name: str, value: str) -> None:
    reply = Refused(Reason.OVERLOAD, retry_after_ms=wait_ms)
    answer = CALLER_PROTOCOL.render(_result("not-run", reply), 0.0)
    assert answer.headers[name] == value, answer.headers


@then(
    'a response with status {status:d} and headers "{text}" is classified as {meaning}'
)
def step_classified(context: Any, status: int, text: str, meaning: str) -> None:
    _check_meaning(status, text, meaning, is_first=True)


@then(
    "on a connection in use again a response with status {status:d} and headers "
    '"{text}" is one of another request'
)
def step_of_another_request(context: Any, status: int, text: str) -> None:
    _check_meaning(status, text, "of another request", is_first=False)


def _check_meaning(status: int, text: str, meaning: str, *, is_first: bool) -> None:
    pairs = (part.split(":", 1) for part in text.split(";"))
    headers = CIMultiDict((name.strip(), value.strip()) for name, value in pairs)
    protocol = PlatformBackendProtocol()
    call = make_call(method="GET", request_key="a", body=Body())
    if not protocol.matches(call, status, headers, is_first=is_first):
        found = "of another request"
    else:
        verdict = protocol.classify(call, status, headers)
        found = {type(None): "an answer", Refused: "refused", Failed: "failed"}[
            type(verdict)
        ]
    assert found == meaning, found
