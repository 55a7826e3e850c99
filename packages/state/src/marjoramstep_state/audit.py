"""Hash-chained audit trail of table edits and replica changes."""

from __future__ import annotations

import hashlib
from collections import deque
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING
from typing import Any

import orjson

from .errors import InvalidSnapshotError
from .fields import Fields


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from .limits import StateLimits

# Start value of the hash chain.
FIRST_PREVIOUS_SHA256 = "0" * 64


@dataclass(frozen=True)
class AuditEntry:
    """An audit entry, linked to the preceding entry by its hash.

    :param sequence: 1 for the first entry, then rising by 1
    :param time_ms: log time in Unix milliseconds
    :param operator: operator who requested the change
    :param origin: address that the request came from
    :param kind: ``edit`` or ``replica``
    :param verdict: verdict of the change
    :param before: JSON value of the affected state before the change
    :param after: JSON value of the state after the change; if it was refused, of the
        refused change and the reason
    :param previous_sha256: hash of the preceding entry in hexadecimal
    :param sha256: hash of all other fields as JSON with sorted keys
    """

    sequence: int
    time_ms: int
    operator: str
    origin: str
    kind: str
    verdict: str
    before: Any
    after: Any
    previous_sha256: str
    sha256: str

    def compute_sha256(self) -> str:
        """Compute the expected hash of the entry.

        :return: SHA-256 in hexadecimal
        """
        fields = {name: v for name, v in vars(self).items() if name != "sha256"}
        data = orjson.dumps(fields, option=orjson.OPT_SORT_KEYS)
        return hashlib.sha256(data).hexdigest()

    def to_json(self) -> dict[str, Any]:
        """Return the fields as JSON values."""
        return dict(vars(self))

    @classmethod
    def from_json(cls, document: Any) -> AuditEntry:
        """Decode an entry; raises :class:`InvalidCommandError`."""
        fields = Fields(document)
        return cls(
            fields.integer("sequence"),
            fields.integer("time_ms"),
            fields.text("operator"),
            fields.text("origin"),
            fields.text("kind"),
            fields.text("verdict"),
            fields.value("before"),
            fields.value("after"),
            fields.text("previous_sha256"),
            fields.text("sha256"),
        )


@dataclass(frozen=True)
class AuditInconsistency:
    """The first inconsistency found in a trail.

    :param sequence: sequence number of the faulty entry
    :param problem: description of the inconsistency
    """

    sequence: int
    problem: str


@dataclass(frozen=True)
class AuditFilter:
    """Selects entries by field; ``None`` matches any value.

    :param operator: name of the operator
    :param kind: kind of the change
    :param verdict: verdict of the change
    :param since_ms: earliest log time in Unix milliseconds
    :param until_ms: latest log time in Unix milliseconds
    """

    operator: str | None = None
    kind: str | None = None
    verdict: str | None = None
    since_ms: int | None = None
    until_ms: int | None = None

    def matches(self, entry: AuditEntry) -> bool:
        """Return whether an entry matches the filter.

        :param entry: the entry
        """
        return (
            self.operator in (None, entry.operator)
            and self.kind in (None, entry.kind)
            and self.verdict in (None, entry.verdict)
            and (self.since_ms is None or entry.time_ms >= self.since_ms)
            and (self.until_ms is None or entry.time_ms <= self.until_ms)
        )


def filter_entries(
    entries: Iterable[AuditEntry], audit_filter: AuditFilter
) -> Iterator[AuditEntry]:
    """Return the entries that match a filter.

    :param entries: entries in any order
    :param audit_filter: the filter
    :return: the matching entries, in the same order
    """
    return filter(audit_filter.matches, entries)


def verify_entries(
    entries: Iterable[AuditEntry], previous_sha256: str | None = None
) -> AuditInconsistency | None:
    """Verify the hashes, the hash chain and the sequence numbers of entries.

    :param entries: entries in ascending order, without gaps
    :param previous_sha256: hash of the entry that precedes the first one, if known
    :return: the first inconsistency, ``None`` if there is none
    """
    previous_sequence: int | None = None
    for entry in entries:
        if entry.sequence == 1:
            previous_sha256 = previous_sha256 or FIRST_PREVIOUS_SHA256
        if previous_sequence is not None and entry.sequence != previous_sequence + 1:
            problem = f"expected sequence {previous_sequence + 1}"
            return AuditInconsistency(entry.sequence, problem)
        if previous_sha256 not in (None, entry.previous_sha256):
            return AuditInconsistency(entry.sequence, "not linked to the entry before")
        if entry.compute_sha256() != entry.sha256:
            return AuditInconsistency(entry.sequence, "content does not match its hash")
        previous_sequence = entry.sequence
        previous_sha256 = entry.sha256
    return None


class AuditTrail:
    """The most recent entries and the hash of the last dropped one.

    :param limits: limits of the state
    """

    def __init__(self, limits: StateLimits) -> None:
        self._limits = limits
        self._entries: deque[AuditEntry] = deque()
        self._entry_sizes: deque[int] = deque()
        self._size_bytes = 0
        self._dropped_sequence = 0
        self._dropped_sha256 = FIRST_PREVIOUS_SHA256

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def dropped_sha256(self) -> str:
        """Hash of the last dropped entry, which the first retained one links to."""
        return self._dropped_sha256

    @property
    def dropped_sequence(self) -> int:
        """Sequence number of the last dropped entry, 0 if there is none."""
        return self._dropped_sequence

    def append(
        self,
        *,
        time_ms: int,
        operator: str,
        origin: str,
        kind: str,
        verdict: str,
        before: Any,
        after: Any,
    ) -> AuditEntry:
        """Append an entry and drop the oldest ones beyond the limits.

        :param time_ms: log time in Unix milliseconds
        :param operator: operator who requested the change
        :param origin: address that the request came from
        :param kind: kind of the change
        :param verdict: verdict of the change
        :param before: JSON value of the affected state before the change
        :param after: JSON value of the affected state after the change; if it was
            refused, of the refused change and the reason
        :return: the entry
        """
        last = self._entries[-1] if self._entries else None
        sequence = (last.sequence if last else self._dropped_sequence) + 1
        previous_sha256 = last.sha256 if last else self._dropped_sha256
        fields = (sequence, time_ms, operator, origin, kind, verdict, before, after)
        without_hash = AuditEntry(*fields, previous_sha256, "")
        entry = AuditEntry(*fields, previous_sha256, without_hash.compute_sha256())
        self._append(entry)
        while len(self._entries) > 1 and (
            len(self._entries) > self._limits.audit_entries
            or self._size_bytes > self._limits.audit_bytes
        ):
            dropped = self._entries.popleft()
            self._size_bytes -= self._entry_sizes.popleft()
            self._dropped_sequence = dropped.sequence
            self._dropped_sha256 = dropped.sha256
        return entry

    def entries(
        self, after: int, limit: int, audit_filter: AuditFilter | None = None
    ) -> list[AuditEntry]:
        """Return entries in order.

        :param after: return only entries with a higher sequence number
        :param limit: maximum number of entries
        :param audit_filter: selects the entries; all by default
        :return: the entries
        """
        first = max(0, after - self._dropped_sequence)
        newer = islice(self._entries, first, None)
        selected = filter_entries(newer, audit_filter or AuditFilter())
        return list(islice(selected, limit))

    def verify(self) -> AuditInconsistency | None:
        """Verify the retained entries, starting from the last dropped entry's hash.

        :return: the first inconsistency, ``None`` if there is none
        """
        return verify_entries(self._entries, self._dropped_sha256)

    def _append(self, entry: AuditEntry) -> None:
        size_bytes = len(orjson.dumps(entry.to_json()))
        self._entries.append(entry)
        self._entry_sizes.append(size_bytes)
        self._size_bytes += size_bytes

    def snapshot_parts(self) -> tuple[dict[str, Any], tuple[AuditEntry, ...]]:
        """Return the contents for a snapshot.

        :return: all fields but the entries as JSON values, and the entries
        """
        head = {
            "dropped_sequence": self._dropped_sequence,
            "dropped_sha256": self._dropped_sha256,
        }
        return head, tuple(self._entries)

    @classmethod
    def from_json(cls, document: Any, limits: StateLimits) -> AuditTrail:
        """Decode a trail from JSON values.

        :param document: the fields and entries of :meth:`snapshot_parts`
        :param limits: limits of the state
        :return: the trail
        :raises InvalidSnapshotError: if the trail is inconsistent
        :raises InvalidCommandError: if a field is not valid
        """
        fields = Fields(document)
        trail = cls(limits)
        trail._dropped_sequence = fields.integer("dropped_sequence")
        trail._dropped_sha256 = fields.text("dropped_sha256")
        for entry in map(AuditEntry.from_json, fields.list_field("entries")):
            trail._append(entry)
        fault = trail.verify()
        if fault is not None:
            raise InvalidSnapshotError(f"audit entry {fault.sequence}: {fault.problem}")
        return trail
