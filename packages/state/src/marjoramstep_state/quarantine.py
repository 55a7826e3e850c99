"""Crash reports and quarantine by service and fingerprint."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_core.ids import Fingerprint
from marjoramstep_core.ids import ServiceName

from .fields import Fields
from .results import CrashReportResult


if TYPE_CHECKING:
    from .commands import ReportCrash
    from .limits import StateLimits

SuspectId = tuple[ServiceName, Fingerprint]


@dataclass(frozen=True)
class QuarantineEntry:
    """A quarantined fingerprint.

    :param service_name: service whose nodes refuse the fingerprint
    :param fingerprint: hash of the request's content
    :param remaining_ms: remaining time of the quarantine in milliseconds of log time
    """

    service_name: ServiceName
    fingerprint: Fingerprint
    remaining_ms: int


@dataclass
class _Suspect:
    """Log times of the distinct reports, the quarantine's end and the last report."""

    reports: dict[str, int] = field(default_factory=dict)
    until_ms: int = 0
    last_report_ms: int = 0


class CrashQuarantine:
    """Quarantines a fingerprint after several distinct crashes in one service.

    :param limits: limits of the state
    """

    def __init__(self, limits: StateLimits) -> None:
        self._limits = limits
        self._suspects: dict[SuspectId, _Suspect] = {}

    def apply(self, command: ReportCrash, watermark_ms: int) -> CrashReportResult:
        """Count a report; a resend is not counted again.

        :param command: the report
        :param watermark_ms: highest applied log time in Unix milliseconds
        :return: the state of the fingerprint
        """
        suspect_id = (command.service_name, command.fingerprint)
        # Reinserted, so that the dictionary is in order of the last report.
        suspect = self._suspects.pop(suspect_id, None) or _Suspect()
        self._suspects[suspect_id] = suspect
        suspect.last_report_ms = watermark_ms
        oldest_counted_ms = watermark_ms - self._limits.quarantine_ms
        suspect.reports = {
            r: t for r, t in suspect.reports.items() if t >= oldest_counted_ms
        }
        is_new = command.report_id not in suspect.reports
        if is_new and len(suspect.reports) >= self._limits.reports_per_suspect:
            del suspect.reports[next(iter(suspect.reports))]
        if is_new:
            suspect.reports[command.report_id] = watermark_ms
            if len(suspect.reports) >= self._limits.quarantine_after_reports:
                suspect.until_ms = watermark_ms + self._limits.quarantine_ms
        while len(self._suspects) > self._limits.suspects:
            del self._suspects[next(iter(self._suspects))]
        remaining_ms = max(0, suspect.until_ms - watermark_ms)
        return CrashReportResult(len(suspect.reports), remaining_ms)

    def entries(self, watermark_ms: int) -> list[QuarantineEntry]:
        """Return the quarantined fingerprints.

        :param watermark_ms: highest applied log time in Unix milliseconds
        :return: entries ordered by service and fingerprint
        """
        return [
            QuarantineEntry(service, fingerprint, suspect.until_ms - watermark_ms)
            for (service, fingerprint), suspect in sorted(
                self._suspects.items(), key=lambda item: item[0]
            )
            if suspect.until_ms > watermark_ms
        ]

    def prune(self, watermark_ms: int) -> int:
        """Remove a limited number of fingerprints without recent reports.

        :param watermark_ms: highest applied log time in Unix milliseconds
        :return: number of fingerprints removed
        """
        oldest_counted_ms = watermark_ms - self._limits.quarantine_ms
        removed = 0
        while removed < self._limits.prune_batch_size and self._suspects:
            oldest = next(iter(self._suspects))
            if self._suspects[oldest].last_report_ms >= oldest_counted_ms:
                break
            del self._suspects[oldest]
            removed += 1
        return removed

    def to_json(self) -> list[Any]:
        """Encode the suspects as JSON values, in order of the last report."""
        return [
            {
                "service_name": service,
                "fingerprint": fingerprint,
                "reports": [list(item) for item in suspect.reports.items()],
                "until_ms": suspect.until_ms,
                "last_ms": suspect.last_report_ms,
            }
            for (service, fingerprint), suspect in self._suspects.items()
        ]

    @classmethod
    def from_json(cls, documents: Any, limits: StateLimits) -> CrashQuarantine:
        """Decode the quarantine from JSON values.

        :param documents: as returned by :meth:`to_json`
        :param limits: limits of the state
        :return: the quarantine
        :raises InvalidCommandError: if a field is not valid
        """
        quarantine = cls(limits)
        for fields in map(Fields, documents):
            suspect_id = (
                ServiceName(fields.non_empty_text("service_name")),
                Fingerprint(fields.non_empty_text("fingerprint")),
            )
            quarantine._suspects[suspect_id] = _Suspect(
                {report: time_ms for report, time_ms in fields.list_field("reports")},
                fields.integer("until_ms"),
                fields.integer("last_ms"),
            )
        return quarantine
