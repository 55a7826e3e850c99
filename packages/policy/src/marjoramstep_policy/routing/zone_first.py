"""Keeps calls in their availability zone while it has room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .router import REMOTE_ZONE_FACTOR
from .router import ROUTERS
from .router import Router
from .service_group import without


if TYPE_CHECKING:
    from marjoramstep_core.ids import ServerId
    from marjoramstep_core.ids import ServiceName

    from .members import RouteMember
    from .server_state import ServerRecord
    from .service_group import ServiceGroup


# At most one call in this time goes to another zone to show what it takes there.
# Without it, nothing could be compared with a slow server in the own zone.
SAMPLE_INTERVAL_MS = 2_000.0


@ROUTERS.register("zone-first")
class ZoneFirstRouter(Router):
    """Leaves the own zone only for a reason.

    Spreading evenly over all zones costs a way between zones for most calls and gains
    nothing while the own zone has free slots. A member is passed over when its slots
    are taken, when it refuses, or when its calls are overdue; then a member of another
    zone is used, unless that one is pressed too and not much better.
    """

    def pick(
        self,
        service: ServiceName,
        excluded: frozenset[ServerId],
        *,
        may_sample: bool = False,
    ) -> RouteMember | None:
        """Choose a backend server, now and then one of another zone as a sample.

        :param service: name of the service
        :param excluded: servers that must not be chosen, such as those tried before
        :param may_sample: whether the call is small and its latency is comparable
        :return: a ready member, or ``None`` if none is left
        """
        if may_sample and not excluded:
            group = self._groups.get(service)
            sampled = None if group is None else self._sample(group)
            if sampled is not None:
                return sampled.member
        return super().pick(service, excluded)

    def _sample(self, group: ServiceGroup) -> ServerRecord | None:
        now_ms = self._clock.now_ms()
        if not group.local or not group.remote or now_ms < group.next_sample_ms:
            return None
        is_first = group.next_sample_ms == 0.0
        # Random, so that the nodes of a service do not sample together.
        spread = 1.0 + 0.5 * self._rng.random()
        group.next_sample_ms = now_ms + SAMPLE_INTERVAL_MS * spread
        return None if is_first else self._rng.choice(group.remote)

    def _choose(
        self, group: ServiceGroup, excluded: frozenset[ServerId], now_ms: float
    ) -> ServerRecord | None:
        reference_ms = group.reference_ms
        near = self._draw(without(group.local, excluded), now_ms, reference_ms)
        if near is not None and not near.is_pressed(now_ms):
            return near
        far = self._draw(without(group.remote, excluded), now_ms, reference_ms)
        if near is None or far is None:
            return near or far or self._choose_any(group, excluded)
        if far.is_pressed(now_ms):
            # Where all are pressed, a way between zones must gain more than it costs.
            limit = REMOTE_ZONE_FACTOR * far.score(now_ms, reference_ms)
            return near if near.score(now_ms, reference_ms) <= limit else far
        return far
