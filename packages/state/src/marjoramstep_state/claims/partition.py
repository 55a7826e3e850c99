"""A partition of the claims."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_core.ids import RequestKey

from ..commands import AttemptOutcome
from ..errors import InvalidSnapshotError
from ..fields import Fields
from ..results import ClaimResult
from ..results import ClaimVerdict
from .record import ClaimRecord
from .record import ClaimState


if TYPE_CHECKING:
    from ..answer import AnswerRecord
    from ..commands import Claim
    from ..commands import EndClaim
    from ..limits import StateLimits


STATE_VERDICTS = {
    ClaimState.CLAIMED: ClaimVerdict.RUNNING,
    ClaimState.DONE: ClaimVerdict.DONE,
    ClaimState.ABANDONED: ClaimVerdict.ABANDONED,
    ClaimState.CLOSED: ClaimVerdict.CLOSED,
}


class ClaimPartition:
    """Claim records of one partition, independent of other partitions.

    Callers pass only well-formed, unexpired keys; see :class:`ClaimStore`.

    :param limits: limits of the state
    """

    def __init__(self, limits: StateLimits) -> None:
        self._limits = limits
        self._records: dict[RequestKey, ClaimRecord] = {}
        self._issue_heap: list[tuple[int, RequestKey]] = []
        self._answer_sizes: dict[RequestKey, int] = {}
        self._answers_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def answers_bytes(self) -> int:
        """Size of all stored answers in bytes."""
        return self._answers_bytes

    def claim(self, command: Claim, issued_ms: int) -> ClaimResult:
        """Grant a key to an attempt unless it is claimed, done or closed.

        :param command: the claim
        :param issued_ms: when the key was issued, in Unix milliseconds
        :return: ``GRANTED``, also for a resend while the attempt holds the key, or
            the reason for the refusal
        """
        record = self._records.get(command.request_key)
        if record is None:
            if len(self._records) >= self._limits.claims_per_partition:
                return _partition_full()
            # A key without an attempt may be granted, as after an abandoned attempt.
            record = ClaimRecord(issued_ms, ClaimState.ABANDONED)
            self._add(command.request_key, record)
        elif record.fingerprint not in ("", command.fingerprint):
            return ClaimResult(ClaimVerdict.KEY_REUSED, "key used for other content")
        if command.attempt_id in record.abandoned:
            return ClaimResult(ClaimVerdict.ABANDONED, "this attempt was abandoned")
        if record.state is ClaimState.ABANDONED:
            record.state = ClaimState.CLAIMED
            record.attempt_id = command.attempt_id
            record.node_id = command.node_id
            record.row_name = command.row_name
            record.fingerprint = command.fingerprint
            return ClaimResult(ClaimVerdict.GRANTED)
        holds = record.attempt_id == command.attempt_id
        if holds and record.state is ClaimState.CLAIMED:
            return ClaimResult(ClaimVerdict.GRANTED)
        return _state_result(record)

    def end(self, command: EndClaim, issued_ms: int) -> ClaimResult:
        """Record the end of an attempt.

        :param command: the end
        :param issued_ms: when the key was issued, in Unix milliseconds
        :return: ``RECORDED``, also for a resend, and for an abandonment that changes
            nothing because the key is closed or done by another attempt;
            ``NOT_HOLDER`` if the attempt holds no claim, was abandoned, or is done and
            cannot be abandoned; ``UNAVAILABLE`` if an abandonment needs a record and
            the partition is full
        """
        if command.end_state is AttemptOutcome.ABANDONED:
            return self._abandon(command, issued_ms)
        record = self._records.get(command.request_key)
        if record is None or record.attempt_id != command.attempt_id:
            return ClaimResult(ClaimVerdict.NOT_HOLDER, "the attempt holds no claim")
        if record.state is ClaimState.DONE:
            return ClaimResult(ClaimVerdict.RECORDED)
        if record.state is not ClaimState.CLAIMED:
            return ClaimResult(ClaimVerdict.NOT_HOLDER, "the attempt was abandoned")
        record.state = ClaimState.DONE
        if command.answer is not None:
            self._store_answer(command.request_key, record, command.answer)
        return ClaimResult(ClaimVerdict.RECORDED)

    def look_up(self, key: RequestKey) -> ClaimResult:
        """Return the state of a key without changing it.

        :param key: the key
        :return: the state, with the stored answer if the key is done
        """
        record = self._records.get(key)
        return (
            ClaimResult(ClaimVerdict.NONE) if record is None else _state_result(record)
        )

    def close(self, key: RequestKey, issued_ms: int) -> ClaimResult:
        """Close a key that is not claimed, so that no later claim is granted.

        :param key: the key
        :param issued_ms: when the key was issued, in Unix milliseconds
        :return: ``CLOSED`` means that the request did not run and never will
        """
        record = self._records.get(key)
        if record is None:
            if len(self._records) >= self._limits.claims_per_partition:
                return _partition_full()
            record = ClaimRecord(issued_ms, ClaimState.CLOSED)
            self._add(key, record)
        elif record.state is ClaimState.ABANDONED:
            record.state = ClaimState.CLOSED
        return _state_result(record)

    def prune(self, before_ms: int, limit: int) -> int:
        """Remove the records of expired keys.

        :param before_ms: keys issued before this Unix time in milliseconds are expired
        :param limit: maximum number of records to remove
        :return: number of records removed
        """
        removed = 0
        while (
            removed < limit and self._issue_heap and self._issue_heap[0][0] < before_ms
        ):
            _, key = heapq.heappop(self._issue_heap)
            del self._records[key]
            self._answers_bytes -= self._answer_sizes.pop(key, 0)
            removed += 1
        return removed

    def _abandon(self, command: EndClaim, issued_ms: int) -> ClaimResult:
        record = self._records.get(command.request_key)
        if record is None:
            # The end arrived before its claim; the record blocks the late claim.
            if len(self._records) >= self._limits.claims_per_partition:
                return _partition_full()
            record = ClaimRecord(issued_ms, ClaimState.ABANDONED)
            self._add(command.request_key, record)
        holds = record.attempt_id == command.attempt_id
        if holds and record.state is ClaimState.DONE:
            return ClaimResult(ClaimVerdict.NOT_HOLDER, "the attempt is done")
        if holds and record.state is ClaimState.CLAIMED:
            record.state = ClaimState.ABANDONED
        if record.state in (ClaimState.CLAIMED, ClaimState.ABANDONED):
            self._record_abandoned(record, command)
        return ClaimResult(ClaimVerdict.RECORDED)

    def _record_abandoned(self, record: ClaimRecord, command: EndClaim) -> None:
        if len(record.abandoned) < self._limits.abandoned_per_key:
            record.abandoned.add(command.attempt_id)
        elif record.state is ClaimState.ABANDONED:
            # A closed key refuses every attempt, so the set stays bounded. While
            # another attempt holds the claim, no attempt is granted anyway.
            record.state = ClaimState.CLOSED

    def _store_answer(
        self, key: RequestKey, record: ClaimRecord, answer: AnswerRecord
    ) -> None:
        if answer.size_bytes > self._limits.answer_bytes:
            answer = answer.without_content()
        record.answer = answer
        self._answer_sizes[key] = answer.size_bytes
        self._answers_bytes += answer.size_bytes
        while self._answers_bytes > self._limits.answers_per_partition_bytes:
            oldest = next(iter(self._answer_sizes))
            self._answers_bytes -= self._answer_sizes.pop(oldest)
            oldest_answer = self._records[oldest].answer
            if oldest_answer is not None:
                self._records[oldest].answer = oldest_answer.without_content()

    def _add(self, key: RequestKey, record: ClaimRecord) -> None:
        self._records[key] = record
        heapq.heappush(self._issue_heap, (record.issued_ms, key))

    def to_json(self) -> dict[str, Any]:
        """Encode the partition as JSON values.

        :return: the records by key, and the keys with stored answers, oldest first
        """
        records = {key: record.to_json() for key, record in self._records.items()}
        return {"records": records, "answers": list(self._answer_sizes)}

    @classmethod
    def from_json(cls, document: Any, limits: StateLimits) -> ClaimPartition:
        """Decode a partition from JSON values.

        :param document: as returned by :meth:`to_json`
        :param limits: limits of the state
        :return: the partition
        :raises InvalidSnapshotError: if the fields are inconsistent
        :raises InvalidCommandError: if a field is not valid
        :raises ValueError: if a state is unknown
        """
        fields = Fields(document)
        records = fields.value("records")
        if not isinstance(records, dict):
            raise InvalidSnapshotError("records: expected an object")
        partition = cls(limits)
        for key, record in records.items():
            partition._add(RequestKey(key), ClaimRecord.from_json(record))
        for key in map(RequestKey, fields.texts("answers")):
            answer = partition._records[key].answer if key in records else None
            if answer is None:
                raise InvalidSnapshotError(f"answers: {key!r} has no stored answer")
            partition._answer_sizes[key] = answer.size_bytes
            partition._answers_bytes += answer.size_bytes
        return partition


def _state_result(record: ClaimRecord) -> ClaimResult:
    return ClaimResult(STATE_VERDICTS[record.state], answer=record.answer)


def _partition_full() -> ClaimResult:
    return ClaimResult(ClaimVerdict.UNAVAILABLE, "the partition of this key is full")
