"""State machine of a replica that reports the changes its process acts on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.ids import LogIndex
from marjoramstep_state import StateMachine
from marjoramstep_state.results import CrashReportResult


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_consensus.entry import Entry
    from marjoramstep_core.ids import Fingerprint
    from marjoramstep_core.ids import ServiceName
    from marjoramstep_state.results import ApplyResult


class ObservedStateMachine:
    """Applies entries and calls the observers.

    :param snapshot: snapshot to start from, empty for none
    :ivar machine: the state machine
    :ivar on_table_version: called with each new version of the table
    :ivar on_quarantine: called with service, fingerprint and remaining time of each
        quarantined request after a crash report led to a quarantine
    """

    def __init__(self, snapshot: bytes) -> None:
        self.machine = StateMachine()
        if snapshot:
            self.machine.restore(snapshot)
        self._table_version = self.machine.table.version
        self.on_table_version: Callable[[int], None] = lambda _: None
        self.on_quarantine: Callable[[ServiceName, Fingerprint, float], None] = (
            lambda _service, _fingerprint, _remaining_ms: None
        )

    def apply(self, entry: Entry) -> ApplyResult:
        """Apply a committed entry.

        :param entry: the entry
        :return: result of its command
        """
        result = self.machine.apply(LogIndex(entry.index), entry.payload)
        self._report_table()
        if (
            isinstance(result.result, CrashReportResult)
            and result.result.remaining_ms > 0
        ):
            self._report_quarantines()
        return result

    def restore(self, data: bytes) -> None:
        """Replace the state.

        :param data: encoded snapshot
        """
        self.machine.restore(data)
        self._report_table()

    def _report_quarantines(self) -> None:
        for quarantined in self.machine.quarantined():
            self.on_quarantine(
                quarantined.service_name,
                quarantined.fingerprint,
                quarantined.remaining_ms,
            )

    def _report_table(self) -> None:
        version = self.machine.table.version
        if version != self._table_version:
            self._table_version = version
            self.on_table_version(version)
