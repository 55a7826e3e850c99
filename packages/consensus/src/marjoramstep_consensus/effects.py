"""Effects that the replication core asks its driver to carry out, in order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from marjoramstep_core.ids import ReplicaId
    from marjoramstep_wire.messages import Message

    from .entry import Entry
    from .entry import Snapshot


class Role(Enum):
    """Role of a replica in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class Send:
    """Send a message to a replica; it may be lost, delayed or duplicated."""

    receiver: ReplicaId
    message: Message


@dataclass(frozen=True)
class Persist:
    """Make state durable, then call ``on_synced(index)``.

    At most one is outstanding. Everything that arrives meanwhile goes into the next
    one (group commit).

    :param index: number of this write, from 1 in each life of the process
    :param term: current term
    :param voted_for: who has this replica's vote in the term, if anyone
    :param entries: entries to append; they replace stored ones from the first index on
    :param snapshot: snapshot to store before the entries, if any
    :param reset_log: the snapshot replaces the whole log, not only its start
    """

    index: int
    term: int
    voted_for: ReplicaId | None
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None = None
    reset_log: bool = False


@dataclass(frozen=True)
class Apply:
    """Apply committed entries, in order, to the state machine."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class InstallSnapshot:
    """Replace the state of the state machine."""

    snapshot: Snapshot


@dataclass(frozen=True)
class Proposed:
    """A proposal has a place in the leader's log.

    It is done when an :class:`Apply` holds this index with this term. Another term at
    this index means that the proposal is lost. When this replica ceases to lead first,
    the outcome is unknown.
    """

    index: int
    term: int


@dataclass(frozen=True)
class ReadReady:
    """A quorum confirmed the leader after the read was asked for.

    The state machine holds everything that was committed at that time.
    """

    read_id: int


@dataclass(frozen=True)
class ReadFailed:
    """Leadership ended before the read was confirmed."""

    read_id: int


@dataclass(frozen=True)
class RoleChanged:
    """Role, term or known leader changed."""

    role: Role
    term: int
    leader_id: ReplicaId | None


Effect = (
    Send
    | Persist
    | Apply
    | InstallSnapshot
    | Proposed
    | ReadReady
    | ReadFailed
    | RoleChanged
)
