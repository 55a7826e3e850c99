"""Steps for configurations of the platform's operators."""

from __future__ import annotations

import asyncio
import copy
import json
import random
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import aiohttp
from behave import given
from behave import then
from behave import when
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import LogIndex
from marjoramstep_core.table import Row
from marjoramstep_daemon.control.proposal_queue import PAYLOAD_LIMIT_BYTES
from marjoramstep_daemon.control.table_encoder import TableEncoder
from marjoramstep_daemon.control.table_store import TableStore
from marjoramstep_daemon.http.server import HttpServer
from marjoramstep_daemon.log import EventLog
from marjoramstep_platform.configuration import Configuration
from marjoramstep_platform.configuration_api import BODY_LIMIT_BYTES
from marjoramstep_platform.configuration_api import OPERATOR
from marjoramstep_platform.configuration_api import ConfigurationApi
from marjoramstep_state import StateMachine
from marjoramstep_state.commands import decode_command
from marjoramstep_state.commands import encode_command
from marjoramstep_state.edit_commands import ReplaceTable
from marjoramstep_state.results import EditVerdict
from marjoramstep_wire.messages import TableReply


SEED = 11
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}


def _route(
    name: str, prefix: str, route_type: str, priority: int, **fields: Any
) -> Any:
    spec = {
        "host": "hulo84.example",
        "path_prefix": prefix,
        "route_type": route_type,
        "timeout": "1000ms",
        "target_latency": "1500ms",
        "priority": priority,
        "max_attempts": 2,
        **fields,
    }
    return {"resource_type": "routes", "metadata": {"name": name}, "spec": spec}


def _service(name: str) -> Any:
    spec = {"health_path": "/health", "max_connections": 952, "protocol": "h1"}
    return {"resource_type": "services", "metadata": {"name": name}, "spec": spec}


def _document() -> Any:
    weighted = [
        {"service": "huvo11a", "weight": 90},
        {"service": "lovo22d", "weight": 10},
    ]
    return {
        "version": "00000007",
        "base_version": "00000005",
        "resources": [
            _route("r-safe", "/leny950/", "safe", 2, weighted_services=weighted),
            _route("r-unsafe", "/puka111/", "unsafe", 0, service="huvo11a"),
            _service("huvo11a"),
            _service("lovo22d"),
            {"resource_type": "limits", "metadata": {}, "spec": LIMITS},
        ],
    }


def _make_invalid(document: Any, fault: str) -> None:
    safe, unsafe = (entry["spec"] for entry in document["resources"][:2])
    if fault == "unknown service":
        unsafe["service"] = "nobody"
    elif fault == "unknown weighted service":
        safe["weighted_services"][1]["service"] = "nobody"
    elif fault == "same host and prefix":
        unsafe["path_prefix"] = safe["path_prefix"]
    elif fault == "same name":
        document["resources"][1]["metadata"]["name"] = "r-safe"
    elif fault == "weights of 0":
        for part in safe["weighted_services"]:
            part["weight"] = 0
    elif fault == "objective a minute above":
        safe["target_latency"] = "61000ms"
    elif fault == "prefix without a slash":
        safe["path_prefix"] = "leny950/"
    elif fault == "timeout without a unit":
        safe["timeout"] = 1000
    elif fault == "version as a number":
        document["version"] = 7
    elif fault == "unknown kind":
        safe["route_type"] = "risky"
    elif fault == "kind as a list":
        safe["route_type"] = ["safe"]
    elif fault == "deep nesting":
        nested: list[Any] = []
        for _ in range(300):
            nested = [nested]
        document["note"] = nested
    elif fault == "resources as an object":
        document["resources"] = {}
    else:
        raise ValueError(fault)


@given("a configuration with a safe and an unsafe route")
def step_configuration(context: Any) -> None:
    context.document = _document()


@when("it is decoded")
def step_decode(context: Any) -> None:
    context.decoded = Configuration.decode(json.dumps(context.document).encode())
    rows = [Row.from_cells(dict(cells)) for cells in context.decoded.rows]
    context.rows = {row.name: row for row in rows}


@when('it is made invalid by "{fault}"')
def step_invalid(context: Any, fault: str) -> None:
    if fault == "cut short":
        context.data = json.dumps(context.document).encode()[:-20]
        return
    _make_invalid(context.document, fault)
    context.data = json.dumps(context.document).encode()


@then("decoding it fails")
def step_fails(context: Any) -> None:
    try:
        Configuration.decode(context.data)
    except InvalidInputError:
        return
    raise AssertionError("an invalid configuration was decoded")


@then("its version is {version:d} and its base {base:d}")
def step_version(context: Any, version: int, base: int) -> None:
    decoded = context.decoded
    assert (decoded.version, decoded.base_version) == (version, base), decoded


@then('row "{name}" has host "{host}", prefix "{prefix}" and targets "{targets}"')
def step_host_and_targets(
    context: Any, name: str, host: str, prefix: str, targets: str
) -> None:
    row = context.rows[name]
    assert (row.host, row.path_prefix, row.targets) == (host, prefix, targets), row


@then(
    'row "{name}" is repeatable with {attempts:d} attempts, deadline '
    "{deadline_ms:d} ms and objective {objective_ms:d} ms"
)
def step_repeatable(
    context: Any, name: str, attempts: int, deadline_ms: int, objective_ms: int
) -> None:
    row = context.rows[name]
    assert row.repeatable, row
    found = (row.attempts, row.deadline_ms, row.objective_ms)
    assert found == (attempts, deadline_ms, objective_ms), row


@then(
    'row "{name}" is not repeatable, needs no claim and has a higher weight than row '
    '"{other}"'
)
def step_weight(context: Any, name: str, other: str) -> None:
    row = context.rows[name]
    assert not row.repeatable, row
    assert not row.needs_claim, row
    assert row.weight > context.rows[other].weight, row


@then(
    "the default row has a body limit of {limit:d} bytes and an idle timeout of "
    "{timeout_ms:d} ms"
)
def step_limits(context: Any, limit: int, timeout_ms: int) -> None:
    row = context.rows["default"]
    assert (row.body_limit_bytes, row.idle_timeout_ms) == (limit, timeout_ms), row


@then("its digest does not depend on the order of its fields")
def step_digest(context: Any) -> None:
    first = Configuration.decode(json.dumps(context.document).encode())
    reordered = dict(reversed(list(context.document.items())))
    second = Configuration.decode(json.dumps(reordered).encode())
    assert first.digest == second.digest


def _damage(document: Any, rng: random.Random) -> Any:
    """Replace a random value of a document with a random one."""
    replacement = rng.choice([None, -1, 3.5, "", "x" * 70, [], {}, True, 10**20])
    node, parents = document, []
    while isinstance(node, (dict, list)) and node and rng.random() < 0.85:
        keys = list(node) if isinstance(node, dict) else range(len(node))
        key = rng.choice(list(keys))
        parents.append((node, key))
        node = node[key]
    if not parents:
        return replacement
    parent, key = parents[-1]
    parent[key] = replacement
    return document


@then(
    "decoding {count:d} damaged configurations gives a configuration or an "
    "invalid-input error"
)
def step_damaged(context: Any, count: int) -> None:
    rng = random.Random(SEED)
    refused = 0
    for _ in range(count):
        data = json.dumps(_damage(copy.deepcopy(_document()), rng)).encode()
        try:
            Configuration.decode(data)
        except InvalidInputError:
            refused += 1
    assert 0 < refused < count, refused


@given("a configuration with {count:d} routes")
def step_large_configuration(context: Any, count: int) -> None:
    context.document = _document()
    context.document["resources"] += [
        _route(f"r-{number:07d}", f"/leny{number:04d}/", "safe", 2, service="huvo11a")
        for number in range(count)
    ]


@then("its command fits into a log entry")
def step_fits(context: Any) -> None:
    configuration = context.decoded
    assert len(configuration.source.encode()) < BODY_LIMIT_BYTES
    size = len(encode_command(_command(configuration)))
    assert size <= PAYLOAD_LIMIT_BYTES, size


def _command(configuration: Configuration) -> ReplaceTable:
    return ReplaceTable(
        0,
        configuration.digest,
        configuration.version,
        configuration.base_version,
        OPERATOR,
        "10.0.0.1",
        configuration.rows,
        configuration.source,
    )


@when("a replica applies its command and another one restores its snapshot")
def step_apply(context: Any) -> None:
    first = Configuration.decode(json.dumps(_document()).encode())
    command = replace(_command(first), base_revision=0, revision=5)
    context.machine, context.restored = StateMachine(), StateMachine()
    result = context.machine.apply(LogIndex(1), encode_command(command)).result
    assert result.verdict is EditVerdict.ACCEPTED, result
    context.earlier = context.machine.table
    command = _command(context.decoded)
    result = context.machine.apply(LogIndex(2), encode_command(command)).result
    assert result.verdict is EditVerdict.ACCEPTED, result
    context.restored.restore(context.machine.snapshot())


@then("both have the same {rows:d} rows, source and audit trail")
def step_same(context: Any, rows: int) -> None:
    machine, restored = context.machine, context.restored
    assert len(machine.table.rows) == rows, len(machine.table.rows)
    assert restored.table == machine.table
    assert restored.source == machine.source == context.decoded.source
    assert restored.audit_entries() == machine.audit_entries()
    assert restored.verify_audit() is None
    assert len(machine.audit_entries()[1].after["rows"]) == rows - len(
        context.earlier.rows
    )


@then(
    "a node without a table, and one with an earlier table, get it in one message each"
)
def step_nodes(context: Any) -> None:
    encoder = TableEncoder(context.machine)
    log = EventLog(ManualClock(), "test")
    for earlier in (None, context.earlier):
        tables = TableStore(ManualClock(), log)
        if earlier is not None:
            tables.put_in_force(earlier)
        data = encoder.encode(tables.version)
        assert len(data) <= PAYLOAD_LIMIT_BYTES, len(data)
        version = context.machine.table.version
        tables.receive(TableReply(version, data, 0.0))
        assert tables.table == context.machine.table


class FullReplica:
    """Replica whose log refuses each command as too long."""

    async def submit(self, _make_command: Any) -> Any:
        """Refuse the command."""
        raise InvalidInputError("expected at most 1 byte, found 2", step="propose")


@when("a configuration of {size} is put")
def step_put(context: Any, size: str) -> None:
    data = json.dumps(_document()).encode()
    if size == "more bytes than the interface takes":
        data += b" " * BODY_LIMIT_BYTES
    context.log = []
    log = SimpleNamespace(write=lambda event, **_: context.log.append(event))
    app = ConfigurationApi(FullReplica(), log).make_app()  # type: ignore[arg-type]

    async def put() -> int:
        server = HttpServer(app, 10_000)
        host, port = await server.start(("127.0.0.1", 0))
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.put(f"http://{host}:{port}/-/config", data=data) as response,
            ):
                return response.status
        finally:
            await server.close()

    context.status = asyncio.run(put())


@then("it is answered {status:d} and the log says why")
def step_too_large(context: Any, status: int) -> None:
    assert context.status == status, context.status
    assert context.log == ["configuration refused"], context.log


@then("its command is also read from an entry of an earlier release")
def step_earlier_release(context: Any) -> None:
    command = _command(context.decoded)
    fields = {**vars(command), "rows": list(command.rows), "kind": command.kind}
    assert decode_command(json.dumps(fields).encode()) == command
