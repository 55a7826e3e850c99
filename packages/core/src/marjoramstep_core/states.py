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
    """Why a request was refused or failed; two values mark an answer instead."""

    # Not admitted in time, rejected by the backend server or its circuit breaker, or
    # beyond the limit of streams on a connection.
    OVERLOAD = "overload"
    # Displaced from the admission queue by a request of higher weight.
    EVICTED = "evicted"
    QUEUE_FULL = "queue-full"
    # The deadline has passed, or the time left is not enough to run the request.
    DEADLINE = "deadline"
    # Refused before it runs, since a service down the call chain sheds such requests.
    BACKPRESSURE = "backpressure"
    # The backend server accepts no new requests.
    DRAINING = "draining"
    # The node accepts no new requests.
    SHUTTING_DOWN = "shutting-down"
    NO_SERVER = "no-server"
    NO_TABLE = "no-table"
    NO_ROUTE = "no-route"
    NO_CLAIM_QUORUM = "no-claim-quorum"
    BAD_REQUEST = "bad-request"
    # The body did not arrive in time.
    BODY_TIMEOUT = "body-timeout"
    # The request key is missing, malformed or issued in the future.
    BAD_KEY = "bad-key"
    # The request key is older than the lifetime of keys.
    KEY_EXPIRED = "key-expired"
    # The request key was closed: no request ran or will run under it.
    KEY_CLOSED = "key-closed"
    # The request key was used for other content.
    KEY_REUSED = "key-reused"
    # Another attempt has claimed the request key.
    RUNNING = "running"
    # Not set by any node.
    CLAIM_WITHOUT_END = "claim-without-end"
    RETRIES_EXHAUSTED = "retries-exhausted"
    QUARANTINED = "quarantined"
    PARENT_ENDED = "parent-ended"
    CANCELLED = "cancelled"
    BODY_TOO_LARGE = "body-too-large"
    CONNECTION_LOST = "connection-lost"
    SERVER_CRASHED = "server-crashed"
    BAD_ANSWER = "bad-answer"
    # Marks the answer to a repeated request whose first answer was too long to store.
    ANSWER_NOT_STORED = "answer-not-stored"
    # Marks an error answer of a server whose sub-call was refused or timed out.
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
    """Class of a request by its duration, not by the size of its body."""

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
