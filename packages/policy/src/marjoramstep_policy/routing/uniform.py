"""Router that picks among the ready members at random."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .router import ROUTERS
from .router import Router
from .service_group import without


if TYPE_CHECKING:
    from marjoramstep_core.ids import ServerId
    from marjoramstep_core.ids import ServiceName

    from .members import RouteMember


@ROUTERS.register("uniform")
class UniformRouter(Router):
    """Baseline for comparison: picks each ready member with equal probability."""

    def pick(
        self,
        service: ServiceName,
        excluded: frozenset[ServerId],
        *,
        may_sample: bool = False,
    ) -> RouteMember | None:
        """Choose a ready member at random.

        :return: a ready member, or ``None`` if none is left
        """
        group = self._groups.get(service)
        if group is None:
            return None
        now_ms = self._clock.now_ms()
        if now_ms >= group.next_refresh_ms:
            group.refresh(now_ms)
        ready = without(group.ready, excluded) if excluded else group.ready
        return self._rng.choice(ready).member if ready else None
