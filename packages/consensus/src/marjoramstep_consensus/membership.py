"""Voters and learners of the replicated log."""

from __future__ import annotations

import json
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.ids import ReplicaId


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


@dataclass(frozen=True)
class Membership:
    """Voters, and learners that receive the log but do not vote.

    :param voters: peer address ``ip:port`` of each replica that votes
    :param learners: peer address of each replica that is catching up
    """

    voters: Mapping[ReplicaId, str] = field(default_factory=dict)
    learners: Mapping[ReplicaId, str] = field(default_factory=dict)

    @property
    def members(self) -> dict[ReplicaId, str]:
        """Return voters and learners with their addresses."""
        return {**self.voters, **self.learners}

    @property
    def quorum_size(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def has_quorum(self, replicas: Iterable[ReplicaId]) -> bool:
        """Return whether replicas include a majority of the voters.

        :param replicas: replica ids; those that are not voters are ignored
        :return: whether the voters among them form a majority
        """
        count = len(set(replicas) & set(self.voters))
        return bool(self.voters) and count >= self.quorum_size

    def quorum_value(self, values: Mapping[ReplicaId, float]) -> float:
        """Return the highest value that a majority of the voters has reached.

        :param values: value of each voter; a missing voter counts as minus infinity
        :return: the value, or minus infinity
        """
        unreached = float("-inf")
        ordered = sorted((values.get(v, unreached) for v in self.voters), reverse=True)
        return ordered[self.quorum_size - 1] if ordered else unreached

    def with_learner(self, replica_id: ReplicaId, address: str) -> Membership:
        """Return the membership with one more learner."""
        return Membership(self.voters, {**self.learners, replica_id: address})

    def with_promoted(self, replica_id: ReplicaId) -> Membership:
        """Return the membership with a learner promoted to voter."""
        learners = dict(self.learners)
        address = learners.pop(replica_id)
        return Membership({**self.voters, replica_id: address}, learners)

    def without(self, replica_id: ReplicaId) -> Membership:
        """Return the membership without a replica."""
        voters = {k: v for k, v in self.voters.items() if k != replica_id}
        learners = {k: v for k, v in self.learners.items() if k != replica_id}
        return Membership(voters, learners)

    def to_bytes(self, time_ms: int = 0) -> bytes:
        """Encode the membership as JSON.

        :param time_ms: log time of a snapshot in Unix milliseconds; it is encoded here
            because ``SnapshotPart`` and the snapshot file have no field for it
        :return: UTF-8 bytes
        """
        document = {
            "voters": dict(self.voters),
            "learners": dict(self.learners),
            "time_ms": time_ms,
        }
        return json.dumps(document, sort_keys=True).encode()

    @classmethod
    def from_bytes(cls, data: bytes, source: str) -> tuple[Membership, int]:
        """Decode a membership and the log time beside it.

        :param data: bytes that :meth:`to_bytes` returned
        :param source: source of the bytes, for the error message
        :return: the membership and the log time in Unix milliseconds
        :raises ProtocolError: if the bytes are not an encoded membership
        """
        try:
            document = json.loads(data)
            parts = [
                {ReplicaId(str(k)): str(v) for k, v in document[name].items()}
                for name in ("voters", "learners")
            ]
            return cls(*parts), int(document["time_ms"])
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise ProtocolError(
                f"membership cannot be decoded: {error}",
                step="decode membership",
                peer=source,
            ) from error
