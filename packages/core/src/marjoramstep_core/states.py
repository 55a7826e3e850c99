"""Enumerations shared by several packages."""

from __future__ import annotations

from enum import Enum
from enum import unique


@unique
class Outcome(Enum):
    """Outcome of a request as reported to its caller."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@unique
class Reason(Enum):
    """Why a request has an outcome other than ``DONE``."""

    OVERLOAD = "overload"
    EVICTED = "evicted"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    BACKPRESSURE = "backpressure"
    DRAINING = "draining"
    SHUTTING_DOWN = "shutting-down"
    NO_SERVER = "no-server"
    NO_TABLE = "no-table"
    NO_ROUTE = "no-route"
    NO_CLAIM_QUORUM = "no-claim-quorum"
    BAD_REQUEST = "bad-request"
    BAD_KEY = "bad-key"
    KEY_EXPIRED = "key-expired"
    KEY_CLOSED = "key-closed"
    KEY_REUSED = "key-reused"
    RUNNING = "running"
    CLAIM_WITHOUT_END = "claim-without-end"
    RETRIES_EXHAUSTED = "retries-exhausted"
    QUARANTINED = "quarantined"
    PARENT_ENDED = "parent-ended"
    CANCELLED = "cancelled"
    BODY_TOO_LARGE = "body-too-large"
    CONNECTION_LOST = "connection-lost"
    SERVER_CRASHED = "server-crashed"
    BAD_ANSWER = "bad-answer"
    ANSWER_NOT_STORED = "answer-not-stored"
    SHED_BELOW = "shed-below"
    INTERNAL = "internal"


@unique
class ServerState(Enum):
    """State of a backend server as it announces it."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@unique
class SizeClass(Enum):
    """Duration class of a request."""

    SHORT = "short"
    LONG = "long"


@unique
class Role(Enum):
    """Role of a process in the deployment."""

    NODE = "node"
    CONTROL = "control"


@unique
class ConnectionClass(Enum):
    """Class of a connection between two nodes."""

    INTERACTIVE = "interactive"
    BULK = "bulk"
    CONTROL = "control"
