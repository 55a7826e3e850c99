"""Partitioned store of claims."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from ..commands import Claim
from ..commands import EndClaim
from ..commands import LookUpClaim
from ..errors import InvalidSnapshotError
from ..results import ClaimResult
from ..results import ClaimVerdict
from .encoder import ClaimsEncoder
from .key import PARTITION_COUNT
from .key import parse_issued_ms
from .key import partition_of
from .partition import ClaimPartition


if TYPE_CHECKING:
    from marjoramstep_core.ids import RequestKey

    from ..limits import StateLimits

ClaimCommand = Claim | EndClaim | LookUpClaim


class ClaimStore:
    """Claims by request key, partitioned by the hash of the key.

    :param limits: limits of the state
    """

    def __init__(self, limits: StateLimits) -> None:
        self._limits = limits
        self._partitions = [ClaimPartition(limits) for _ in range(PARTITION_COUNT)]
        self._prune_cursor = 0
        self._encoder: ClaimsEncoder | None = None

    def __len__(self) -> int:
        return sum(map(len, self._partitions))

    @property
    def answers_bytes(self) -> int:
        """Size of all stored answers in bytes."""
        return sum(partition.answers_bytes for partition in self._partitions)

    def apply(self, command: ClaimCommand, watermark_ms: int) -> ClaimResult:
        """Apply a command to a request key.

        An expired key is refused before its record is read, so that pruning never
        changes a result.

        :param command: the command
        :param watermark_ms: highest applied log time in Unix milliseconds
        :return: the result
        """
        key = command.request_key
        issued_ms, refusal = self._check_key(key, watermark_ms)
        if refusal is not None:
            return refusal
        partition = self._partition_for_update(partition_of(key))
        if isinstance(command, Claim):
            return partition.claim(command, issued_ms)
        if isinstance(command, EndClaim):
            return partition.end(command, issued_ms)
        if command.close:
            return partition.close(key, issued_ms)
        return partition.look_up(key)

    def look_up(self, key: RequestKey, watermark_ms: int) -> ClaimResult:
        """Return the state of a key without changing it.

        :param key: the key
        :param watermark_ms: highest applied log time in Unix milliseconds
        :return: the state, with the stored answer if the key is done
        """
        _, refusal = self._check_key(key, watermark_ms)
        return refusal or self._partitions[partition_of(key)].look_up(key)

    def prune(self, watermark_ms: int) -> int:
        """Remove a limited number of expired records from one partition.

        :param watermark_ms: highest applied log time in Unix milliseconds
        :return: number of records removed
        """
        before_ms = watermark_ms - self._limits.key_lifetime_ms
        partition = self._partition_for_update(self._prune_cursor)
        removed = partition.prune(before_ms, self._limits.prune_batch_size)
        if removed < self._limits.prune_batch_size:
            self._prune_cursor = (self._prune_cursor + 1) % PARTITION_COUNT
        return removed

    def begin_encoding(self) -> ClaimsEncoder:
        """Begin to encode the current claims.

        :return: the encoder, which replaces any earlier one
        """
        self._encoder = ClaimsEncoder(self._partitions, self._prune_cursor)
        return self._encoder

    def end_encoding(self) -> None:
        """End the encoding, complete or not."""
        self._encoder = None

    def _partition_for_update(self, number: int) -> ClaimPartition:
        if self._encoder is not None:
            self._encoder.encode_partition(number)
        return self._partitions[number]

    def _check_key(
        self, key: RequestKey, watermark_ms: int
    ) -> tuple[int, ClaimResult | None]:
        issued_ms = parse_issued_ms(key)
        if issued_ms is None:
            detail = "expected <issued_unix_ms>-<16 to 128 of [A-Za-z0-9_]>"
            return 0, ClaimResult(ClaimVerdict.BAD_KEY, detail)
        if issued_ms > watermark_ms + self._limits.key_clock_skew_ms:
            detail = f"issued {issued_ms - watermark_ms} ms ahead of the log time"
            return 0, ClaimResult(ClaimVerdict.BAD_KEY, detail)
        if issued_ms < watermark_ms - self._limits.key_lifetime_ms:
            return 0, ClaimResult(ClaimVerdict.EXPIRED, "the key has expired")
        return issued_ms, None

    @classmethod
    def from_json(cls, document: Any, limits: StateLimits) -> ClaimStore:
        """Decode the claims from JSON values.

        :param document: as returned by :meth:`ClaimsEncoder.to_json`
        :param limits: limits of the state
        :return: the claims
        :raises InvalidSnapshotError: if a partition number is out of range
        """
        store = cls(limits)
        store._prune_cursor = document["prune_cursor"]
        numbers = [int(number) for number in document["partitions"]]
        if not all(0 <= n < PARTITION_COUNT for n in [*numbers, store._prune_cursor]):
            raise InvalidSnapshotError("partition number out of range")
        for number, partition in document["partitions"].items():
            store._partitions[int(number)] = ClaimPartition.from_json(partition, limits)
        return store
