"""Members of services, merged from the updates of several registry replicas."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import NodeId
from marjoramstep_core.ids import ServerId
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.ids import ZoneName
from marjoramstep_core.states import ServerState

from ..routing.members import RouteMember


if TYPE_CHECKING:
    from collections.abc import Iterable

    from marjoramstep_core.ids import ReplicaId
    from marjoramstep_wire.messages import Member
    from marjoramstep_wire.messages import MemberUpdate

# Dropped members whose order is remembered for each service, against late updates. A
# forgotten one can reappear from a late update until the next full update.
MAX_TOMBSTONES = 1024

# Incarnation, sequence, and whether the member is gone: at an equal sequence the end of
# a lease beats the announcement that it follows.
Order = tuple[int, int, bool]

_STATES = {state.value: state for state in ServerState}


@dataclass
class _Known:
    member: RouteMember
    order: Order
    # Sources whose last full update lacked the member.
    missing_at: set[ReplicaId] = field(default_factory=set)


@dataclass
class _Service:
    sources: set[ReplicaId] = field(default_factory=set)
    known: dict[ServerId, _Known] = field(default_factory=dict)
    tombstones: OrderedDict[ServerId, Order] = field(default_factory=OrderedDict)

    def bury(self, server_id: ServerId, order: Order) -> None:
        """Drop a member and remember its order."""
        self.known.pop(server_id, None)
        self.tombstones[server_id] = order
        self.tombstones.move_to_end(server_id)
        if len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.popitem(last=False)


class MembershipView:
    """Last-known members; nothing expires when the registry is lost.

    A member is dropped only when a source reports it as gone with an order that is not
    older than the known one, or when the last full update of every source known for the
    service lacks it. Orders are compared by incarnation, then by sequence, so repeated
    and reordered updates change nothing.
    """

    def __init__(self) -> None:
        self._services: dict[ServiceName, _Service] = {}

    def set_sources(self, service: ServiceName, sources: Iterable[ReplicaId]) -> None:
        """Name the registry replicas of a service, such as after a change of them.

        Members stay as they are; a source that left no longer holds back a drop.

        :param service: name of the service
        :param sources: all registry replicas of the service
        """
        entry = self._services.setdefault(service, _Service())
        entry.sources = set(sources)
        for known in entry.known.values():
            known.missing_at &= entry.sources

    def apply(self, update: MemberUpdate, source: ReplicaId) -> set[ServiceName]:
        """Apply a full or incremental update.

        :param update: the message; applied as a whole or not at all
        :param source: the registry replica that sent it; added to the sources
        :return: services whose visible members changed, empty for mere heartbeats
        :raises InvalidInputError: names the faulty member
        """
        service = ServiceName(update.service_name)
        arrivals = [_parse(raw, service, source) for raw in update.members]
        entry = self._services.setdefault(service, _Service())
        entry.sources.add(source)
        changed = False
        for member, order in arrivals:
            changed |= _apply_member(entry, member, order, source)
        if update.full:
            listed = {member.server_id for member, _ in arrivals}
            changed |= _apply_absences(entry, listed, source)
        return {service} if changed else set()

    def members(self, service: ServiceName) -> list[RouteMember]:
        """Return the members of a service in all states but gone.

        :param service: name of the service
        :return: members, empty for an unknown service
        """
        entry = self._services.get(service)
        if entry is None:
            return []
        return [known.member for known in entry.known.values()]

    def services(self) -> list[ServiceName]:
        """Return the services known.

        :return: names of services
        """
        return list(self._services)

    def forget(self, service: ServiceName) -> None:
        """Drop a service that this node no longer calls.

        :param service: name of the service
        """
        self._services.pop(service, None)


def _parse(
    raw: Member, service: ServiceName, source: ReplicaId
) -> tuple[RouteMember, Order]:
    fault = ""
    if not raw.server_id:
        fault = "has no server id"
    elif raw.service_name != service:
        fault = f"belongs to service {raw.service_name!r}, expected {service!r}"
    elif raw.state not in _STATES:
        fault = f"has the unknown state {raw.state!r}"
    elif raw.slots < 1 and raw.state != ServerState.GONE.value:
        fault = f"has {raw.slots} slots, expected at least 1"
    if fault:
        raise InvalidInputError(
            f"member {raw.server_id!r} {fault}",
            step="apply member update",
            peer=source,
        )
    member = RouteMember(
        server_id=ServerId(raw.server_id),
        node_id=NodeId(raw.node_id),
        address=raw.address,
        zone=ZoneName(raw.zone),
        slots=raw.slots,
        connections=raw.connections,
        state=_STATES[raw.state],
        incarnation=raw.incarnation,
    )
    is_gone = member.state is ServerState.GONE
    return member, (raw.incarnation, raw.sequence, is_gone)


def _apply_member(
    entry: _Service, member: RouteMember, order: Order, source: ReplicaId
) -> bool:
    server_id = member.server_id
    buried = entry.tombstones.get(server_id)
    if buried is not None:
        if order <= buried:
            return False
        del entry.tombstones[server_id]
    known = entry.known.get(server_id)
    if known is not None and order < known.order:
        # The source lists the member, if only with an older order.
        known.missing_at.discard(source)
        return False
    if member.state is ServerState.GONE:
        entry.bury(server_id, order)
        return known is not None
    if known is None:
        entry.known[server_id] = _Known(member, order)
        return True
    changed = known.member != member
    known.member = member
    known.order = order
    known.missing_at.discard(source)
    return changed


def _apply_absences(entry: _Service, listed: set[ServerId], source: ReplicaId) -> bool:
    dropped = []
    for server_id, known in entry.known.items():
        if server_id in listed:
            continue
        known.missing_at.add(source)
        if known.missing_at >= entry.sources:
            dropped.append((server_id, known.order))
    for server_id, order in dropped:
        entry.bury(server_id, order)
    return bool(dropped)
