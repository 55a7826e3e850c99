"""Quarantined fingerprints, and crash reports to the replicas."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_wire.messages import QuarantineReport


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.ids import Fingerprint
    from marjoramstep_core.ids import ServiceName
    from marjoramstep_policy.quarantine import CrashReport
    from marjoramstep_policy.quarantine import QuarantineList

    from ..log import EventLog

# A report is lost when no replica leads or the link to the leader is down. Replicas
# recognise duplicates by the report id.
RESEND_DELAYS_SECONDS = (0.5, 1.0, 3.0)


class QuarantineClient:
    """Reports crash suspects and checks requests against the quarantine.

    A ``QuarantineReport`` message carries a ``CrashReport`` to the replicas.

    :param quarantine: bounded list whose entries expire
    :param log: event log
    """

    def __init__(self, quarantine: QuarantineList, log: EventLog) -> None:
        self._quarantine = quarantine
        self._log = log
        self.on_report: Callable[[QuarantineReport], None] = lambda _: None

    def is_quarantined(self, service: ServiceName, fingerprint: Fingerprint) -> bool:
        """Return whether a request must not run.

        :param service: service of the request
        :param fingerprint: its fingerprint
        :return: whether it is quarantined
        """
        return self._quarantine.is_quarantined(service, fingerprint)

    @property
    def has_entries(self) -> bool:
        """Whether any fingerprint is quarantined."""
        return self._quarantine.has_entries

    def count(self) -> int:
        """Return the number of quarantined fingerprints.

        :return: entries that have not expired
        """
        return len(self._quarantine.entries())

    def add(
        self, service: ServiceName, fingerprint: Fingerprint, remaining_ms: float
    ) -> None:
        """Add a quarantine that the replicas have decided.

        :param service: service of the request
        :param fingerprint: its fingerprint
        :param remaining_ms: time until the quarantine ends
        """
        self._quarantine.add(service, fingerprint, remaining_ms)

    def report(self, report: CrashReport) -> None:
        """Report the request suspected of a crash to the replicas.

        :param report: service, fingerprint and id of the crash
        """
        self._log.write(
            "crash suspect",
            step="run",
            peer=report.service,
            fingerprint=report.fingerprint,
            report_id=report.report_id,
        )
        self._send(report, RESEND_DELAYS_SECONDS)

    def _send(self, report: CrashReport, resend_delays: tuple[float, ...]) -> None:
        if self._quarantine.is_quarantined(report.service, report.fingerprint):
            return
        self.on_report(
            QuarantineReport(
                service_name=report.service,
                fingerprint=report.fingerprint,
                report_id=report.report_id,
            )
        )
        if resend_delays:
            loop = asyncio.get_running_loop()
            loop.call_later(resend_delays[0], self._send, report, resend_delays[1:])
