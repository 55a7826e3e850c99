"""Keeps calls in their availability zone while it has room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .router import ROUTERS
from .router import Router


if TYPE_CHECKING:
    from marjoramstep_core.ids import ServerId

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
    are taken, when it refuses, or when its calls are overdue; then the member with the
    lowest score of all zones is used.
    """

    def _choose(
        self, group: ServiceGroup, excluded: frozenset[ServerId], now_ms: float
    ) -> ServerRecord | None:
        reference_ms = group.reference_ms
        if group.local and group.remote and now_ms >= group.next_sample_ms:
            is_first = group.next_sample_ms == 0.0
            # Random, so that the nodes of a service do not sample together.
            spread = 1.0 + 0.5 * self._rng.random()
            group.next_sample_ms = now_ms + SAMPLE_INTERVAL_MS * spread
            if not is_first:
                return self._rng.choice(group.remote)
        near = self._draw(_left(group.local, excluded), now_ms, reference_ms)
        if near is not None and not near.is_pressed(now_ms):
            return near
        far = self._draw(_left(group.remote, excluded), now_ms, reference_ms)
        if near is None or far is None:
            return near or far or self._choose_any(group, excluded)
        if far.is_pressed(now_ms):
            near_score = near.score(now_ms, reference_ms)
            return near if near_score <= far.score(now_ms, reference_ms) else far
        return far


def _left(
    records: list[ServerRecord], excluded: frozenset[ServerId]
) -> list[ServerRecord]:
    if not excluded:
        return records
    return [record for record in records if record.member.server_id not in excluded]
