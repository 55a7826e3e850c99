"""Audit trail of edits and of changes of the replicas."""

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

# Hash that stands before the first entry.
FIRST_PREVIOUS_SHA256 = "0" * 64


@dataclass(frozen=True)
class AuditEntry:
    """One entry, bound to the one before by a hash.

    :param sequence: 1 for the first entry, then rising by 1
    :param time_ms: log time in Unix milliseconds
    :param operator: who asked for the change
    :param origin: address from where
    :param kind: ``edit`` or ``replica``
    :param verdict: verdict of the change
    :param before: JSON value of what was concerned before
    :param after: JSON value of the same afterwards, or of what was refused and why
    :param previous_sha256: hash of the entry before, in hexadecimal
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

    def computed_sha256(self) -> str:
        """Return the hash that the entry must have.

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
        """Build an entry; raises :class:`InvalidCommandError`."""
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
class AuditFault:
    """The first place at which a trail does not hold together.

    :param sequence: sequence number of the faulty entry
    :param problem: what does not agree
    """

    sequence: int
    problem: str


@dataclass(frozen=True)
class AuditFilter:
    """Selects entries; a field that is ``None`` selects all.

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
        """Return whether an entry is selected.

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
    """Select entries.

    :param entries: entries in any order
    :param audit_filter: what to select
    :return: the selected ones in the same order
    """
    return filter(audit_filter.matches, entries)


def verify_entries(
    entries: Iterable[AuditEntry], previous_sha256: str | None = None
) -> AuditFault | None:
    """Check the hashes, the links and the sequence numbers of entries.

    :param entries: entries in the order of the trail, without gaps
    :param previous_sha256: known hash of the entry before the first one, if any
    :return: the first fault, ``None`` if there is none
    """
    previous_sequence: int | None = None
    for entry in entries:
        if entry.sequence == 1:
            previous_sha256 = previous_sha256 or FIRST_PREVIOUS_SHA256
        if previous_sequence is not None and entry.sequence != previous_sequence + 1:
            problem = f"expected sequence {previous_sequence + 1}"
            return AuditFault(entry.sequence, problem)
        if previous_sha256 not in (None, entry.previous_sha256):
            return AuditFault(entry.sequence, "not linked to the entry before")
        if entry.computed_sha256() != entry.sha256:
            return AuditFault(entry.sequence, "content does not match its hash")
        previous_sequence = entry.sequence
        previous_sha256 = entry.sha256
    return None


class AuditTrail:
    """The newest entries, and the hash of the last one that was dropped.

    :param limits: bounds of the state
    """

    def __init__(self, limits: StateLimits) -> None:
        self._limits = limits
        self._entries: deque[AuditEntry] = deque()
        self._sizes: deque[int] = deque()
        self._bytes = 0
        self._dropped_sequence = 0
        self._dropped_sha256 = FIRST_PREVIOUS_SHA256

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def dropped_sha256(self) -> str:
        """Hash of the last dropped entry; the first kept entry is linked to it."""
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
        """Add an entry and drop the oldest ones beyond the bounds.

        :param time_ms: log time in Unix milliseconds
        :param operator: who asked for the change
        :param origin: address from where
        :param kind: kind of the change
        :param verdict: verdict of the change
        :param before: JSON value of what was concerned before
        :param after: JSON value of the same afterwards
        :return: the entry
        """
        last = self._entries[-1] if self._entries else None
        sequence = (last.sequence if last else self._dropped_sequence) + 1
        previous_sha256 = last.sha256 if last else self._dropped_sha256
        fields = (sequence, time_ms, operator, origin, kind, verdict, before, after)
        unsigned = AuditEntry(*fields, previous_sha256, "")
        entry = AuditEntry(*fields, previous_sha256, unsigned.computed_sha256())
        self._add(entry)
        while len(self._entries) > 1 and (
            len(self._entries) > self._limits.audit_entries
            or self._bytes > self._limits.audit_bytes
        ):
            dropped = self._entries.popleft()
            self._bytes -= self._sizes.popleft()
            self._dropped_sequence = dropped.sequence
            self._dropped_sha256 = dropped.sha256
        return entry

    def entries(
        self, after: int, limit: int, audit_filter: AuditFilter | None = None
    ) -> list[AuditEntry]:
        """Return entries in order.

        :param after: only entries with a higher sequence number
        :param limit: largest number of entries
        :param audit_filter: selects entries, all by default
        :return: the entries
        """
        first = max(0, after - self._dropped_sequence)
        newer = islice(self._entries, first, None)
        selected = filter_entries(newer, audit_filter or AuditFilter())
        return list(islice(selected, limit))

    def verify(self) -> AuditFault | None:
        """Check all kept entries against the hash of the last dropped one.

        :return: the first fault, ``None`` if there is none
        """
        return verify_entries(self._entries, self._dropped_sha256)

    def _add(self, entry: AuditEntry) -> None:
        size_bytes = len(orjson.dumps(entry.to_json()))
        self._entries.append(entry)
        self._sizes.append(size_bytes)
        self._bytes += size_bytes

    def parts(self) -> tuple[dict[str, Any], tuple[AuditEntry, ...]]:
        """Return what a snapshot needs.

        :return: the fields but the entries as JSON values, and the entries
        """
        head = {
            "dropped_sequence": self._dropped_sequence,
            "dropped_sha256": self._dropped_sha256,
        }
        return head, tuple(self._entries)

    @classmethod
    def from_json(cls, document: Any, limits: StateLimits) -> AuditTrail:
        """Build a trail from JSON values.

        :param document: as returned by :meth:`to_json`
        :param limits: bounds of the state
        :return: the trail
        :raises InvalidSnapshotError: if the trail does not hold together
        :raises InvalidCommandError: if a field is not valid
        """
        fields = Fields(document)
        trail = cls(limits)
        trail._dropped_sequence = fields.integer("dropped_sequence")
        trail._dropped_sha256 = fields.text("dropped_sha256")
        for entry in map(AuditEntry.from_json, fields.items("entries")):
            trail._add(entry)
        fault = trail.verify()
        if fault is not None:
            raise InvalidSnapshotError(f"audit {fault.sequence}: {fault.problem}")
        return trail
