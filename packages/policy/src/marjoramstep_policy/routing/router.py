"""Power of two choices among the members of a service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.registry import Registry
from marjoramstep_core.states import ServerState
from marjoramstep_core.states import SizeClass

from .members import CallResult
from .members import RouteChange
from .server_state import FAILURES_TO_SUSPEND
from .server_state import LEAVING_MS
from .server_state import NEW_RAMP_MS
from .server_state import START_TOLERANCE_MS
from .server_state import ServerRecord
from .server_state import slow_limit_ms
from .service_group import ServiceGroup
from .service_group import without


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from random import Random

    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import ServerId
    from marjoramstep_core.ids import ServiceName
    from marjoramstep_core.ids import ZoneName

    from .members import RouteLoad
    from .members import RouteMember

# A remote server is used when the score of the local one exceeds this multiple of its
# score.
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
    ``await`` between ``pick`` and ``started``.

    :param clock: source of monotonic milliseconds
    :param rng: random generator
    :param own_zone: availability zone of this node
    """

    def __init__(self, clock: Clock, rng: Random, own_zone: ZoneName) -> None:
        self._clock = clock
        self._rng = rng
        self.own_zone = own_zone
        self._groups: dict[ServiceName, ServiceGroup] = {}
        self._group_of: dict[ServerId, ServiceGroup] = {}
        self.on_change: Callable[[RouteChange], None] = lambda _: None

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
        group = self._groups.get(service)
        is_first = group is None
        if group is None:
            group = self._groups[service] = ServiceGroup(self.own_zone)
        previous = group.records
        group.records = {}
        for member in members:
            if member.state is ServerState.GONE:
                continue
            record = previous.get(member.server_id)
            if record is None or _needs_ramp_up(record.member, member):
                ramp_ms = 0.0 if is_first else NEW_RAMP_MS
                record = ServerRecord(member, now_ms, ramp_ms)
            record.member = member
            group.records[member.server_id] = record
            self._group_of[member.server_id] = group
        for server_id in previous.keys() - group.records.keys():
            if self._group_of.get(server_id) is group:
                del self._group_of[server_id]
        if not group.records:
            del self._groups[service]
        group.refresh(now_ms)

    def pick(
        self,
        service: ServiceName,
        excluded: frozenset[ServerId],
        *,
        may_sample: bool = False,
    ) -> RouteMember | None:
        """Choose a backend server.

        :param service: name of the service
        :param excluded: servers that must not be chosen, such as those tried before
        :param may_sample: whether the call may be sent to a remote zone to
            measure the latency there; it should be small, and its latency comparable
        :return: a ready member, or ``None`` if none is left
        """
        group = self._groups.get(service)
        if group is None:
            return None
        now_ms = self._clock.now_ms()
        if now_ms >= group.next_refresh_ms:
            group.refresh(now_ms)
        # A retry is not used as a probe, since its request has already failed once.
        if group.suspended and not excluded:
            probed = self._due_probe(group, now_ms)
            if probed is not None:
                return probed.member
        chosen = self._choose(group, excluded, now_ms)
        if chosen is not None and self._suspend_if_overdue(group, chosen, now_ms):
            chosen = self._choose(group, excluded, now_ms)
        return None if chosen is None else chosen.member

    def started(
        self, server_id: ServerId, size_class: SizeClass = SizeClass.SHORT
    ) -> None:
        """Record that a call was sent.

        :param server_id: the server picked
        :param size_class: class of the call; long calls count as in flight, but their
            latency is ignored
        """
        record = self._record(server_id)
        if record is None:
            return
        record.in_flight += 1
        if size_class is SizeClass.SHORT:
            now_ms = self._clock.now_ms()
            record.add_start(now_ms)
            if record.suspended and record.probe_at_ms is None:
                record.probe_at_ms = now_ms

    def finished(
        self,
        server_id: ServerId,
        latency_ms: float,
        result: CallResult,
        load: RouteLoad | None,
        size_class: SizeClass = SizeClass.SHORT,
    ) -> None:
        """Record that a call ended; unknown servers are ignored.

        :param server_id: the server picked
        :param latency_ms: time since ``started`` in milliseconds
        :param result: result of the call
        :param load: load reported with the reply, ``None`` without one
        :param size_class: class of the call, as given to ``started``
        :raises InvalidInputError: if the latency is negative or not finite
        """
        if not 0.0 <= latency_ms < math.inf:
            raise InvalidInputError(
                f"latency_ms must be finite and not negative, got {latency_ms}",
                step="finish call",
                peer=server_id,
            )
        group = self._group_of.get(server_id)
        record = self._record(server_id)
        if group is None or record is None:
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
            record.leaving_until_ms = now_ms + LEAVING_MS
            group.refresh(now_ms)
        if record.suspended:
            self._finish_suspended(group, record, start_ms, latency_ms, result)
            return
        self._finish_regular(group, record, latency_ms, result, size_class)

    def tracked_servers(self) -> int:
        """Return how many servers have a record.

        :return: number of servers
        """
        return len(self._group_of)

    def _record(self, server_id: ServerId) -> ServerRecord | None:
        group = self._group_of.get(server_id)
        return None if group is None else group.records.get(server_id)

    def _jitter(self) -> float:
        return 1.0 + PROBE_JITTER * (2.0 * self._rng.random() - 1.0)

    def _due_probe(self, group: ServiceGroup, now_ms: float) -> ServerRecord | None:
        for record in group.suspended:
            if record.is_probe_due(now_ms):
                record.reserve_probe(now_ms, self._jitter())
                return record
        return None

    def _choose(
        self, group: ServiceGroup, excluded: frozenset[ServerId], now_ms: float
    ) -> ServerRecord | None:
        local, remote = group.local, group.remote
        if excluded:
            local = without(local, excluded)
            remote = without(remote, excluded)
        reference_ms = group.reference_ms
        if group.local_is_overloaded and remote:
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
        return local_choice or remote_choice or self._choose_any(group, excluded)

    def _choose_any(
        self, group: ServiceGroup, excluded: frozenset[ServerId]
    ) -> ServerRecord | None:
        """Choose from the first non-empty list, regardless of traffic shares."""
        for records in (
            group.local,
            group.remote,
            group.remote_overloaded,
            group.suspended,
        ):
            remaining = without(records, excluded)
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
            first_share = first.share(now_ms)
            is_first_admitted = first_share >= 1.0 or random() < first_share
            if count == 1:
                if is_first_admitted:
                    return first
                continue
            other_index = int(random() * (count - 1))
            if other_index >= index:
                other_index += 1
            other = records[other_index]
            other_share = other.share(now_ms)
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
        self, group: ServiceGroup, record: ServerRecord, now_ms: float
    ) -> bool:
        if record.suspended or not group.reference_ms:
            return False
        if not record.is_overdue(now_ms, group.reference_ms):
            return False
        if not group.may_suspend():
            return False
        # Checked again with a current median, which a slowdown of all members raises.
        group.refresh(now_ms)
        if not record.is_overdue(now_ms, group.reference_ms):
            return False
        self._suspend(group, record, now_ms)
        return True

    def _suspend(
        self, group: ServiceGroup, record: ServerRecord, now_ms: float
    ) -> None:
        self._report_change(group, record, now_ms, suspended=True)
        record.suspend(now_ms, self._jitter())
        group.refresh(now_ms)

    def _report_change(
        self,
        group: ServiceGroup,
        record: ServerRecord,
        now_ms: float,
        *,
        suspended: bool,
    ) -> None:
        member = record.member
        self.on_change(
            RouteChange(
                member.server_id,
                member.zone,
                suspended,
                record.observed_ms(now_ms) or 0.0,
                group.reference_ms,
                record.failures,
                record.in_flight,
            )
        )

    def _finish_regular(
        self,
        group: ServiceGroup,
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
                self._suspend(group, record, now_ms)
            return
        if result is not CallResult.ANSWERED:
            return
        record.failures = 0
        if size_class is SizeClass.LONG:
            return
        record.add_latency(latency_ms, group.reference_ms)
        measured_ms = record.latency_ms or 0.0
        if group.reference_ms and measured_ms > slow_limit_ms(group.reference_ms):
            group.refresh(now_ms)
            is_slow = measured_ms > slow_limit_ms(group.reference_ms)
            if is_slow and group.may_suspend():
                self._suspend(group, record, now_ms)

    def _finish_suspended(
        self,
        group: ServiceGroup,
        record: ServerRecord,
        start_ms: float,
        latency_ms: float,
        result: CallResult,
    ) -> None:
        probe_at_ms = record.probe_at_ms
        if probe_at_ms is None or start_ms < probe_at_ms - START_TOLERANCE_MS:
            return
        now_ms = self._clock.now_ms()
        limit_ms = slow_limit_ms(group.reference_ms)
        is_good = result is CallResult.ANSWERED and latency_ms <= limit_ms
        if result is CallResult.CANCELLED and latency_ms <= limit_ms:
            # Cancelled before it gave a result; the next probe stays scheduled.
            record.probe_at_ms = None
            return
        if record.finish_probe(is_good, now_ms, self._jitter()):
            record.recover(latency_ms, now_ms)
            self._report_change(group, record, now_ms, suspended=False)
            group.refresh(now_ms)


def _needs_ramp_up(before: RouteMember, after: RouteMember) -> bool:
    if after.incarnation != before.incarnation:
        return True
    was_ready = before.state is ServerState.READY
    return not was_ready and after.state is ServerState.READY
