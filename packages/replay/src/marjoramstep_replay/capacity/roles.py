"""Cost of each role at the target size."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from . import target


if TYPE_CHECKING:
    from .figures import Figures

HEARTBEATS_PER_SECOND = 1.0
CONFIRMATIONS_PER_SECOND = 0.2
PINGS_PER_SECOND = 0.5
# IP and TCP headers of one small message.
PACKET_BYTES = 52
UPDATES_PER_RESTART = 2
MIB = 2**20
LINKS_PER_MEMBER = 2
MS_PER_CORE_PERCENT = 10.0


@dataclass(frozen=True)
class NodeCost:
    """Control cost of one node.

    :param members: members of the services that it calls
    """

    members: float
    state_mib: float
    memory_mib: float
    core_percent: float
    heartbeat_bytes: float
    confirmation_bytes: float
    ping_bytes: float
    change_bytes: float
    whole_table_bytes: float
    member_bytes: float

    @property
    def bytes_per_second(self) -> float:
        """All control traffic."""
        return (
            self.heartbeat_bytes
            + self.confirmation_bytes
            + self.ping_bytes
            + self.change_bytes
            + self.member_bytes
        )


@dataclass(frozen=True)
class ReplicaCost:
    """Cost of one of the replicas.

    :param nodes: nodes connected to it
    """

    nodes: float
    core_percent: float
    change_spread_seconds: float
    updates_per_second: float


@dataclass(frozen=True)
class ClaimCost:
    """Cost of the claims.

    :param share_carried: share of all calls that the groups carry today
    """

    per_second: float
    groups_needed: float
    share_carried: float
    records: float
    state_gb: float
    snapshot_seconds: float


def changes_per_second() -> float:
    """Return the rate of edits.

    :return: edits for each second
    """
    return target.CHANGES_PER_DAY / target.SECONDS_PER_DAY


def node_cost(figures: Figures) -> NodeCost:
    """Work out a node.

    :param figures: measured figures
    :return: its cost
    """
    members = target.SERVICES_CALLED_BY_A_NODE * target.NODES / target.SERVICES
    rows = target.SERVICES * target.ROWS_PER_SERVICE
    # As many links come in as go out.
    links = 2 * LINKS_PER_MEMBER * members
    state_bytes = (
        rows * figures.row_bytes
        + members * figures.member_bytes
        + links * figures.connection_bytes
    )
    frames = {name: size + PACKET_BYTES for name, size in figures.frame_bytes.items()}
    replicas = target.REPLICAS_PER_GROUP
    changes = changes_per_second()
    restarts = target.RESTARTS_PER_DAY / target.SECONDS_PER_DAY
    watched_share = target.SERVICES_CALLED_BY_A_NODE / target.SERVICES
    core_ms = figures.node_idle_ms + changes * figures.node_change_ms
    return NodeCost(
        members=members,
        state_mib=state_bytes / MIB,
        memory_mib=figures.node_mib + state_bytes / MIB,
        core_percent=core_ms / MS_PER_CORE_PERCENT,
        heartbeat_bytes=HEARTBEATS_PER_SECOND
        * target.REGISTRY_COPIES
        * (frames["register"] + frames["register_reply"]),
        confirmation_bytes=CONFIRMATIONS_PER_SECOND
        * replicas
        * (frames["table_get"] + frames["table_reply_same"]),
        ping_bytes=PINGS_PER_SECOND * replicas * 2 * frames["ping"],
        change_bytes=changes
        * replicas
        * (frames["table_notice"] + frames["table_get"] + frames["table_reply_delta"]),
        whole_table_bytes=changes * frames["table_reply_whole"],
        member_bytes=restarts
        * watched_share
        * UPDATES_PER_RESTART
        * target.REGISTRY_COPIES
        * frames["member_update"],
    )


def replica_cost(figures: Figures) -> ReplicaCost:
    """Work out one of the replicas when all nodes are spread over all groups.

    :param figures: measured figures
    :return: its cost
    """
    nodes = target.NODES * target.REPLICAS_PER_GROUP / target.CONTROL_VMS
    changes = changes_per_second()
    core_ms = (
        figures.replica_idle_ms
        + nodes * figures.replica_node_ms
        + changes * nodes * figures.replica_node_change_ms
    )
    watchers = target.NODES * target.SERVICES_CALLED_BY_A_NODE / target.SERVICES
    updates = (
        target.RESTARTS_PER_DAY
        / target.SECONDS_PER_DAY
        * UPDATES_PER_RESTART
        * target.REGISTRY_COPIES
        * watchers
        / target.CONTROL_VMS
    )
    return ReplicaCost(
        nodes=nodes,
        core_percent=core_ms / MS_PER_CORE_PERCENT,
        change_spread_seconds=nodes * figures.replica_node_change_ms / 1_000.0,
        updates_per_second=updates,
    )


def claim_cost(figures: Figures) -> ClaimCost:
    """Work out the claims.

    :param figures: measured figures
    :return: their cost
    """
    per_second = target.CALLS_PER_SECOND * target.CLAIM_SHARE
    # A claim and its end are one entry each; the measured rate is of claims alone.
    pairs_per_group = figures.claims_per_second / 2
    groups = target.CONTROL_VMS / target.REPLICAS_PER_GROUP
    records = per_second * target.SECONDS_PER_DAY
    return ClaimCost(
        per_second=per_second,
        groups_needed=per_second / pairs_per_group,
        share_carried=groups * pairs_per_group / target.CALLS_PER_SECOND,
        records=records,
        state_gb=records * figures.snapshot_bytes_per_claim / 1e9,
        snapshot_seconds=records / groups * figures.snapshot_ms_per_claim / 1_000.0,
    )
