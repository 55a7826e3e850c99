"""In-memory log on top of a snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.errors import MarjoramstepError

from .entry import Entry
from .entry import EntryKind
from .entry import Snapshot
from .membership import Membership


if TYPE_CHECKING:
    from collections.abc import Sequence

EMPTY_SNAPSHOT = Snapshot(0, 0, 0, Membership(), b"")


class LogConflictError(MarjoramstepError):
    """Entries conflict with a committed entry or leave a gap in the log."""


class ReplicaLog:
    """The latest snapshot, the entries after it and some before it, and memberships.

    :param snapshot: state before the first entry
    :param entries: entries in order, starting directly after the snapshot
    """

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        self.snapshot = snapshot
        # Index and term of the entry before the first one in memory.
        self._base_index = snapshot.last_index
        self._base_term = snapshot.last_term
        self._entries: list[Entry] = []
        self._memberships = [(snapshot.last_index, snapshot.membership)]
        self.append(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def last_time_ms(self) -> int:
        """Return the log time of the last entry in Unix milliseconds."""
        return self._entries[-1].time_ms if self._entries else self.snapshot.time_ms

    @property
    def membership(self) -> Membership:
        """Return the latest membership in the log, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Return the index of the entry that contains the latest membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> Membership:
        """Return the membership in effect after an entry.

        :param index: index of the entry; not lower than the snapshot's
        :return: the membership
        """
        return [m for at, m in self._memberships if at <= index][-1]

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry.

        :param index: index of the entry; 0 (before the first entry) has term 0 while no
            entry has been dropped
        :return: the term, or None when it is not in memory
        """
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def slice(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return a range of entries.

        :param first: index of the first entry
        :param last: index of the last entry
        :return: the entries that are in memory
        """
        start = max(first - self._base_index - 1, 0)
        return tuple(self._entries[start : max(last - self._base_index, 0)])

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries.

        :param entries: entries in order
        :raises LogConflictError: if they do not directly follow the last one
        """
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise LogConflictError(
                    f"entry {entry.index} does not follow entry {self.last_index}",
                    step="append to log",
                )
            self._entries.append(entry)
            if entry.kind is EntryKind.MEMBERSHIP:
                membership, _ = Membership.from_bytes(entry.payload, "log")
                self._memberships.append((entry.index, membership))

    def truncate_from(self, index: int) -> None:
        """Drop the entries from an index on.

        :param index: first index to drop
        """
        del self._entries[max(index - self._base_index - 1, 0) :]
        while len(self._memberships) > 1 and self._memberships[-1][0] >= index:
            self._memberships.pop()

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the whole log with a snapshot.

        :param snapshot: state that a leader sent
        """
        self.snapshot = snapshot
        self._base_index = snapshot.last_index
        self._base_term = snapshot.last_term
        self._entries = []
        self._memberships = [(snapshot.last_index, snapshot.membership)]

    def compact(self, snapshot: Snapshot, kept_entries: int) -> None:
        """Use a new snapshot of this replica's state and drop entries that it covers.

        :param snapshot: state at an applied index
        :param kept_entries: number of entries kept in memory for followers that are
            slightly behind
        """
        new_base = max(snapshot.last_index - kept_entries, self._base_index)
        term = self.term_at(new_base)
        if term is not None:
            del self._entries[: new_base - self._base_index]
            self._base_index, self._base_term = new_base, term
        index = snapshot.last_index
        later = [pair for pair in self._memberships if pair[0] > index]
        self._memberships = [(index, snapshot.membership), *later]
        self.snapshot = snapshot

    def conflict_hint(self, index: int) -> int:
        """Return the index that the leader should try next after a mismatch.

        It skips all entries of the conflicting term, so that a mismatch costs one round
        trip per term.

        :param index: index at which the terms differ
        :return: a lower index
        """
        if index > self.last_index:
            return self.last_index
        term = self.term_at(index)
        while index > self._base_index and self.term_at(index) == term:
            index -= 1
        return index
