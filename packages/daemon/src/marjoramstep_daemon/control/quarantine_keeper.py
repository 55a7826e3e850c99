"""Quarantined fingerprints, and reports of crashes to the replicas."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from marjoramstep_wire.messages import QuarantineReport


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.ids import Fingerprint
    from marjoramstep_core.ids import ServiceName
    from marjoramstep_policy.quarantine import QuarantineList

    from ..calls import Call
    from ..log import EventLog


class QuarantineKeeper:
    """Reports suspects and knows what is quarantined.

    :param quarantine: the list with its bound and expiry
    :param log: event log
    """

    def __init__(self, quarantine: QuarantineList, log: EventLog) -> None:
        self._quarantine = quarantine
        self._log = log
        self.on_report: Callable[[QuarantineReport], None] = lambda _: None

    def is_quarantined(self, service: ServiceName, fingerprint: Fingerprint) -> bool:
        """Tell whether a request must not run.

        :param service: service of the request
        :param fingerprint: its fingerprint
        :return: whether it is quarantined
        """
        return self._quarantine.is_quarantined(service, fingerprint)

    def add(
        self, service: ServiceName, fingerprint: Fingerprint, remaining_ms: float
    ) -> None:
        """Take a quarantine that the replicas decided.

        :param service: service of the request
        :param fingerprint: its fingerprint
        :param remaining_ms: time until it ends
        """
        self._quarantine.add(service, fingerprint, remaining_ms)

    def on_crash(self, call: Call) -> None:
        """Report a request that was running when the backend server broke off.

        :param call: the call
        """
        if call.fingerprint is None:
            return
        self._log.write(
            "crash suspect",
            step="run",
            peer=call.service,
            request_key=call.request_key,
            fingerprint=call.fingerprint,
        )
        self.on_report(
            QuarantineReport(
                service_name=call.service,
                fingerprint=call.fingerprint,
                report_id=secrets.token_hex(12),
            )
        )
