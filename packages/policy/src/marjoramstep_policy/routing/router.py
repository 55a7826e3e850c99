"""Power of two choices, with suspension of slow and failing members."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.registry import Registry
from marjoramstep_core.states import ServerState
from marjoramstep_core.states import SizeClass

from .route_member import CallResult
from .route_member import SuspensionChange
from .server_pool import ServerPool
from .server_pool import exclude_servers
from .server_record import DRAINING_MS
from .server_record import FAILURES_TO_SUSPEND
from .server_record import NEW_RAMP_MS
from .server_record import START_TOLERANCE_MS
from .server_record import ServerRecord
from .server_record import needs_ramp_up
from .server_record import slow_limit_ms


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from random import Random

    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import ServerId
    from marjoramstep_core.ids import ServiceName
    from marjoramstep_core.ids import ZoneName

    from .route_member import ReportedLoad
    from .route_member import RouteMember

# A remote server is used when its score times this factor is below the score of the
# local one; a lower score is better.
REMOTE_ZONE_FACTOR = 2.0
# Pairs of servers drawn until the traffic share of one of them admits the call.
MAX_DRAWS = 3
# Random part of a probe interval, in both directions.
PROBE_JITTER = 0.25

ROUTERS: Registry[type[Router]] = Registry("router")


@ROUTERS.register("two-choices")
class Router:
    """Picks a backend server for each call by power of two choices.

    Members that are slow or that fail are suspended: they get single probe calls
    instead of regular traffic until enough probes succeed. State is kept only for
    members of the latest update. Not safe for concurrent use: there must be no
    ``await`` between ``pick`` and ``record_call_start``.

    :param clock: source of monotonic milliseconds
    :param rng: random generator
    :param local_zone: availability zone of this node

    The attribute ``on_suspension_change`` is called with each suspension and recovery.
    """

    def __init__(self, clock: Clock, rng: Random, local_zone: ZoneName) -> None:
        self._clock = clock
        self._rng = rng
        self.local_zone = local_zone
        self._pools: dict[ServiceName, ServerPool] = {}
        self._pool_by_server: dict[ServerId, ServerPool] = {}
        self.on_suspension_change: Callable[[SuspensionChange], None] = lambda _: None

    def update_members(
        self, service: ServiceName, members: Sequence[RouteMember]
    ) -> None:
        """Replace the members of a service.

        Members of the first update count as warmed up, because a starting node has no
        history of them; a server that becomes ready or restarts later ramps up over
        10 s.

        :param service: name of the service
        :param members: all members of the service
        """
        now_ms = self._clock.now_ms()
        pool = self._pools.get(service)
        is_first = pool is None
        if pool is None:
            pool = self._pools[service] = ServerPool(self.local_zone)
        previous = pool.records
        pool.records = {}
        for member in members:
            if member.state is ServerState.GONE:
                continue
            record = previous.get(member.server_id)
            if record is None or needs_ramp_up(record.member, member):
                ramp_ms = 0.0 if is_first else NEW_RAMP_MS
                record = ServerRecord(member, now_ms, ramp_ms)
            record.member = member
            pool.records[member.server_id] = record
            self._pool_by_server[member.server_id] = pool
        for server_id in previous.keys() - pool.records.keys():
            if self._pool_by_server.get(server_id) is pool:
                del self._pool_by_server[server_id]
        if not pool.records:
            del self._pools[service]
        pool.refresh(now_ms)

    def pick(
        self,
        service: ServiceName,
        excluded: frozenset[ServerId],
        *,
        may_sample_remote: bool = False,
    ) -> RouteMember | None:
        """Choose a backend server.

        :param service: name of the service
        :param excluded: servers that must not be chosen, such as those tried before
        :param may_sample_remote: whether the call may be sent to a remote zone to
            measure the latency there; only a zone-aware router uses it. Set it for
            calls with a short body and a comparable latency.
        :return: a ready member, or ``None`` if none is left
        """
        pool = self._pools.get(service)
        if pool is None:
            return None
        now_ms = self._clock.now_ms()
        if now_ms >= pool.next_refresh_ms:
            pool.refresh(now_ms)
        # A retry is not used as a probe, since its request has already failed once.
        if pool.suspended and not excluded:
            probed = self._due_probe(pool, now_ms)
            if probed is not None:
                return probed.member
        chosen = self._choose(pool, excluded, now_ms)
        if chosen is not None and self._suspend_if_overdue(pool, chosen, now_ms):
            chosen = self._choose(pool, excluded, now_ms)
        return None if chosen is None else chosen.member

    def has_alternative(self, service: ServiceName) -> bool:
        """Return whether a call to a service could go to more than one server.

        :param service: name of the service
        :return: whether at least two servers get regular traffic
        """
        pool = self._pools.get(service)
        return pool is not None and len(pool.local) + len(pool.remote) > 1

    def record_call_start(
        self, server_id: ServerId, size_class: SizeClass = SizeClass.SHORT
    ) -> None:
        """Record that a call was sent.

        :param server_id: the server picked
        :param size_class: ``LONG`` for a call whose latency is to be ignored, because
            it is long or not comparable; it still counts as in flight
        """
        record = self._record(server_id)
        if record is None:
            return
        record.in_flight += 1
        if size_class is SizeClass.SHORT:
            now_ms = self._clock.now_ms()
            record.add_start(now_ms)
            if record.suspended and record.probe_started_ms is None:
                record.probe_started_ms = now_ms

    def record_call_end(
        self,
        server_id: ServerId,
        latency_ms: float,
        result: CallResult,
        load: ReportedLoad | None,
        size_class: SizeClass = SizeClass.SHORT,
    ) -> None:
        """Record that a call ended; unknown servers are ignored.

        :param server_id: the server picked
        :param latency_ms: time since ``record_call_start`` in milliseconds
        :param result: result of the call
        :param load: load reported with the reply, ``None`` without one
        :param size_class: class of the call, as given to ``record_call_start``
        :raises InvalidInputError: if the latency is negative or not finite
        """
        if not 0.0 <= latency_ms < math.inf:
            raise InvalidInputError(
                f"latency_ms must be finite and not negative, got {latency_ms}",
                step="record call end",
                peer=server_id,
            )
        pool = self._pool_by_server.get(server_id)
        record = self._record(server_id)
        if pool is None or record is None:
            return
        now_ms = self._clock.now_ms()
        start_ms = now_ms - latency_ms
        if start_ms < record.created_ms - START_TOLERANCE_MS:
            # The call was sent to an earlier incarnation.
            return
        record.in_flight = max(0, record.in_flight - 1)
        if load is not None:
            record.add_load(load, now_ms)
        if size_class is SizeClass.SHORT:
            record.remove_start(start_ms)
        if result is CallResult.REFUSED_OVERLOAD:
            record.add_refusal(now_ms)
        if result is CallResult.REFUSED_DRAINING:
            record.draining_until_ms = now_ms + DRAINING_MS
            pool.refresh(now_ms)
        if record.suspended:
            self._finish_suspended(pool, record, start_ms, latency_ms, result)
            return
        self._finish_regular(pool, record, latency_ms, result, size_class)

    def tracked_servers(self) -> int:
        """Return how many servers have a record.

        :return: number of servers
        """
        return len(self._pool_by_server)

    def _record(self, server_id: ServerId) -> ServerRecord | None:
        pool = self._pool_by_server.get(server_id)
        return None if pool is None else pool.records.get(server_id)

    def _jitter(self) -> float:
        return 1.0 + PROBE_JITTER * (2.0 * self._rng.random() - 1.0)

    def _due_probe(self, pool: ServerPool, now_ms: float) -> ServerRecord | None:
        for record in pool.suspended:
            if record.is_probe_due(now_ms):
                record.schedule_next_probe(now_ms, self._jitter())
                return record
        return None

    def _choose(
        self, pool: ServerPool, excluded: frozenset[ServerId], now_ms: float
    ) -> ServerRecord | None:
        local, remote = pool.local, pool.remote
        if excluded:
            local = exclude_servers(local, excluded)
            remote = exclude_servers(remote, excluded)
        reference_ms = pool.reference_ms
        if pool.local_is_overloaded and remote:
            return self._draw(remote, now_ms, reference_ms) or self._rng.choice(remote)
        local_choice = self._draw(local, now_ms, reference_ms)
        remote_choice = self._draw(remote, now_ms, reference_ms)
        if local_choice is not None and remote_choice is not None:
            local_score = local_choice.score(now_ms, reference_ms)
            remote_score = remote_choice.score(now_ms, reference_ms)
            return (
                remote_choice
                if local_score > REMOTE_ZONE_FACTOR * remote_score
                else local_choice
            )
        return local_choice or remote_choice or self._choose_any(pool, excluded)

    def _choose_any(
        self, pool: ServerPool, excluded: frozenset[ServerId]
    ) -> ServerRecord | None:
        """Choose from the first non-empty list, regardless of traffic shares."""
        for records in (
            pool.local,
            pool.remote,
            pool.remote_overloaded,
            pool.suspended,
        ):
            remaining = exclude_servers(records, excluded)
            if remaining:
                return self._rng.choice(remaining)
        return None

    def _draw(
        self, records: list[ServerRecord], now_ms: float, reference_ms: float
    ) -> ServerRecord | None:
        count = len(records)
        if count == 0:
            return None
        random = self._rng.random
        for _ in range(MAX_DRAWS):
            index = int(random() * count)
            first = records[index]
            first_share = first.traffic_share(now_ms)
            is_first_admitted = first_share >= 1.0 or random() < first_share
            if count == 1:
                if is_first_admitted:
                    return first
                continue
            other_index = int(random() * (count - 1))
            if other_index >= index:
                other_index += 1
            other = records[other_index]
            other_share = other.traffic_share(now_ms)
            if other_share < 1.0 and random() >= other_share:
                if is_first_admitted:
                    return first
                continue
            if not is_first_admitted:
                return other
            if other.score(now_ms, reference_ms) < first.score(now_ms, reference_ms):
                return other
            return first
        return None

    def _suspend_if_overdue(
        self, pool: ServerPool, record: ServerRecord, now_ms: float
    ) -> bool:
        if record.suspended or not pool.reference_ms:
            return False
        if not record.is_overdue(now_ms, pool.reference_ms):
            return False
        if not pool.may_suspend():
            return False
        # Checked again with a current median, which a slowdown of all members raises.
        pool.refresh(now_ms)
        if not record.is_overdue(now_ms, pool.reference_ms):
            return False
        self._suspend(pool, record, now_ms)
        return True

    def _suspend(self, pool: ServerPool, record: ServerRecord, now_ms: float) -> None:
        self._report_change(pool, record, now_ms, suspended=True)
        record.suspend(now_ms, self._jitter())
        pool.refresh(now_ms)

    def _report_change(
        self,
        pool: ServerPool,
        record: ServerRecord,
        now_ms: float,
        *,
        suspended: bool,
    ) -> None:
        member = record.member
        self.on_suspension_change(
            SuspensionChange(
                member.server_id,
                member.zone,
                suspended,
                record.effective_latency_ms(now_ms) or 0.0,
                pool.reference_ms,
                record.failures,
                record.in_flight,
            )
        )

    def _finish_regular(
        self,
        pool: ServerPool,
        record: ServerRecord,
        latency_ms: float,
        result: CallResult,
        size_class: SizeClass,
    ) -> None:
        now_ms = self._clock.now_ms()
        if result is CallResult.FAILED:
            # A failure may be fast; its latency must not improve the server's score.
            record.failures += 1
            record.add_refusal(now_ms)
            if record.failures >= FAILURES_TO_SUSPEND:
                self._suspend(pool, record, now_ms)
            return
        if result is not CallResult.ANSWERED:
            return
        record.failures = 0
        if size_class is SizeClass.LONG:
            return
        record.add_latency(latency_ms, pool.reference_ms)
        measured_ms = record.latency_ms or 0.0
        if pool.reference_ms and measured_ms > slow_limit_ms(pool.reference_ms):
            pool.refresh(now_ms)
            is_slow = measured_ms > slow_limit_ms(pool.reference_ms)
            if is_slow and pool.may_suspend():
                self._suspend(pool, record, now_ms)

    def _finish_suspended(
        self,
        pool: ServerPool,
        record: ServerRecord,
        start_ms: float,
        latency_ms: float,
        result: CallResult,
    ) -> None:
        probe_started_ms = record.probe_started_ms
        if probe_started_ms is None or start_ms < probe_started_ms - START_TOLERANCE_MS:
            return
        now_ms = self._clock.now_ms()
        limit_ms = slow_limit_ms(pool.reference_ms)
        is_good = result is CallResult.ANSWERED and latency_ms <= limit_ms
        if result is CallResult.CANCELLED and latency_ms <= limit_ms:
            # Cancelled before it gave a result; the next probe stays scheduled.
            record.probe_started_ms = None
            return
        if record.finish_probe(is_good, now_ms, self._jitter()):
            record.recover(latency_ms, now_ms)
            self._report_change(pool, record, now_ms, suspended=False)
            pool.refresh(now_ms)
