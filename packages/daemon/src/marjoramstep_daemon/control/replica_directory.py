"""Which replicas a node connects to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.addresses import Address


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable


class ReplicaDirectory:
    """Addresses of the replicas that vote, merged from the lists of several replicas.

    A node connects to the voters only, so that its connections do not grow with the
    number of replicas. The addresses from the settings are used until the voters are
    known, and again while too few of them can be reached.

    :param configured: addresses from the settings
    """

    def __init__(self, configured: Iterable[Address]) -> None:
        self._configured = frozenset(configured)
        self._lists: dict[Address, frozenset[Address]] = {}

    def set_configured(self, addresses: Iterable[Address]) -> None:
        """Replace the addresses from the settings.

        :param addresses: peer addresses of replicas
        """
        self._configured = frozenset(addresses)

    def record_list(self, source: Address, addresses: Collection[Address]) -> None:
        """Record the voters that a replica knows; an empty list is ignored.

        :param source: address of the replica
        :param addresses: peer addresses of the voters
        """
        if addresses:
            self._lists[source] = frozenset(addresses)

    def expire_lists(self, open_addresses: Collection[Address]) -> None:
        """Discard the lists of replicas that cannot be reached, but for the last list.

        A lost replica would otherwise keep itself listed for ever.

        :param open_addresses: replicas with an open connection
        """
        if any(source in open_addresses for source in self._lists):
            self._lists = {
                source: addresses
                for source, addresses in self._lists.items()
                if source in open_addresses
            }

    def voters(self) -> frozenset[Address]:
        """Return the voters, or the configured addresses while none are known.

        The union of the latest list of each replica is used, so that a replica whose
        list is out of date cannot hide others.

        :return: peer addresses
        """
        listed = frozenset[Address]().union(*self._lists.values())
        return listed or self._configured

    def wanted(self, open_addresses: Collection[Address]) -> frozenset[Address]:
        """Return the replicas to connect to.

        :param open_addresses: replicas with an open connection
        :return: the voters; also the configured and the connected replicas while at
            most half of the voters are connected
        """
        voters = self.voters()
        reached = voters.intersection(open_addresses)
        if 2 * len(reached) > len(voters):
            return voters
        return voters | self._configured | frozenset(open_addresses)
