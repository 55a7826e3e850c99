"""Steps for the quarantine of requests that crash backend servers."""

from __future__ import annotations

import asyncio
import math
from random import Random
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import Fingerprint
from marjoramstep_core.ids import ServerId
from marjoramstep_core.ids import ServiceName
from marjoramstep_daemon.control.quarantine_client import QuarantineClient
from marjoramstep_daemon.log import EventLog
from marjoramstep_policy.quarantine import FINGERPRINT_BODY_BYTES
from marjoramstep_policy.quarantine import QUARANTINE_LISTS
from marjoramstep_policy.quarantine import CrashReport
from marjoramstep_policy.quarantine import CrashTracker
from marjoramstep_policy.quarantine import FingerprintBuilder
from marjoramstep_policy.quarantine import QuarantineList
from marjoramstep_policy.quarantine import fingerprint_request


SERVICE = ServiceName("audits")
SERVER = ServerId("server-1")


def _flip(body: bytes, index: int) -> bytes:
    return body[:index] + bytes([body[index] ^ 1]) + body[index + 1 :]


@given("the fingerprint of a POST request with a body of {size:d} bytes")
def step_fingerprint(context: Any, size: int) -> None:
    context.body = Random(1).randbytes(size)
    context.arguments = (SERVICE, "POST", "/book", size, context.body)
    context.original = fingerprint_request(*context.arguments)


@then("it is equal when the body arrives in random parts, with {seeds:d} seeds")
def step_random_parts(context: Any, seeds: int) -> None:
    for seed in range(seeds):
        rng, rest = Random(seed), context.body
        builder = FingerprintBuilder(*context.arguments[:4])
        while rest:
            size = rng.randint(0, 40_000)
            builder.add(rest[:size])
            rest = rest[size:]
        assert builder.is_complete
        assert builder.value() == context.original


@then("it is equal when only a byte after the first {count:d} differs")
def step_byte_beyond_prefix(context: Any, count: int) -> None:
    assert count == FINGERPRINT_BODY_BYTES
    other = _flip(context.body, count)
    assert fingerprint_request(*context.arguments[:4], other) == context.original


@then("it differs when service, method, path, length or an early byte differs")
def step_differs(context: Any) -> None:
    early = _flip(context.body, FINGERPRINT_BODY_BYTES - 1)
    others = (ServiceName("other"), "PUT", "/book2", None, early)
    values = {context.original}
    for index, other in enumerate(others):
        arguments = (*context.arguments[:index], other, *context.arguments[index + 1 :])
        values.add(fingerprint_request(*arguments))
    assert len(values) == 1 + len(others), values


@then("it differs when a boundary between two fields moves")
def step_boundary(context: Any) -> None:
    first = fingerprint_request(SERVICE, "GET", "/a", 1, b"1")
    assert first != fingerprint_request(SERVICE, "GET/", "a", 1, b"1")
    assert first != fingerprint_request(SERVICE, "GET", "/a", 11, b"")


def _start_calls(tracker: CrashTracker, incarnation: int) -> None:
    # The last two of the six calls have equal fingerprints.
    for call_id, name in enumerate("abcdee"):
        tracker.record_call_start(
            100 * incarnation + call_id, incarnation, Fingerprint(name)
        )


@given("a backend server with 6 calls in flight, 2 of them with equal fingerprints")
def step_in_flight(context: Any) -> None:
    context.tracker = CrashTracker(SERVER, SERVICE)
    _start_calls(context.tracker, 1)


@when(
    "it crashes {crashes:d} times, detected on every connection and resent, "
    "seed {seed:d}"
)
def step_crashes(context: Any, crashes: int, seed: int) -> None:
    context.reports, context.suspects, context.crashes = [], set(), crashes
    for incarnation in range(1, crashes + 1):
        if incarnation > 1:
            _start_calls(context.tracker, incarnation)
        for call in range(6):
            detected = context.tracker.record_crash(incarnation)
            context.reports += detected.reports
            context.suspects |= detected.call_ids
            context.tracker.record_call_end(100 * incarnation + call)
    context.reports += Random(seed).choices(context.reports, k=200)


@then("every fingerprint in flight is counted {count:d} times by distinct report ids")
def step_counted(context: Any, count: int) -> None:
    ids: dict[str, set[str]] = {}
    for report in context.reports:
        ids.setdefault(report.fingerprint, set()).add(report.report_id)
    assert {name: len(seen) for name, seen in ids.items()} == dict.fromkeys(
        "abcde", count
    ), ids


@then("every call in flight is returned as a suspect that must not be retried")
def step_suspects(context: Any) -> None:
    expected = {
        100 * incarnation + call
        for incarnation in range(1, context.crashes + 1)
        for call in range(6)
    }
    assert context.suspects == expected, context.suspects
    assert context.tracker.in_flight() == 0


@when("it crashes, and its node restarts and detects the same crash again")
def step_node_restart(context: Any) -> None:
    restarted = CrashTracker(SERVER, SERVICE)
    _start_calls(restarted, 1)
    context.both_reports = [
        t.record_crash(1).reports for t in (context.tracker, restarted)
    ]


@then("both trackers returned the same report ids")
def step_same_ids(context: Any) -> None:
    assert len(context.both_reports[0]) == 5, context.both_reports
    assert context.both_reports[0] == context.both_reports[1], context.both_reports


@when("it crashes and restarts, a new call starts and the old crash is detected again")
def step_late_detection(context: Any) -> None:
    assert len(context.tracker.record_crash(1).call_ids) == 6
    for call in range(6):
        context.tracker.record_call_end(100 + call)
    context.tracker.record_call_start(200, 2, Fingerprint("a"))
    context.late_suspects = context.tracker.record_crash(1)


@then("no new crash suspect is returned")
def step_no_suspect(context: Any) -> None:
    assert not context.late_suspects.call_ids and not context.late_suspects.reports, (
        context.late_suspects
    )


@given('a "{variant}" quarantine list for {entries:d} entries')
def step_list(context: Any, variant: str, entries: int) -> None:
    context.clock = ManualClock(5000.0)
    context.list = QUARANTINE_LISTS.get(variant)(context.clock, entries)


@when("a fingerprint is quarantined for {ms:d} ms and again for {more:d} ms")
def step_quarantine(context: Any, ms: int, more: int) -> None:
    context.list.add(SERVICE, Fingerprint("a"), float(ms))
    context.list.add(SERVICE, Fingerprint("a"), float(more))


@then("it is {early} after {first:d} s and let through after {second:d} s")
def step_expiry(context: Any, early: str, first: int, second: int) -> None:
    context.clock.advance_ms(first * 1000)
    refused = context.list.is_quarantined(SERVICE, Fingerprint("a"))
    assert refused == (early == "refused")
    assert not context.list.is_quarantined(ServiceName("other"), Fingerprint("a"))
    context.clock.advance_ms((second - first) * 1000)
    assert not context.list.is_quarantined(SERVICE, Fingerprint("a"))
    assert context.list.entries() == []


@when("{count:d} fingerprints are quarantined for 1 s to {seconds:d} s")
def step_many(context: Any, count: int, seconds: int) -> None:
    order = list(range(1, seconds + 1))
    Random(3).shuffle(order)
    for second in order:
        context.list.add(SERVICE, Fingerprint(f"f{second}"), second * 1000.0)


@then("the quarantine list holds the {count:d} entries with the most remaining time")
def step_kept(context: Any, count: int) -> None:
    kept = sorted(entry.remaining_ms for entry in context.list.entries())
    assert kept == [1000.0 * second for second in range(451, 501)], kept


@then("quarantine times of -1, infinity and NaN are rejected as invalid")
def step_bad_times(context: Any) -> None:
    for bad_ms in (-1.0, math.inf, math.nan):
        try:
            context.list.add(SERVICE, Fingerprint("f500"), bad_ms)
        except InvalidInputError:
            continue
        raise AssertionError(f"{bad_ms} was accepted")
    assert context.list.is_quarantined(SERVICE, Fingerprint("f500"))


@when("a crash is reported while the replicas do not answer for 600 ms")
def step_lost_report(context: Any) -> None:
    async def scenario() -> None:
        clock = ManualClock(0.0)
        client = QuarantineClient(QuarantineList(clock), EventLog(clock, "test"))
        context.sent = []
        client.on_report = context.sent.append
        service, fingerprint = ServiceName("s"), Fingerprint("f")
        client.report(CrashReport(service, fingerprint, "report-1"))
        # The first resend is due after 0.5 s of real time, the second 1 s later.
        await asyncio.sleep(0.6)
        context.sent_before = len(context.sent)
        client.add(service, fingerprint, 60_000.0)
        await asyncio.sleep(0.6)

    asyncio.run(scenario())


@then("the report was sent twice before the quarantine and not after it")
def step_sent_twice(context: Any) -> None:
    assert context.sent_before == 2, context.sent_before
    assert len(context.sent) == 2, context.sent
