"""Settings of the daemon, read from a JSON file and validated."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.states import Role

from .disabled_decisions import DECISION_NAMES
from .settings_reader import SettingsReader


if TYPE_CHECKING:
    from marjoramstep_core.addresses import Address


DEFAULT_SHUTDOWN_LIMIT_MS = 600_000
# Time between the shutdown limit and the end of the termination grace, in which the
# remaining requests get a final answer and the sockets are closed.
TERMINATION_MARGIN_MS = 800
DEFAULT_ANNOUNCE_TIMEOUT_MS = 3_000
DEFAULT_TOLERATED_LOSSES = 2
# A majority must remain of the largest number of replicas.
MAXIMUM_LOSSES = 12
MINIMUM_KEY_BYTES = 16
DEFAULT_API_BODY_TIMEOUT_MS = 30_000
NATIVE_ADAPTER = "native"
_SHA256 = re.compile(r"[0-9a-f]{64}")


@dataclass(frozen=True)
class OperatorSettings:
    """An operator and the hash of their token."""

    name: str
    token_sha256: str


@dataclass(frozen=True)
class ReplicaSettings:
    """An initial replica of a new deployment."""

    replica_id: str
    address: Address


@dataclass(frozen=True)
class NodeSettings:
    """Settings of the role ``node``.

    :param caller_address: listens for callers
    :param announce_address: takes the announcements of the local backend server
    :param metrics_address: serves the metrics and the state of the node
    :param ready_address: serves the readiness check of an adapter that has one
    :param backend_service: service of the local backend server until its first
        announcement; read by the platform adapter only
    :param announce_timeout_ms: time without an announcement after which the backend
        server is considered gone
    :param shutdown_linger_ms: time for which a node that shuts down still accepts work
    :param disabled_decisions: decisions that are disabled for comparison
    """

    caller_address: Address
    announce_address: Address
    metrics_address: Address
    ready_address: Address | None
    backend_service: str
    announce_timeout_ms: int
    shutdown_linger_ms: int
    disabled_decisions: frozenset[str]


@dataclass(frozen=True)
class ControlSettings:
    """Settings of the role ``control``.

    :param adapter_address: serves the operator application of an adapter that has one
    :param initial_replicas: voters of a new deployment, for ``--initialize`` only
    :param starts_deployment: whether an empty data folder is prepared for the first
        start of a deployment, with the control addresses as its voters
    :param manages_replicas: whether the replica admits and removes replicas while it
        leads
    :param tolerated_losses: number of replicas that may be lost at the same time
    """

    data_folder: Path
    operator_address: Address
    adapter_address: Address | None
    metrics_address: Address | None
    operators: tuple[OperatorSettings, ...]
    initial_replicas: tuple[ReplicaSettings, ...]
    starts_deployment: bool
    manages_replicas: bool
    tolerated_losses: int


@dataclass(frozen=True)
class Settings:
    """All settings of a process; an address is an IP address and a port.

    :param api_body_timeout_ms: longest time for the body of a request to an interface
        for operators, metrics or announcements
    :param shutdown_limit_ms: time after SIGTERM at which requests that still run get a
        final answer and the process ends
    """

    roles: frozenset[Role]
    process_id: str
    zone: str
    peer_address: Address
    deployment_key: bytes
    control_addresses: tuple[Address, ...]
    log_file: str
    adapter: str
    api_body_timeout_ms: int
    shutdown_limit_ms: int
    node: NodeSettings | None
    control: ControlSettings | None


class InvalidSettingsError(InvalidInputError):
    """The settings are not valid.

    :param faults: description of each fault, one line each
    :param path: the settings file
    """

    def __init__(self, faults: list[str], path: str) -> None:
        super().__init__("; ".join(faults), step="read settings", peer=path)
        self.faults = faults


def read_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    :param path: the JSON file
    :return: valid settings
    :raises InvalidSettingsError: lists each fault with its path in the file
    """
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise InvalidSettingsError([f"cannot read: {error}"], str(path)) from error
    except ValueError as error:
        raise InvalidSettingsError([f"not valid JSON: {error}"], str(path)) from error
    if not isinstance(document, dict):
        raise InvalidSettingsError(["expected a JSON object"], str(path))
    faults: list[str] = []
    settings = _read_process(SettingsReader(document, "", faults))
    if faults:
        raise InvalidSettingsError(faults, str(path))
    return settings


def _read_process(reader: SettingsReader) -> Settings:
    roles = _read_roles(reader)
    node = reader.read("node", None)
    control = reader.read("control", None)
    settings = Settings(
        roles=roles,
        process_id=reader.name("process_id"),
        zone=reader.name("zone"),
        peer_address=reader.address("peer_address"),
        deployment_key=_read_key(reader),
        control_addresses=_read_control_addresses(reader),
        log_file=reader.string("log_file", "-"),
        adapter=reader.string("adapter", NATIVE_ADAPTER),
        api_body_timeout_ms=reader.integer(
            "api_body_timeout_ms", 10, 3_600_000, DEFAULT_API_BODY_TIMEOUT_MS
        ),
        shutdown_limit_ms=_read_shutdown_limit_ms(reader),
        node=_read_node(reader.section("node", node)) if Role.NODE in roles else None,
        control=_read_control(reader.section("control", control))
        if Role.CONTROL in roles
        else None,
    )
    reader.reject_unknown_keys()
    return settings


def _read_shutdown_limit_ms(reader: SettingsReader) -> int:
    """Read the shutdown limit, which ends before the ``termination_grace`` does."""
    limit_ms = reader.integer(
        "shutdown_limit_ms", 0, 24 * 3_600_000, DEFAULT_SHUTDOWN_LIMIT_MS
    )
    grace_ms = reader.optional_duration_ms("termination_grace")
    if grace_ms is None:
        return limit_ms
    return min(limit_ms, max(int(grace_ms) - TERMINATION_MARGIN_MS, 0))


def _read_control_addresses(reader: SettingsReader) -> tuple[Address, ...]:
    """Read the control addresses; a ``control_peer_port`` replaces all their ports."""
    addresses = reader.addresses("control_addresses")
    port = reader.integer("control_peer_port", 0, 65_535, 0)
    if not port:
        return addresses
    return tuple((host, port) for host, _ in addresses)


def _read_roles(reader: SettingsReader) -> frozenset[Role]:
    names = [role.value for role in Role]
    values = reader.items("role")
    if not values or any(value not in names for value in values):
        reader.add_fault("role", values, f"a non-empty list of {', '.join(names)}")
        return frozenset()
    return frozenset(map(Role, values))


def _read_key(reader: SettingsReader) -> bytes:
    path = reader.string("deployment_key_file")
    if not path:
        return b""
    try:
        key = Path(path).read_bytes().strip()
    except OSError as error:
        reader.add_fault("deployment_key_file", path, f"a readable file ({error})")
        return b""
    if len(key) < MINIMUM_KEY_BYTES:
        reader.add_fault(
            "deployment_key_file",
            path,
            f"a file with a key of at least {MINIMUM_KEY_BYTES} bytes",
        )
    return key


def _read_node(reader: SettingsReader) -> NodeSettings:
    disabled = reader.items("disabled_decisions")
    if any(name not in DECISION_NAMES for name in disabled):
        reader.add_fault(
            "disabled_decisions", disabled, f"a list of {', '.join(DECISION_NAMES)}"
        )
        disabled = []
    settings = NodeSettings(
        caller_address=reader.address("caller_address"),
        announce_address=reader.address("announce_address"),
        metrics_address=reader.address("metrics_address"),
        ready_address=reader.optional_address("ready_address"),
        backend_service=reader.optional_string("backend_service"),
        announce_timeout_ms=reader.integer(
            "announce_timeout_ms", 100, 3_600_000, DEFAULT_ANNOUNCE_TIMEOUT_MS
        ),
        shutdown_linger_ms=reader.integer("shutdown_linger_ms", 0, 3_600_000, 0),
        disabled_decisions=frozenset(disabled),
    )
    reader.reject_unknown_keys()
    return settings


def _read_control(reader: SettingsReader) -> ControlSettings:
    settings = ControlSettings(
        data_folder=Path(reader.string("data_folder")),
        operator_address=reader.address("operator_address"),
        adapter_address=reader.optional_address("adapter_address"),
        metrics_address=reader.optional_address("metrics_address"),
        operators=tuple(
            _read_operator(reader.section(f"operators[{i}]", value))
            for i, value in enumerate(reader.items("operators"))
        ),
        initial_replicas=tuple(
            _read_replica(reader.section(f"initial_replicas[{i}]", value))
            for i, value in enumerate(reader.items("initial_replicas"))
        ),
        starts_deployment=reader.flag("starts_deployment"),
        manages_replicas=reader.flag("manages_replicas"),
        tolerated_losses=reader.integer(
            "tolerated_losses", 0, MAXIMUM_LOSSES, DEFAULT_TOLERATED_LOSSES
        ),
    )
    reader.reject_unknown_keys()
    return settings


def _read_operator(reader: SettingsReader) -> OperatorSettings:
    name = reader.name("name")
    token = reader.read("token_sha256")
    if not isinstance(token, str) or not _SHA256.fullmatch(token):
        reader.add_fault("token_sha256", token, "64 lower-case hexadecimal digits")
        token = ""
    reader.reject_unknown_keys()
    return OperatorSettings(name, token)


def _read_replica(reader: SettingsReader) -> ReplicaSettings:
    replica = ReplicaSettings(reader.name("replica_id"), reader.address("address"))
    reader.reject_unknown_keys()
    return replica
