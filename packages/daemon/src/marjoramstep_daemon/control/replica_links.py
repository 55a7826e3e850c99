"""Connections from this replica to the other replicas."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_core.addresses import split_address
from marjoramstep_core.errors import MarjoramstepError

from .control_link import ControlLink


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_consensus.replica_core import ReplicaCore
    from marjoramstep_core.addresses import Address
    from marjoramstep_core.ids import ReplicaId
    from marjoramstep_core.states import ConnectionClass
    from marjoramstep_wire.messages import Hello
    from marjoramstep_wire.messages import Message

    from ..log import EventLog


class ReplicaLinks:
    """Owns a link to each other replica; a message without an open link is lost.

    :param own_address: peer address of this process
    :param configured_addresses: addresses of replicas from the settings, used to ask
        for admission
    :param key: the deployment's key
    :param make_hello: builds a hello for a connection class
    :param log: event log
    """

    def __init__(
        self,
        own_address: Address,
        configured_addresses: tuple[Address, ...],
        key: bytes,
        make_hello: Callable[[ConnectionClass], Hello],
        log: EventLog,
    ) -> None:
        self._own_address = own_address
        self._key = key
        self._make_hello = make_hello
        self._log = log
        self._links: dict[Address, ControlLink] = {}
        self._tasks: dict[Address, asyncio.Task[None]] = {}
        for address in configured_addresses:
            self._get_or_open_link(address)

    def send(self, receiver: ReplicaId, message: Message, core: ReplicaCore) -> None:
        """Send a message, which is lost if the receiver cannot be reached.

        :param receiver: id of the replica
        :param message: the message
        :param core: has the addresses of members and of replicas that ask to join
        """
        known = {**core.pending_joins, **core.membership.members}
        link = self._find_link(receiver, known.get(receiver, ""))
        # A replica whose data folder was emptied has a new id at the old address, and
        # must not receive messages for the old id.
        if link is not None and link.may_reach(receiver):
            self._try_send(link, message)

    def broadcast(self, message: Message) -> None:
        """Send a message to all known replicas.

        :param message: the message
        """
        for address, link in self._links.items():
            if address != self._own_address:
                self._try_send(link, message)

    def add_address(self, address_text: str) -> None:
        """Open a link to a replica whose address became known.

        :param address_text: peer address ``ip:port``, empty for none
        """
        if address_text:
            self._get_or_open_link(split_address(address_text))

    async def close(self) -> None:
        """Close all links."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _find_link(self, receiver: ReplicaId, address_text: str) -> ControlLink | None:
        if address_text:
            return self._get_or_open_link(split_address(address_text))
        # While this replica is being admitted, its log has no members, so the address
        # of the leader is not known. It must still answer, over the link with the
        # leader's id.
        for link in self._links.values():
            if link.peer_id == receiver:
                return link
        return None

    def _get_or_open_link(self, address: Address) -> ControlLink:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = ControlLink(
                address,
                self._key,
                self._make_hello,
                lambda _: None,
                lambda _link, _message: None,
                self._log,
            )
            # The settings may list the own address; its link is never opened.
            if address != self._own_address:
                self._tasks[address] = asyncio.create_task(link.run())
        return link

    def _try_send(self, link: ControlLink, message: Message) -> None:
        if not link.is_open:
            return
        try:
            link.send(message)
        except MarjoramstepError as error:
            self._log.write("message not sent", step=error.step, peer=error.peer)
