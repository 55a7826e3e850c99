"""Zone-aware routing: keeps calls in their availability zone while it has capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .router import REMOTE_ZONE_FACTOR
from .router import ROUTERS
from .router import Router
from .server_pool import exclude_servers


if TYPE_CHECKING:
    from marjoramstep_core.ids import ServerId
    from marjoramstep_core.ids import ServiceName

    from .route_member import RouteMember
    from .server_pool import ServerPool
    from .server_record import ServerRecord


# Least interval between two calls that are sent to another zone to measure the latency
# there.
SAMPLE_INTERVAL_MS = 2_000.0
# With this number of members in the local zone, a slow one is compared with the others
# there. With fewer, one slow member moves the median, so other zones are sampled.
COMPARABLE_LOCAL_MEMBERS = 3


@ROUTERS.register("zone-first")
class ZoneFirstRouter(Router):
    """Prefers members of the local zone as long as they have capacity.

    An even spread over all zones adds inter-zone latency to most calls and gains
    nothing while the local zone has free slots. A local member is skipped when its
    slots are taken, when it refuses calls, or when its calls are overdue. A member of
    another zone is then used, unless it is saturated too and its score is not much
    better.
    """

    def pick(
        self,
        service: ServiceName,
        excluded: frozenset[ServerId],
        *,
        may_sample_remote: bool = False,
    ) -> RouteMember | None:
        """Choose a backend server, occasionally in another zone as a latency sample.

        :param service: name of the service
        :param excluded: servers that must not be chosen, such as those tried before
        :param may_sample_remote: whether the call may be sent to a remote zone to
            measure the latency there. Set it for calls with a short body and a
            comparable latency.
        :return: a ready member, or ``None`` if none is left
        """
        if may_sample_remote and not excluded:
            pool = self._pools.get(service)
            sample = None if pool is None else self._pick_sample(pool)
            if sample is not None:
                return sample.member
        return super().pick(service, excluded)

    def _pick_sample(self, pool: ServerPool) -> ServerRecord | None:
        now_ms = self._clock.now_ms()
        if not pool.local or not pool.remote or now_ms < pool.next_sample_ms:
            return None
        if len(pool.local) >= COMPARABLE_LOCAL_MEMBERS:
            return None
        # The first interval only starts the timer and takes no sample.
        is_first = pool.next_sample_ms == 0.0
        # Randomised, so that the nodes of a service do not sample at the same time.
        jitter = 1.0 + 0.5 * self._rng.random()
        pool.next_sample_ms = now_ms + SAMPLE_INTERVAL_MS * jitter
        return None if is_first else self._rng.choice(pool.remote)

    def _choose(
        self, pool: ServerPool, excluded: frozenset[ServerId], now_ms: float
    ) -> ServerRecord | None:
        reference_ms = pool.reference_ms
        local_choice = self._draw(
            exclude_servers(pool.local, excluded), now_ms, reference_ms
        )
        if local_choice is not None and not local_choice.is_saturated(now_ms):
            return local_choice
        remote_choice = self._draw(
            exclude_servers(pool.remote, excluded), now_ms, reference_ms
        )
        if local_choice is None or remote_choice is None:
            return local_choice or remote_choice or self._choose_any(pool, excluded)
        if remote_choice.is_saturated(now_ms):
            # If both are saturated, the better score must outweigh the latency between
            # the zones.
            limit = REMOTE_ZONE_FACTOR * remote_choice.score(now_ms, reference_ms)
            return (
                local_choice
                if local_choice.score(now_ms, reference_ms) <= limit
                else remote_choice
            )
        return remote_choice
