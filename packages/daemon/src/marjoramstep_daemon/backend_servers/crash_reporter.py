"""Reports the requests that may have crashed the backend server."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from itertools import count
from typing import TYPE_CHECKING

from marjoramstep_core.ids import ServerId
from marjoramstep_policy.quarantine import CrashTracker

from ..fingerprints import content_hash
from ..fingerprints import fingerprint_of


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import NodeId
    from marjoramstep_core.ids import ServiceName

    from ..calls import Call
    from ..control.quarantine_client import QuarantineClient

# All connections of a crashing process break within a few milliseconds. Suspects are
# compared after this delay, when all of them are known. A fingerprint is quarantined
# after the reports of two crashes. The delay is short, since a retry of the request can
# crash a third backend server until the second report is committed.
COLLECTION_DELAY_SECONDS = 0.03
# Equals the duration of a quarantine.
SUCCESS_LIFETIME_MS = 600_000.0
MAX_SUCCESSES = 20_000


class CrashReporter:
    """Collects the calls whose connections broke and reports the suspects among them.

    A request that crashes every backend server that runs it never succeeds. A request
    that has recently succeeded on this node is therefore not reported if another
    suspect of the same crash has not. If all suspects have recently succeeded, all are
    reported, so that a request that crashes only sometimes is still found.

    :param clock: clock of the node
    :param node_id: id of the node, which is also the id of its backend server
    :param quarantine: sends the reports to the replicas
    """

    def __init__(
        self, clock: Clock, node_id: NodeId, quarantine: QuarantineClient
    ) -> None:
        self._clock = clock
        self._server_id = ServerId(node_id)
        self._quarantine = quarantine
        self._trackers: dict[ServiceName, CrashTracker] = {}
        self._interrupted: dict[int, Call] = {}
        self._ids = count(1)
        self._successes: OrderedDict[int, float] = OrderedDict()
        self._timers: dict[tuple[ServiceName, int], asyncio.TimerHandle] = {}

    def record_success(self, call: Call) -> None:
        """Record that the backend server answered a call in full.

        :param call: the call
        """
        content = content_hash(call.service, call.method, call.path, call.body)
        self._successes[content] = self._clock.now_ms()
        self._successes.move_to_end(content)
        if len(self._successes) > MAX_SUCCESSES:
            self._successes.popitem(last=False)

    def record_connection_loss(self, call: Call, incarnation: int) -> None:
        """Record that the connection broke while a call was running.

        :param call: the call
        :param incarnation: incarnation of the backend server that ran it
        """
        tracker = self._trackers.get(call.service)
        if tracker is None:
            tracker = CrashTracker(self._server_id, call.service)
            # The backend server runs one service; a tracker of a former one is dropped.
            self._trackers = {call.service: tracker}
        call_id = next(self._ids)
        tracker.record_call_start(call_id, incarnation, fingerprint_of(call))
        self._interrupted[call_id] = call
        key = (call.service, incarnation)
        if key not in self._timers:
            self._timers[key] = asyncio.get_running_loop().call_later(
                COLLECTION_DELAY_SECONDS, self._report, tracker, key
            )

    def _report(self, tracker: CrashTracker, key: tuple[ServiceName, int]) -> None:
        del self._timers[key]
        suspects = tracker.record_crash(key[1])
        calls = []
        for call_id in suspects.call_ids:
            tracker.record_call_end(call_id)
            calls.append(self._interrupted.pop(call_id))
        likely = {
            call.fingerprint for call in calls if not self._has_succeeded(call)
        } or {call.fingerprint for call in calls}
        for report in suspects.reports:
            if report.fingerprint in likely:
                self._quarantine.report(report)

    def _has_succeeded(self, call: Call) -> bool:
        content = content_hash(call.service, call.method, call.path, call.body)
        succeeded_ms = self._successes.get(content)
        if succeeded_ms is None:
            return False
        return self._clock.now_ms() - succeeded_ms < SUCCESS_LIFETIME_MS
