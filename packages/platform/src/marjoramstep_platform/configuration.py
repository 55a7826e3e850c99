"""Configurations of the platform's operators as tables of the product."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass
from typing import Any

import orjson
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import EditKey
from marjoramstep_core.table import DEFAULT_ROW_NAME
from marjoramstep_core.table import Row

from .durations import parse_duration_ms


ROUTES = "routes"
SERVICES = "services"
LIMITS = "limits"
KINDS = frozenset({"safe", "unsafe", "upload"})
REPEATABLE_KIND = "safe"
# A latency objective this far above the timeout can't be meant.
OBJECTIVE_SLACK_MS = 60_000.0
HIGHEST_WEIGHT = 900
WEIGHT_STEP = 100
QUEUE_LENGTH = 10_000
MAXIMUM_ATTEMPTS = 11
# Second sends of one request over its whole chain of calls.
CHAIN_RETRIES = 10
DEFAULT_BODY_LIMIT_BYTES = 64 * 1024 * 1024
_VERSION = re.compile(r"[0-9a-fA-F]{8}")


@dataclass(frozen=True)
class Configuration:
    """A configuration, checked.

    :param version: its number
    :param base_version: number of the configuration that it builds on, 0 for none
    :param rows: cells of the rows of the table
    :param source: the text as sent
    :param digest: equal for equal contents
    """

    version: int
    base_version: int
    rows: tuple[dict[str, object], ...]
    source: str
    digest: EditKey

    @classmethod
    def decode(cls, data: bytes) -> Configuration:
        """Read and check a configuration.

        :param data: JSON
        :return: the configuration
        :raises InvalidInputError: if it is not valid
        """
        document = _load(data)
        resources = document.get("resources")
        if not isinstance(resources, list):
            raise _fault("resources: expected a list")
        entries = [_Entry.decode(value) for value in resources]
        services = {entry.name for entry in entries if entry.kind == SERVICES}
        limits = next((e.spec for e in entries if e.kind == LIMITS), {})
        body_limit = _whole(
            limits.get("max_body_bytes", DEFAULT_BODY_LIMIT_BYTES), "max_body_bytes"
        )
        rows = [_default_row(limits, body_limit)]
        rows += [
            _route_row(entry, services, body_limit)
            for entry in entries
            if entry.kind == ROUTES
        ]
        _check_places(rows)
        return cls(
            _version(document.get("version"), "version"),
            _version(document.get("base_version"), "base_version"),
            tuple(rows),
            data.decode("utf-8"),
            _digest(document),
        )


@dataclass(frozen=True)
class _Entry:
    """One resource."""

    kind: str
    name: str
    spec: dict[str, Any]

    @classmethod
    def decode(cls, value: object) -> _Entry:
        if not isinstance(value, dict):
            raise _fault("resources: expected objects")
        kind, spec = value.get("resource_type"), value.get("spec")
        metadata = value.get("metadata")
        if not isinstance(kind, str) or not isinstance(spec, dict):
            raise _fault("a resource needs resource_type and spec")
        if not isinstance(metadata, dict):
            raise _fault("a resource needs metadata")
        name = metadata.get("name", "")
        if not isinstance(name, str) or (not name and kind in (ROUTES, SERVICES)):
            raise _fault(f"{kind}: expected a name")
        return cls(kind, name, spec)


def _default_row(limits: dict[str, Any], body_limit: int) -> dict[str, object]:
    row: dict[str, object] = {
        "name": DEFAULT_ROW_NAME,
        "weight": 10,
        "body_limit_bytes": body_limit,
    }
    for name, column in (
        ("header_timeout", "header_timeout_ms"),
        ("idle_timeout", "idle_timeout_ms"),
    ):
        if name in limits:
            row[column] = int(parse_duration_ms(limits[name], name))
    return row


def _route_row(entry: _Entry, services: set[str], body_limit: int) -> dict[str, object]:
    spec, name = entry.spec, entry.name
    kind = spec.get("route_type")
    if kind not in KINDS:
        raise _fault(f"{name}: unknown route_type")
    prefix = spec.get("path_prefix")
    if not isinstance(prefix, str) or not prefix.startswith("/"):
        raise _fault(f"{name}: path_prefix must begin with a slash")
    timeout_ms = parse_duration_ms(spec.get("timeout"), f"{name}.timeout")
    objective_ms = parse_duration_ms(
        spec.get("target_latency"), f"{name}.target_latency"
    )
    if objective_ms >= timeout_ms + OBJECTIVE_SLACK_MS:
        raise _fault(f"{name}: target_latency lies too far above timeout")
    attempts = _whole(spec.get("max_attempts"), f"{name}.max_attempts")
    priority = _whole(spec.get("priority"), f"{name}.priority")
    cells: dict[str, object] = {
        "name": name,
        "host": spec.get("host"),
        "path_prefix": prefix,
        "targets": _targets(entry, services),
        "repeatable": kind == REPEATABLE_KIND,
        "claimed": False,
        "weight": max(HIGHEST_WEIGHT - WEIGHT_STEP * priority, 1),
        "deadline_ms": int(timeout_ms),
        "objective_ms": int(objective_ms),
        "size_class": "short",
        "retries": CHAIN_RETRIES,
        "attempts": min(max(attempts, 1), MAXIMUM_ATTEMPTS),
        "queue_length": QUEUE_LENGTH,
        "queue_wait_ms": int(timeout_ms),
        "body_limit_bytes": body_limit,
    }
    return Row.from_cells(cells).to_cells()  # type: ignore[return-value]


def _targets(entry: _Entry, services: set[str]) -> str:
    spec, name = entry.spec, entry.name
    parts = spec.get("weighted_services")
    if parts is None:
        parts = [{"service": spec.get("service"), "weight": 1}]
    if not isinstance(parts, list) or not parts:
        raise _fault(f"{name}: expected a service or weighted_services")
    targets = []
    for part in parts:
        service = part.get("service") if isinstance(part, dict) else None
        if not isinstance(service, str) or service not in services:
            raise _fault(f"{name}: unknown service {service!r}")
        weight = _whole(part.get("weight"), f"{name}.weight")
        targets.append((service, weight))
    if not sum(weight for _, weight in targets):
        raise _fault(f"{name}: the weights add up to 0")
    return ",".join(f"{service}:{weight}" for service, weight in targets)


def _check_places(rows: list[dict[str, object]]) -> None:
    places = set()
    names = set()
    for row in rows:
        if row["name"] in names:
            raise _fault(f"{row['name']}: the name is used twice")
        names.add(row["name"])
        place = (row.get("host"), row.get("path_prefix"))
        if place in places:
            raise _fault(f"{row['name']}: another route has this host and prefix")
        places.add(place)


def _load(data: bytes) -> dict[str, Any]:
    try:
        document = orjson.loads(data)
    except ValueError as error:
        raise _fault(f"cannot be read: {error}") from error
    if not isinstance(document, dict):
        raise _fault("expected an object")
    return document


def _version(value: object, name: str) -> int:
    if not isinstance(value, str) or not _VERSION.fullmatch(value):
        raise _fault(f"{name}: expected eight hexadecimal digits")
    return int(value, 16)


def _whole(value: object, name: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise _fault(f"{name}: expected a whole number that is not negative")
    return value


def _digest(document: dict[str, Any]) -> EditKey:
    data = orjson.dumps(document, option=orjson.OPT_SORT_KEYS)
    return EditKey(hashlib.sha256(data).hexdigest())


def _fault(text: str) -> InvalidInputError:
    return InvalidInputError(text, step="read configuration", peer="operator")
