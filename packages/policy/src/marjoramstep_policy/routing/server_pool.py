"""Candidates for the calls to one service, grouped by zone and state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.states import ServerState


if TYPE_CHECKING:
    from marjoramstep_core.ids import ServerId
    from marjoramstep_core.ids import ZoneName

    from .server_record import ServerRecord

# Interval at which the median latency and the lists of candidates are recomputed.
# Suspensions, recoveries and member updates take effect immediately.
REFRESH_MS = 50.0
# Fraction of overloaded members at which a zone counts as overloaded.
OVERLOADED_ZONE_SHARE = 0.5
# Fraction of the ready members that may be suspended for slowness. If more of them are
# slow, the median is no reference for normal latency.
MAX_SUSPENDED_SHARE = 0.5


class ServerPool:
    """Records of the servers of one service and the candidate lists derived from them.

    :param local_zone: availability zone of this node
    """

    __slots__ = (
        "_local_zone",
        "_refreshed_ms",
        "local",
        "next_refresh_ms",
        "next_sample_ms",
        "ready",
        "records",
        "reference_ms",
        "remote",
        "remote_overloaded",
        "local_is_overloaded",
        "suspended",
    )

    def __init__(self, local_zone: ZoneName) -> None:
        self._local_zone = local_zone
        self.records: dict[ServerId, ServerRecord] = {}
        self.local: list[ServerRecord] = []
        self.remote: list[ServerRecord] = []
        self.remote_overloaded: list[ServerRecord] = []
        self.suspended: list[ServerRecord] = []
        self.local_is_overloaded = False
        self.ready: list[ServerRecord] = []
        self.reference_ms = 0.0
        self.next_refresh_ms = 0.0
        self.next_sample_ms = 0.0
        self._refreshed_ms = 0.0

    def refresh(self, now_ms: float) -> None:
        """Recompute the candidate lists, the overloaded zones and the median latency.

        :param now_ms: current time in milliseconds
        """
        ready = [
            record
            for record in self.records.values()
            if record.member.state is ServerState.READY
            and now_ms >= record.draining_until_ms
        ]
        overloaded_zones = _overloaded_zones(ready, now_ms)
        self.next_refresh_ms = now_ms + REFRESH_MS
        self.ready = ready
        self.local_is_overloaded = self._local_zone in overloaded_zones
        self.suspended = [record for record in ready if record.suspended]
        self.local, self.remote, self.remote_overloaded = [], [], []
        for record in ready:
            if record.suspended:
                continue
            if record.member.zone == self._local_zone:
                self.local.append(record)
            elif record.member.zone in overloaded_zones:
                self.remote_overloaded.append(record)
            else:
                self.remote.append(record)
        self._update_latencies(ready, now_ms)

    def _update_latencies(self, ready: list[ServerRecord], now_ms: float) -> None:
        elapsed_ms = now_ms - self._refreshed_ms
        self._refreshed_ms = now_ms
        # The age of calls in flight is included, so that a slowdown of all members
        # raises the median too and they are not suspended one after another.
        latencies_or_none = [record.effective_latency_ms(now_ms) for record in ready]
        latencies = sorted(value for value in latencies_or_none if value is not None)
        if not latencies:
            return
        # The lower median, so that of two members the faster one is the reference.
        self.reference_ms = latencies[(len(latencies) - 1) // 2]
        for record in ready:
            if not record.suspended:
                record.decay_latency(elapsed_ms, self.reference_ms)

    def may_suspend(self) -> bool:
        """Tell whether one more member may be suspended for slowness.

        Failing members are suspended without a limit: a call to them is lost anyway.

        :return: false when this would suspend more than half of the ready members
        """
        limit = len(self.ready) * MAX_SUSPENDED_SHARE
        return len(self.suspended) + 1 <= limit


def exclude_servers(
    records: list[ServerRecord], excluded: frozenset[ServerId]
) -> list[ServerRecord]:
    """Filter out excluded servers.

    :param records: candidates
    :param excluded: ids of servers that must not be chosen
    :return: the remaining candidates
    """
    if not excluded:
        return records
    return [record for record in records if record.member.server_id not in excluded]


def _overloaded_zones(ready: list[ServerRecord], now_ms: float) -> set[ZoneName]:
    totals: dict[ZoneName, int] = {}
    overloaded: dict[ZoneName, int] = {}
    for record in ready:
        zone = record.member.zone
        totals[zone] = totals.get(zone, 0) + 1
        if record.is_overloaded(now_ms):
            overloaded[zone] = overloaded.get(zone, 0) + 1
    return {
        zone
        for zone, count in overloaded.items()
        if count >= OVERLOADED_ZONE_SHARE * totals[zone]
    }
