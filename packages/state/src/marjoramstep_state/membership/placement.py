"""Choice of the replicas that hold the members of a service."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from marjoramstep_core.ids import ReplicaId
    from marjoramstep_core.ids import ServiceName

REPLICAS_PER_SERVICE = 2


def choose_replicas(
    service: ServiceName,
    replicas: Iterable[ReplicaId],
    count: int = REPLICAS_PER_SERVICE,
) -> list[ReplicaId]:
    """Choose the replicas of a service by rendezvous hash.

    Every process that knows the same replicas chooses the same ones. When a replica
    leaves, only the services that it held move.

    :param service: name of the service
    :param replicas: ids of all replicas
    :param count: number of replicas to choose
    :return: the chosen ones, best first; fewer if there are not enough
    """

    def score(replica: ReplicaId) -> tuple[bytes, str]:
        # A NUL byte cannot occur in a name, so that no two pairs hash alike.
        return hashlib.sha256(f"{service}\0{replica}".encode()).digest(), replica

    return sorted(set(replicas), key=score, reverse=True)[:count]
