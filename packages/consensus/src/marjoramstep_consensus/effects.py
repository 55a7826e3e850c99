"""Effects that the replication core returns for its driver to execute, in order."""

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
    """Make state durable, then call ``on_synced(write_number)``.

    At most one is outstanding. Changes made meanwhile are written together by the next
    one (group commit).

    :param write_number: sequence number of this write; starts at 1 when
        the process starts
    :param term: current term
    :param voted_for: candidate that this replica voted for in the term, if any
    :param entries: entries to append; they replace stored entries from the first
        index on
    :param snapshot: snapshot to store before the entries, if any
    :param reset_log: the snapshot replaces the whole log, not only the entries up to it
    :param commit_index: highest index known to be committed
    """

    write_number: int
    term: int
    voted_for: ReplicaId | None
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None = None
    reset_log: bool = False
    commit_index: int = 0


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
    """A proposal was appended to the leader's log.

    It has succeeded when an :class:`Apply` contains an entry with this index and term.
    An entry with this index and another term means that the proposal is lost. If this
    replica stops being the leader before either, the outcome is unknown.
    """

    index: int
    term: int


@dataclass(frozen=True)
class ReadReady:
    """A quorum confirmed the leader after the read was requested.

    The state machine includes everything that was committed at the time of the request.
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
