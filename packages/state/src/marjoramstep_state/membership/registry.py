"""Registry of the leased members of each service and of the watching nodes."""

from __future__ import annotations

import copy
import heapq
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import NodeId
from marjoramstep_core.ids import ServerId
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.states import ServerState
from marjoramstep_wire.messages import Member
from marjoramstep_wire.messages import MemberUpdate


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock
    from marjoramstep_wire.messages import RegisterServer
    from marjoramstep_wire.messages import WatchService

# Limits how long a lost member stays listed if a faulty node asks for a long lease.
LEASE_LIMIT_MS = 60_000.0
# Longer than the maximum delay of a message, so that a late announcement does not
# re-add a member that is gone.
TOMBSTONE_RETENTION_MS = 120_000.0
# How long an incarnation that has deregistered is not listed again. An incarnation that
# is announced after that runs: its deregistration meant an earlier start.
DEPARTURE_RETENTION_MS = 30_000.0
COMPARED_FIELDS = (
    "node_id",
    "service_name",
    "address",
    "zone",
    "slots",
    "connections",
    "state",
    "incarnation",
)


@dataclass(frozen=True)
class MemberPush:
    """An update for one watcher.

    :param watcher: node that receives the update
    :param update: the changed members
    """

    watcher: NodeId
    update: MemberUpdate


@dataclass
class _Entry:
    """A member, or the tombstone of a member that is gone.

    ``order`` is the incarnation and sequence of the last announcement. ``until_ms`` is
    the end of the lease or of the tombstone; ``due_ms`` is the time of the next check.
    Both are monotonic times.
    """

    member: Member
    order: tuple[int, int]
    until_ms: float
    due_ms: float
    left_until_ms: float = -math.inf


class MembershipRegistry:
    """Members by service; after a restart, announcements repopulate it.

    :param clock: source of monotonic time
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[ServerId, _Entry] = {}
        self._members_by_service: dict[ServiceName, dict[ServerId, Member]] = {}
        self._watchers: dict[ServiceName, set[NodeId]] = {}
        self._services_by_watcher: dict[NodeId, set[ServiceName]] = {}
        self._expiry_heap: list[tuple[float, ServerId]] = []

    def register(self, message: RegisterServer) -> list[MemberPush]:
        """Apply an announcement or heartbeat; one that is not newer is ignored.

        :param message: the announcement with its lease in milliseconds
        :return: updates for the watchers; empty if only the lease changed
        :raises InvalidInputError: if the state, an id or the lease is not valid
        """
        member = message.member
        state = _check(message)
        server_id = ServerId(member.server_id)
        order = (member.incarnation, member.sequence)
        known = self._entries.get(server_id)
        if known is not None and order <= known.order:
            return []
        if known is not None and self._has_left(known, message):
            return []
        listed = known.member if known and _is_listed(known.member) else None
        pushes = []
        is_gone = state is ServerState.GONE
        if listed and (is_gone or listed.service_name != member.service_name):
            pushes = self._remove(listed, order)
            listed = None
        entry = self._store(
            member, order, TOMBSTONE_RETENTION_MS if is_gone else message.lease_ms
        )
        if member.has_left:
            entry.left_until_ms = self._clock.now_ms() + DEPARTURE_RETENTION_MS
        if is_gone:
            return pushes
        service = ServiceName(member.service_name)
        self._members_by_service.setdefault(service, {})[server_id] = member
        if listed and _is_unchanged(listed, member):
            return pushes
        return pushes + self._push(service, [member])

    def watch(self, watcher: NodeId, message: WatchService) -> MemberUpdate:
        """Subscribe a node to a service.

        :param watcher: the node
        :param message: the name of the service
        :return: the full list of members; later changes follow as updates
        :raises InvalidInputError: if the service has no name
        """
        if not message.service_name:
            raise InvalidInputError(
                "expected the name of a service", step="watch service", peer=watcher
            )
        service = ServiceName(message.service_name)
        self._watchers.setdefault(service, set()).add(watcher)
        self._services_by_watcher.setdefault(watcher, set()).add(service)
        return MemberUpdate(
            service_name=service, full=True, members=self.members(service)
        )

    def unwatch(self, watcher: NodeId) -> None:
        """Remove all subscriptions of a node, for instance if its connection ends.

        :param watcher: the node
        """
        for service in self._services_by_watcher.pop(watcher, set()):
            self._watchers[service].discard(watcher)
            if not self._watchers[service]:
                del self._watchers[service]

    def tick(self) -> list[MemberPush]:
        """Remove members whose lease has expired.

        :return: updates for the watchers, with the state ``gone`` and the last
            announced incarnation and sequence of each removed member
        """
        now_ms = self._clock.now_ms()
        pushes: list[MemberPush] = []
        while self._expiry_heap and self._expiry_heap[0][0] <= now_ms:
            due_ms, server_id = heapq.heappop(self._expiry_heap)
            entry = self._entries.get(server_id)
            if entry is None or entry.due_ms != due_ms:
                continue  # superseded by an earlier check
            if entry.until_ms > now_ms:
                self._schedule(entry)
            elif _is_listed(entry.member):
                pushes += self._expire(entry)
            else:
                del self._entries[server_id]
        return pushes

    def next_expiry_ms(self) -> float | None:
        """Return when :meth:`tick` must next be called.

        :return: monotonic time in milliseconds, ``None`` if there are no entries
        """
        return self._expiry_heap[0][0] if self._expiry_heap else None

    @property
    def scheduled_check_count(self) -> int:
        """Number of scheduled checks; depends on the members, not on heartbeats."""
        return len(self._expiry_heap)

    def members(self, service: ServiceName) -> list[Member]:
        """Return the members of a service.

        :param service: name of the service
        :return: members ordered by id, draining ones included
        """
        listed = self._members_by_service.get(service, {})
        return [listed[server_id] for server_id in sorted(listed)]

    def services(self) -> list[ServiceName]:
        """Return the names of all services that have a member, in order."""
        return sorted(self._members_by_service)

    def _has_left(self, known: _Entry, message: RegisterServer) -> bool:
        """Return whether an announcement is of an incarnation that has deregistered.

        The node beside the server forgets departures when it restarts.
        """
        member = message.member
        if member.has_left or member.incarnation > known.member.incarnation:
            return False
        return self._clock.now_ms() < known.left_until_ms

    def _store(self, member: Member, order: tuple[int, int], keep_ms: float) -> _Entry:
        server_id = ServerId(member.server_id)
        until_ms = self._clock.now_ms() + keep_ms
        known = self._entries.get(server_id)
        entry = _Entry(member, order, until_ms, known.due_ms if known else math.inf)
        self._entries[server_id] = entry
        # A renewed lease keeps its scheduled check, so that heartbeats do not grow
        # the heap.
        if until_ms < entry.due_ms:
            self._schedule(entry)
        return entry

    def _schedule(self, entry: _Entry) -> None:
        entry.due_ms = entry.until_ms
        heapq.heappush(
            self._expiry_heap, (entry.due_ms, ServerId(entry.member.server_id))
        )

    def _expire(self, entry: _Entry) -> list[MemberPush]:
        pushes = self._remove(entry.member, entry.order)
        entry.member = copy.copy(entry.member)
        entry.member.state = ServerState.GONE.value
        entry.until_ms = self._clock.now_ms() + TOMBSTONE_RETENTION_MS
        self._schedule(entry)
        return pushes

    def _remove(self, member: Member, order: tuple[int, int]) -> list[MemberPush]:
        service = ServiceName(member.service_name)
        listed = self._members_by_service[service]
        del listed[ServerId(member.server_id)]
        if not listed:
            del self._members_by_service[service]
        gone = copy.copy(member)
        gone.state = ServerState.GONE.value
        gone.incarnation, gone.sequence = order
        return self._push(service, [gone])

    def _push(self, service: ServiceName, members: list[Member]) -> list[MemberPush]:
        update = MemberUpdate(service_name=service, full=False, members=members)
        watchers = sorted(self._watchers.get(service, ()))
        return [MemberPush(watcher, update) for watcher in watchers]


def _check(message: RegisterServer) -> ServerState:
    member = message.member
    try:
        state = ServerState(member.state)
    except ValueError:
        raise _error(member, f"unknown state {member.state[:80]!r}") from None
    if not member.server_id or not member.service_name:
        raise _error(member, "expected the id of a backend server and of its service")
    lease_ms = message.lease_ms
    if not math.isfinite(lease_ms) or not 0 < lease_ms <= LEASE_LIMIT_MS:
        raise _error(
            member, f"expected a lease up to {LEASE_LIMIT_MS} ms, found {lease_ms}"
        )
    return state


def _error(member: Member, problem: str) -> InvalidInputError:
    return InvalidInputError(problem, step="register server", peer=member.node_id)


def _is_listed(member: Member) -> bool:
    return bool(member.state != ServerState.GONE.value)


def _is_unchanged(before: Member, after: Member) -> bool:
    return all(
        getattr(before, name) == getattr(after, name) for name in COMPARED_FIELDS
    )
