"""Choice of the replicas that keep the registry entries of a service."""

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
    """Choose the replicas of a service by rendezvous hashing.

    All processes that know the same replicas make the same choice. When a replica
    leaves, only the registry entries of its services
    move.

    :param service: name of the service
    :param replicas: ids of all replicas
    :param count: number of replicas to choose
    :return: the chosen replicas, highest score first; fewer if there are not enough
    """

    def score(replica: ReplicaId) -> tuple[bytes, str]:
        # A name has no NUL byte, so that distinct pairs have distinct hash inputs.
        return hashlib.sha256(f"{service}\0{replica}".encode()).digest(), replica

    return sorted(set(replicas), key=score, reverse=True)[:count]
