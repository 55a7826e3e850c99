"""Steps for the operator's command, run against stand-ins of the HTTP interface."""

from __future__ import annotations

import contextlib
import hashlib
import io
import os
import shlex
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import orjson
from behave import given
from behave import then
from behave import when
from command_stand_in import TOKEN
from command_stand_in import WAIT_LIMIT_S
from command_stand_in import Cluster
from command_stand_in import StandIn
from marjoramstep_command.main import run
from marjoramstep_command.registry import COMMANDS
from marjoramstep_command.registry import load_commands


def _environment(context: Any) -> dict[str, str]:
    stand_ins = getattr(context, "stand_ins", [])
    return {
        "MARJORAMSTEP_CONTROL": ",".join(s.address for s in stand_ins),
        "MARJORAMSTEP_TOKEN_FILE": str(getattr(context, "token_path", "")),
    }


def _give_token(context: Any, token: str) -> None:
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.token_path = Path(folder) / "token"
    context.token_path.write_text(token + "\n", encoding="ascii")


def _start(context: Any, count: int, leader: int | None) -> None:
    context.cluster = Cluster()
    context.stand_ins = []
    for _ in range(count):
        stand_in = StandIn(context.cluster)
        context.stack.callback(stand_in.close)
        context.stand_ins.append(stand_in)
    if leader is not None:
        context.cluster.leader = context.stand_ins[leader]
    _give_token(context, TOKEN)


@given("{count:d} stand-in replicas with leader {leader:d}")
def step_start(context: Any, count: int, leader: int) -> None:
    _start(context, count, leader)


@given("{count:d} stand-in replicas without a leader")
def step_no_leader(context: Any, count: int) -> None:
    _start(context, count, None)


@given('the operator\'s token file holds "{token}"')
def step_token(context: Any, token: str) -> None:
    _give_token(context, token)


@given(
    "stand-in {number:d} loses its next {count:d} answers after applying the request"
)
def step_lose(context: Any, number: int, count: int) -> None:
    context.stand_ins[number].answers_to_lose = count


@given("stand-in {number:d} is {fault}")
def step_fault(context: Any, number: int, fault: str) -> None:
    stand_in = context.stand_ins[number]
    if fault == "stopped":
        stand_in.stop()
    else:
        assert fault == "silent", fault
        stand_in.silent = True


@given("stand-in {number:d} has no quorum")
def step_no_quorum(context: Any, number: int) -> None:
    context.stand_ins[number].no_quorum = True


@when("stand-in {number:d} answers again")
def step_answers(context: Any, number: int) -> None:
    context.stand_ins[number].answers_to_lose = 0


@given("{count:d} edits in the stand-ins' audit trail")
def step_edits(context: Any, count: int) -> None:
    for number in range(count):
        cells = {"weight": number % 1000 + 1}
        operation = {"kind": "set", "row": "default", "cells": cells}
        body = {"edit_key": f"e{number}", "base_version": number + 1}
        context.cluster.edit({**body, "operations": [operation]})
    assert len(context.cluster.machine.audit_entries(0, count + 1)) == count


@when("entry {number:d} of the stand-ins' audit trail is changed")
def step_change_entry(context: Any, number: int) -> None:
    context.cluster.changed_audit[number] = "mallory"


@when('the operator runs "{line}"')
def step_run(context: Any, line: str) -> None:
    out, err = io.StringIO(), io.StringIO()
    old = {name: os.environ.get(name) for name in _environment(context)}
    os.environ.update(_environment(context))
    try:
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            context.exit_status = run(shlex.split(line))
    finally:
        for name, value in old.items():
            os.environ.pop(name)
            if value is not None:
                os.environ[name] = value
    context.out, context.err = out.getvalue(), err.getvalue()


@when('the operator runs "{line}" with the key of the last edit')
def step_run_key(context: Any, line: str) -> None:
    step_run(context, f"{line} {context.cluster.edit_keys[-1]}")


@when('the operator interrupts "{line}"')
def step_interrupt(context: Any, line: str) -> None:
    command = [
        sys.executable,
        "-c",
        "from marjoramstep_command.main import main; main()",
    ]
    process = subprocess.Popen(
        [*command, *shlex.split(line)],
        env={**os.environ, **_environment(context)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.stack.callback(process.kill)
    limit_s = time.monotonic() + WAIT_LIMIT_S
    while not context.stand_ins[0].requests:
        assert time.monotonic() < limit_s, "the command sent no request"
        time.sleep(0.01)
    process.send_signal(signal.SIGINT)
    context.out, context.err = process.communicate(timeout=WAIT_LIMIT_S)
    context.exit_status = process.returncode


def _expect_status(context: Any, status: int) -> None:
    found = (context.exit_status, context.out, context.err)
    assert context.exit_status == status, found


@then('the command exits with {status:d} and prints "{text}"')
def step_prints(context: Any, status: int, text: str) -> None:
    _expect_status(context, status)
    assert text in context.out, context.out


@then("the command exits with {status:d} and prints JSON with {name}={value:d}")
def step_json(context: Any, status: int, name: str, value: int) -> None:
    _expect_status(context, status)
    assert orjson.loads(context.out)[name] == value, context.out


@then("the command exits with {status:d} and prints one line of JSON")
def step_json_line(context: Any, status: int) -> None:
    _expect_status(context, status)
    assert context.out.count("\n") == 1 and orjson.loads(context.out), context.out


@then(
    "the command exits with {status:d} and prints an aligned table with the columns "
    "{columns}"
)
def step_table(context: Any, status: int, columns: str) -> None:
    _expect_status(context, status)
    lines = context.out.splitlines()
    heading = next(i for i, x in enumerate(lines) if x.startswith(columns.split()[0]))
    starts = [lines[heading].index(column) for column in columns.split()]
    assert len(lines) > heading + 1
    for line in lines[heading:]:
        assert all(line[s] != " " and line[s - 1] in " " for s in starts[1:]), line


@then("the command prints {count:d} lines")
def step_lines(context: Any, count: int) -> None:
    assert len(context.out.splitlines()) == count, context.out


@then('the command exits with {status:d} and one error line naming "{text}"')
def step_error(context: Any, status: int, text: str) -> None:
    _expect_status(context, status)
    assert context.err.startswith("marjoramstep: "), context.err
    assert context.err.count("\n") == 1 and text in context.err, context.err


@then('the command\'s error line names "{text}"')
def step_error_names(context: Any, text: str) -> None:
    assert text in context.err, context.err


@then('the command\'s error line does not name "{text}"')
def step_error_hides(context: Any, text: str) -> None:
    assert text not in context.err + context.out


@then("the command exits with {status:d} and prints a token with its hash")
def step_token_hash(context: Any, status: int) -> None:
    _expect_status(context, status)
    document = orjson.loads(context.out)
    digest = hashlib.sha256(document["token"].encode()).hexdigest()
    assert digest == document["token_sha256"] and len(document["token"]) >= 43


@then(
    "the stand-ins lost {lost:d} answers and received {count:d} edits with {keys:d} key"
)
def step_received(context: Any, lost: int, count: int, keys: int) -> None:
    received = context.cluster.edit_keys
    assert context.cluster.lost_answers == lost
    assert (len(received), len(set(received))) == (count, keys), received


@then("the stand-ins received {count:d} changes of replicas")
def step_changes(context: Any, count: int) -> None:
    assert context.cluster.lost_answers == 1
    assert context.cluster.replica_changes == count


@then("stand-in {number:d} received a request")
def step_reached_stand_in(context: Any, number: int) -> None:
    assert context.stand_ins[number].requests > 0


@then("each command of the registry describes itself and takes --json")
def step_described(context: Any) -> None:
    load_commands()
    assert len(COMMANDS.names()) >= 17, COMMANDS.names()
    for name in COMMANDS:
        step_run(context, f"{name} --help")
        assert context.exit_status == 0, (name, context.err)
        text = " ".join(context.out.split())
        assert COMMANDS.get(name).description in text, name
        assert "--json" in text, name


@given('a package whose entry point adds the command "{name}"')
def step_entry_point(context: Any, name: str) -> None:
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    info = Path(folder) / "added_command-1.0.dist-info"
    info.mkdir()
    (info / "METADATA").write_text("Name: added-command\nVersion: 1.0\n")
    entry = f"[marjoramstep.commands]\n{name} = added_command:handler\n"
    (info / "entry_points.txt").write_text(entry)
    source = "def handler(text: str) -> int:\n    print(text)\n    return 3\n"
    (Path(folder) / "added_command.py").write_text(source)
    context.added_path = Path(folder) / "added_command.py"
    sys.path.insert(0, folder)
    context.stack.callback(sys.path.remove, folder)
    context.stack.callback(sys.modules.pop, "added_command", None)


@given("the added command's module is missing")
def step_missing_module(context: Any) -> None:
    context.added_path.unlink()
