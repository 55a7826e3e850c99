"""Identifies the requests in flight when a backend server crashed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError


if TYPE_CHECKING:
    from marjoramstep_core.ids import Fingerprint
    from marjoramstep_core.ids import ServerId
    from marjoramstep_core.ids import ServiceName

# The reports of this many latest incarnations are remembered, so that a crash which is
# detected again is not reported again.
REMEMBERED_INCARNATIONS = 8


@dataclass(frozen=True)
class CrashReport:
    """Report of one suspect fingerprint of one crash, sent to the control replicas.

    :param service: service of the backend server
    :param fingerprint: fingerprint of the suspect request
    :param report_id: identifies the crash; equal for all its reports, also after a
        resend or a restart of the node. The replicas count distinct ids for each
        fingerprint.
    """

    service: ServiceName
    fingerprint: Fingerprint
    report_id: str


@dataclass(frozen=True)
class CrashSuspects:
    """Calls that may have caused a crash.

    :param call_ids: calls in flight at the crash, which must not be retried
    :param reports: reports that were not returned before
    """

    call_ids: frozenset[int]
    reports: tuple[CrashReport, ...]


class CrashTracker:
    """Tracks the calls in flight at the backend server of one node.

    A process crashes at most once in one incarnation. The report id therefore consists
    of server id and incarnation, however many connections broke or were refused.

    :param server_id: id of the backend server, unique over all nodes
    :param service: service of the backend server
    """

    def __init__(self, server_id: ServerId, service: ServiceName) -> None:
        self._server_id = server_id
        self._service = service
        self._calls: dict[int, tuple[int, Fingerprint]] = {}
        self._reported: dict[int, set[Fingerprint]] = {}

    def record_call_start(
        self, call_id: int, incarnation: int, fingerprint: Fingerprint
    ) -> None:
        """Record that a call was sent to the backend server.

        :param call_id: id of the call at this node
        :param incarnation: incarnation of the backend server that runs it
        :param fingerprint: fingerprint of the request
        :raises InvalidInputError: if the call id is in flight already
        """
        if call_id in self._calls:
            raise InvalidInputError(
                f"call {call_id} is already in flight",
                step="track call",
                peer=self._server_id,
            )
        self._calls[call_id] = (incarnation, fingerprint)

    def record_call_end(self, call_id: int) -> None:
        """Record that a call ended or was abandoned; unknown ids are ignored.

        :param call_id: id of the call at this node
        """
        self._calls.pop(call_id, None)

    def in_flight(self) -> int:
        """Return the number of calls in flight.

        :return: number of calls
        """
        return len(self._calls)

    def record_crash(self, incarnation: int) -> CrashSuspects:
        """Record that the backend server crashed.

        May be called for each connection that broke or was refused because of one
        crash. Must be called before ``record_call_end`` for the calls that it ended.

        :param incarnation: the incarnation that crashed
        :return: calls in flight in that incarnation, and reports not returned before
        """
        suspects = {
            call_id: fingerprint
            for call_id, (call_incarnation, fingerprint) in self._calls.items()
            if call_incarnation == incarnation
        }
        reported = self._reported.setdefault(incarnation, set())
        unreported = sorted(set(suspects.values()) - reported)
        reported.update(unreported)
        while len(self._reported) > REMEMBERED_INCARNATIONS:
            del self._reported[min(self._reported)]
        report_id = f"{self._server_id}/{incarnation}"
        return CrashSuspects(
            frozenset(suspects),
            tuple(
                CrashReport(self._service, fingerprint, report_id)
                for fingerprint in unreported
            ),
        )
