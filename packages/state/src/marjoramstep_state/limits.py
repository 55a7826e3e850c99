"""Bounds of the replicated state."""

from __future__ import annotations

from dataclasses import dataclass


MINUTE_MS = 60_000
DAY_MS = 24 * 60 * MINUTE_MS
MEBIBYTE = 1024 * 1024
KIBIBYTE = 1024

# A command travels in one log entry; larger ones would delay heartbeats.
COMMAND_LIMIT_BYTES = 4 * MEBIBYTE


@dataclass(frozen=True)
class StateLimits:
    """Bounds that must be equal on all replicas, or their states diverge.

    :param edit_verdict_ms: log time for which an edit key keeps its verdict
    :param table_versions: number of table versions kept for diff
    :param key_lifetime_ms: lifetime of a request key from its issue
    :param key_ahead_ms: how far ahead of the log time a key may be issued
    :param claims_per_partition: records in one partition; further keys are refused
    :param abandoned_per_key: abandoned attempts of a key before it is closed
    :param answer_bytes: largest stored answer: the largest table cell of 1 MiB
        and room for headers
    :param answers_per_partition_bytes: stored answers of one partition; the oldest
        lose their body first
    :param prune_records: expired records removed with one command, so that no
        command stalls the log
    :param crash_reports: different crash reports that quarantine a fingerprint
    :param quarantine_ms: log time that a report counts and a quarantine lasts
    :param reports_per_suspect: newest reports kept to recognise resent ones
    :param suspects: fingerprints with reports; the oldest are dropped first
    :param audit_entries: entries of the audit trail in memory
    :param audit_bytes: size of these entries
    """

    edit_verdict_ms: int = DAY_MS
    table_versions: int = 100
    key_lifetime_ms: int = DAY_MS
    key_ahead_ms: int = 5 * MINUTE_MS
    claims_per_partition: int = 16_384
    abandoned_per_key: int = 64
    answer_bytes: int = MEBIBYTE + 64 * KIBIBYTE
    answers_per_partition_bytes: int = 2 * MEBIBYTE
    prune_records: int = 64
    crash_reports: int = 2
    quarantine_ms: int = 10 * MINUTE_MS
    reports_per_suspect: int = 16
    suspects: int = 10_000
    audit_entries: int = 50_000
    audit_bytes: int = 64 * MEBIBYTE
