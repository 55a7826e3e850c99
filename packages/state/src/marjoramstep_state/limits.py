"""Limits of the replicated state."""

from __future__ import annotations

from dataclasses import dataclass


MINUTE_MS = 60_000
DAY_MS = 24 * 60 * MINUTE_MS
MEBIBYTE = 1024 * 1024
KIBIBYTE = 1024

# Larger commands are not decoded. The replicated log accepts only smaller proposals.
COMMAND_LIMIT_BYTES = 4 * MEBIBYTE


@dataclass(frozen=True)
class StateLimits:
    """Limits, which must be equal on all replicas or their states diverge.

    :param edit_verdict_retention_ms: log time for which the result of an edit is stored
    :param table_versions: table versions retained for diff
    :param key_lifetime_ms: lifetime of a request key from its issue
    :param key_clock_skew_ms: maximum lead of a key's issue time over the log time
    :param claims_per_partition: records per partition; further keys are refused
    :param abandoned_per_key: abandoned attempts recorded per key before it is closed
    :param answer_bytes: maximum size of a stored answer: the highest value of
        the column ``stored_answer_limit_bytes``, 1 MiB, and room for headers
    :param answers_per_partition_bytes: size of the stored answers per partition; the
        oldest lose their bodies first
    :param prune_batch_size: expired records removed per command, so that no command
        stalls the log
    :param quarantine_after_reports: distinct crash reports that start a quarantine
    :param quarantine_ms: log time for which a report counts and a quarantine lasts
    :param reports_per_suspect: most recent reports stored for each fingerprint to
        recognise a resend
    :param suspects: fingerprints with crash reports (suspects); those reported least
        recently are dropped first
    :param audit_entries: audit entries held in memory
    :param audit_bytes: size of these entries
    """

    edit_verdict_retention_ms: int = DAY_MS
    table_versions: int = 100
    key_lifetime_ms: int = DAY_MS
    key_clock_skew_ms: int = 5 * MINUTE_MS
    claims_per_partition: int = 16_384
    abandoned_per_key: int = 64
    answer_bytes: int = MEBIBYTE + 64 * KIBIBYTE
    answers_per_partition_bytes: int = 2 * MEBIBYTE
    prune_batch_size: int = 64
    quarantine_after_reports: int = 2
    quarantine_ms: int = 10 * MINUTE_MS
    reports_per_suspect: int = 16
    suspects: int = 10_000
    audit_entries: int = 50_000
    audit_bytes: int = 64 * MEBIBYTE
