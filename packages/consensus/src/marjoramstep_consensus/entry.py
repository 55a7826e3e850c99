"""Log entries, their wire encoding, and snapshots."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from marjoramstep_core.errors import ProtocolError
from marjoramstep_wire.messages import LogEntry


if TYPE_CHECKING:
    from .membership import Membership

# The wire message has no field for the log time, so the payload starts with it.
_TIME = struct.Struct("!q")


class EntryKind(Enum):
    """What an entry holds."""

    NORMAL = "normal"
    MEMBERSHIP = "membership"
    NOOP = "noop"


@dataclass(frozen=True)
class Entry:
    """One entry of the replicated log.

    :param index: position in the log, from 1
    :param term: term of the leader that appended the entry
    :param kind: what the payload holds
    :param time_ms: log time: the leader's wall-clock time in Unix milliseconds when it
        appended the entry, but never lower than the previous entry's
    :param payload: opaque bytes, or an encoded membership
    """

    index: int
    term: int
    kind: EntryKind
    time_ms: int
    payload: bytes

    def to_wire(self) -> LogEntry:
        """Encode the entry for an ``AppendRequest``.

        :return: the thrift struct
        """
        return LogEntry(
            index=self.index,
            term=self.term,
            kind=self.kind.value,
            payload=_TIME.pack(self.time_ms) + self.payload,
        )

    @classmethod
    def from_wire(cls, wire: LogEntry, peer: str) -> Entry:
        """Decode an entry of an ``AppendRequest``.

        :param wire: the thrift struct
        :param peer: sender, for the error message
        :return: the entry
        :raises ProtocolError: if the kind is unknown or the log time is missing
        """
        try:
            kind = EntryKind(wire.kind)
            (time_ms,) = _TIME.unpack_from(wire.payload)
        except (ValueError, struct.error) as error:
            raise ProtocolError(
                f"log entry {wire.index} is not valid: {error}",
                step="decode log entry",
                peer=peer,
            ) from error
        return cls(wire.index, wire.term, kind, time_ms, wire.payload[_TIME.size :])


@dataclass(frozen=True)
class Snapshot:
    """State of the replicated state machine after an entry.

    :param last_index: index of the last entry that the state includes
    :param last_term: term of that entry
    :param time_ms: log time of that entry in Unix milliseconds
    :param membership: membership in effect at that entry
    :param data: encoded state of the state machine
    """

    last_index: int
    last_term: int
    time_ms: int
    membership: Membership
    data: bytes
