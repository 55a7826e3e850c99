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

from ..routing.route_member import RouteMember


if TYPE_CHECKING:
    from collections.abc import Iterable

    from marjoramstep_core.ids import ReplicaId
    from marjoramstep_wire.messages import Member
    from marjoramstep_wire.messages import MemberUpdate

# Tombstones kept for each service, so that a late update does not restore a removed
# member. A member whose tombstone was evicted can reappear until the next full update.
MAX_TOMBSTONES = 1024

# Incarnation, sequence, and whether the member is gone: at an equal sequence the end of
# a lease takes precedence over the announcement before it.
_Version = tuple[int, int, bool]

_STATES = {state.value: state for state in ServerState}


@dataclass
class _KnownMember:
    member: RouteMember
    version: _Version
    # Sources that have not listed the member since their last full update.
    absent_from: set[ReplicaId] = field(default_factory=set)


@dataclass
class _ServiceMembers:
    sources: set[ReplicaId] = field(default_factory=set)
    known: dict[ServerId, _KnownMember] = field(default_factory=dict)
    tombstones: OrderedDict[ServerId, _Version] = field(default_factory=OrderedDict)

    def remove(self, server_id: ServerId, version: _Version) -> None:
        """Remove a member and keep a tombstone with its version."""
        self.known.pop(server_id, None)
        self.tombstones[server_id] = version
        self.tombstones.move_to_end(server_id)
        if len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.popitem(last=False)


class MembershipView:
    """Last known members; nothing expires while the registry is unreachable.

    A member is removed only when a source reports it as gone with a version that is not
    older than the known one, or when the last full update of every known source of the
    service does not list it. Versions are compared by incarnation, then by sequence, so
    that duplicated and reordered updates have no effect.
    """

    def __init__(self) -> None:
        self._services: dict[ServiceName, _ServiceMembers] = {}

    def set_sources(self, service: ServiceName, sources: Iterable[ReplicaId]) -> None:
        """Set the registry replicas of a service, for example after they have changed.

        Members are kept; a source that is no longer listed does not prevent removals.

        :param service: name of the service
        :param sources: all registry replicas of the service
        """
        service_members = self._services.setdefault(service, _ServiceMembers())
        service_members.sources = set(sources)
        for known in service_members.known.values():
            known.absent_from &= service_members.sources

    def apply(self, update: MemberUpdate, source: ReplicaId) -> set[ServiceName]:
        """Apply a full or incremental update.

        :param update: the update; applied as a whole or not at all
        :param source: the registry replica that sent it; added to the sources
        :return: the service of the update if the result of :meth:`members` changed,
            else an empty set, for example after a heartbeat
        :raises InvalidInputError: if a member is invalid; the error names it
        """
        service = ServiceName(update.service_name)
        parsed = [_parse(raw, service, source) for raw in update.members]
        service_members = self._services.setdefault(service, _ServiceMembers())
        service_members.sources.add(source)
        changed = False
        for member, version in parsed:
            changed |= _apply_member(service_members, member, version, source)
        if update.full:
            listed = {member.server_id for member, _ in parsed}
            changed |= _apply_missing(service_members, listed, source)
        return {service} if changed else set()

    def members(self, service: ServiceName) -> list[RouteMember]:
        """Return the members of a service that are not gone.

        :param service: name of the service
        :return: members, empty for an unknown service
        """
        service_members = self._services.get(service)
        if service_members is None:
            return []
        return [known.member for known in service_members.known.values()]

    def services(self) -> list[ServiceName]:
        """Return the known services.

        :return: names of the services
        """
        return list(self._services)

    def remove_service(self, service: ServiceName) -> None:
        """Discard the state of a service that this node no longer calls.

        :param service: name of the service
        """
        self._services.pop(service, None)


def _parse(
    raw: Member, service: ServiceName, source: ReplicaId
) -> tuple[RouteMember, _Version]:
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
    service_members: _ServiceMembers,
    member: RouteMember,
    version: _Version,
    source: ReplicaId,
) -> bool:
    server_id = member.server_id
    tombstone = service_members.tombstones.get(server_id)
    if tombstone is not None:
        if version <= tombstone:
            return False
        del service_members.tombstones[server_id]
    known = service_members.known.get(server_id)
    if known is not None and version < known.version:
        # The source lists the member, although with an older version.
        known.absent_from.discard(source)
        return False
    if member.state is ServerState.GONE:
        service_members.remove(server_id, version)
        return known is not None
    if known is None:
        service_members.known[server_id] = _KnownMember(member, version)
        return True
    changed = known.member != member
    known.member = member
    known.version = version
    known.absent_from.discard(source)
    return changed


def _apply_missing(
    service_members: _ServiceMembers, listed: set[ServerId], source: ReplicaId
) -> bool:
    dropped = []
    for server_id, known in service_members.known.items():
        if server_id in listed:
            continue
        known.absent_from.add(source)
        if known.absent_from >= service_members.sources:
            dropped.append((server_id, known.version))
    for server_id, version in dropped:
        service_members.remove(server_id, version)
    return bool(dropped)
