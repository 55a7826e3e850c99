"""Router that picks among the ready members at random."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .router import ROUTERS
from .router import Router
from .server_pool import exclude_servers


if TYPE_CHECKING:
    from marjoramstep_core.ids import ServerId
    from marjoramstep_core.ids import ServiceName

    from .route_member import RouteMember


@ROUTERS.register("uniform")
class UniformRouter(Router):
    """Baseline for comparison: picks each ready member with equal probability."""

    def pick(
        self,
        service: ServiceName,
        excluded: frozenset[ServerId],
        *,
        may_sample_remote: bool = False,
    ) -> RouteMember | None:
        """Choose a ready member at random.

        :return: a ready member, or ``None`` if none is left
        """
        pool = self._pools.get(service)
        if pool is None:
            return None
        now_ms = self._clock.now_ms()
        if now_ms >= pool.next_refresh_ms:
            pool.refresh(now_ms)
        ready = exclude_servers(pool.ready, excluded) if excluded else pool.ready
        return self._rng.choice(ready).member if ready else None
