"""Conversion of the platform's configurations to tables of marjoramstep."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass
from typing import Any

import orjson
from marjoramstep_core.durations import parse_duration_ms
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import EditKey
from marjoramstep_core.table import DEFAULT_ROW_NAME
from marjoramstep_core.table import Row


ROUTES = "routes"
SERVICES = "services"
LIMITS = "limits"
ROUTE_TYPES = frozenset({"safe", "unsafe", "upload"})
REPEATABLE_ROUTE_TYPE = "safe"
# A latency objective may exceed the timeout, but by this much or more it is rejected as
# a mistake.
OBJECTIVE_EXCESS_LIMIT_MS = 60_000.0
# Priority 0 is the most important one.
WEIGHT_OF_PRIORITY_0 = 900
WEIGHT_STEP_PER_PRIORITY = 100
# Largest values that the columns accept. The wait in the queue is bounded by time.
MAXIMUM_QUEUE_LENGTH = 10_000
MAXIMUM_ATTEMPTS = 11
# Retries of one request over its whole call chain.
CHAIN_RETRIES = 10
DEFAULT_BODY_LIMIT_BYTES = 64 * 1024 * 1024
_VERSION = re.compile(r"[0-9a-fA-F]{8}")


@dataclass(frozen=True)
class Configuration:
    """A parsed configuration.

    The cells of the default row are checked against their columns only when a command
    replaces the table.

    :param version: version number
    :param base_version: version that it replaces, 0 for none
    :param rows: cells of each table row, the default row first
    :param source: the text as received
    :param digest: hash of the content, independent of field order
    """

    version: int
    base_version: int
    rows: tuple[dict[str, object], ...]
    source: str
    digest: EditKey

    @classmethod
    def decode(cls, data: bytes) -> Configuration:
        """Parse and validate a configuration, except for the bounds of the default row.

        :param data: JSON
        :return: the configuration
        :raises InvalidInputError: if it is not valid
        """
        document = _parse_json(data)
        raw_resources = document.get("resources")
        if not isinstance(raw_resources, list):
            raise _invalid_configuration("resources: expected a list")
        resources = [_Resource.decode(value) for value in raw_resources]
        services = {
            resource.name for resource in resources if resource.kind == SERVICES
        }
        limits = next((r.spec for r in resources if r.kind == LIMITS), {})
        body_limit = _parse_count(
            limits.get("max_body_bytes", DEFAULT_BODY_LIMIT_BYTES), "max_body_bytes"
        )
        rows = [_default_row(limits, body_limit)]
        rows += [
            _route_row(resource, services, body_limit)
            for resource in resources
            if resource.kind == ROUTES
        ]
        _check_duplicates(rows)
        return cls(
            _parse_version(document.get("version"), "version"),
            _parse_version(document.get("base_version"), "base_version"),
            tuple(rows),
            data.decode("utf-8"),
            _digest(document),
        )


@dataclass(frozen=True)
class _Resource:
    """One resource of the document."""

    kind: str
    name: str
    spec: dict[str, Any]

    @classmethod
    def decode(cls, value: object) -> _Resource:
        if not isinstance(value, dict):
            raise _invalid_configuration("resources: each must be an object")
        kind, spec = value.get("resource_type"), value.get("spec")
        metadata = value.get("metadata")
        if not isinstance(kind, str) or not isinstance(spec, dict):
            raise _invalid_configuration(
                "resources: each needs a resource_type (text) and a spec (object)"
            )
        if not isinstance(metadata, dict):
            raise _invalid_configuration("resources: each needs metadata (object)")
        name = metadata.get("name", "")
        if not isinstance(name, str) or (not name and kind in (ROUTES, SERVICES)):
            raise _invalid_configuration(f"{kind}: expected a name")
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


def _route_row(
    resource: _Resource, services: set[str], body_limit: int
) -> dict[str, object]:
    spec, name = resource.spec, resource.name
    route_type = spec.get("route_type")
    if not isinstance(route_type, str) or route_type not in ROUTE_TYPES:
        raise _invalid_configuration(
            f"{name}: route_type: expected safe, unsafe or upload"
        )
    prefix = spec.get("path_prefix")
    if not isinstance(prefix, str) or not prefix.startswith("/"):
        raise _invalid_configuration(f"{name}: path_prefix must begin with a slash")
    timeout_ms = parse_duration_ms(spec.get("timeout"), f"{name}.timeout")
    objective_ms = parse_duration_ms(
        spec.get("target_latency"), f"{name}.target_latency"
    )
    if objective_ms >= timeout_ms + OBJECTIVE_EXCESS_LIMIT_MS:
        raise _invalid_configuration(
            f"{name}: target_latency must be less than 60 s above timeout"
        )
    attempts = _parse_count(spec.get("max_attempts"), f"{name}.max_attempts")
    priority = _parse_count(spec.get("priority"), f"{name}.priority")
    cells: dict[str, object] = {
        "name": name,
        "host": spec.get("host"),
        "path_prefix": prefix,
        "targets": _targets(resource, services),
        "repeatable": route_type == REPEATABLE_ROUTE_TYPE,
        "claimed": False,
        "weight": max(WEIGHT_OF_PRIORITY_0 - WEIGHT_STEP_PER_PRIORITY * priority, 1),
        "deadline_ms": int(timeout_ms),
        "objective_ms": int(objective_ms),
        "size_class": "short",
        "retries": CHAIN_RETRIES,
        "attempts": min(max(attempts, 1), MAXIMUM_ATTEMPTS),
        "queue_length": MAXIMUM_QUEUE_LENGTH,
        "queue_wait_ms": int(timeout_ms),
        "body_limit_bytes": body_limit,
    }
    row = Row.from_cells(cells)
    # Compared with those of other routes, also where they are the defaults.
    address = {"host": row.host, "path_prefix": row.path_prefix}
    return {**row.to_stated_cells(), **address}


def _targets(resource: _Resource, services: set[str]) -> str:
    spec, name = resource.spec, resource.name
    parts = spec.get("weighted_services")
    if parts is None:
        parts = [{"service": spec.get("service"), "weight": 1}]
    if not isinstance(parts, list) or not parts:
        raise _invalid_configuration(f"{name}: expected a service or weighted_services")
    targets = []
    for part in parts:
        service = part.get("service") if isinstance(part, dict) else None
        if not isinstance(service, str) or service not in services:
            raise _invalid_configuration(f"{name}: unknown service {service!r}")
        weight = _parse_count(part.get("weight"), f"{name}.weight")
        targets.append((service, weight))
    if not sum(weight for _, weight in targets):
        raise _invalid_configuration(f"{name}: the weights sum to 0")
    return ",".join(f"{service}:{weight}" for service, weight in targets)


def _check_duplicates(rows: list[dict[str, object]]) -> None:
    seen = set()
    names = set()
    for row in rows:
        if row["name"] in names:
            raise _invalid_configuration(f"{row['name']}: duplicate name")
        names.add(row["name"])
        host_and_prefix = (row.get("host"), row.get("path_prefix"))
        if host_and_prefix in seen:
            raise _invalid_configuration(
                f"{row['name']}: another route has the same host and path_prefix"
            )
        seen.add(host_and_prefix)


def _parse_json(data: bytes) -> dict[str, Any]:
    try:
        document = orjson.loads(data)
    except ValueError as error:
        raise _invalid_configuration(f"invalid JSON: {error}") from error
    if not isinstance(document, dict):
        raise _invalid_configuration("expected an object")
    return document


def _parse_version(value: object, name: str) -> int:
    if not isinstance(value, str) or not _VERSION.fullmatch(value):
        raise _invalid_configuration(f"{name}: expected eight hexadecimal digits")
    return int(value, 16)


def _parse_count(value: object, name: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise _invalid_configuration(
            f"{name}: expected a whole number that is not negative"
        )
    return value


def _digest(document: dict[str, Any]) -> EditKey:
    try:
        data = orjson.dumps(document, option=orjson.OPT_SORT_KEYS)
    except TypeError as error:
        # The encoder accepts fewer levels of nesting than the decoder.
        raise _invalid_configuration(f"cannot be read in full: {error}") from error
    return EditKey(hashlib.sha256(data).hexdigest())


def _invalid_configuration(text: str) -> InvalidInputError:
    return InvalidInputError(text, step="read configuration", peer="operator")
