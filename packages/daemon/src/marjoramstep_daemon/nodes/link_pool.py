"""Pool of connections to the nodes of called services."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_core.addresses import Address
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.states import ConnectionClass
from marjoramstep_core.states import Reason
from marjoramstep_core.states import SizeClass
from marjoramstep_wire.connection import PeerConnection
from marjoramstep_wire.connection import connect

from ..calls import Refused
from .link import NodeLink


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.clock import Clock
    from marjoramstep_wire.messages import Hello

    from ..calls import Call
    from ..calls import Reply
    from ..log import EventLog

RECONNECT_DELAY_MS = 200.0
# A call fails over to another member instead of waiting longer for a connection.
CONNECT_TIMEOUT_MS = 250.0
# Interval of the checks while calls are in flight.
CHECK_INTERVAL_SECONDS = 0.1
# How often a new connection is tried while the one in use is silent.
REPLACE_INTERVAL_SECONDS = 1.0
# A link without calls for this long is closed when another one opens, so that the
# connections of a node follow its calls and not the number of machines.
IDLE_LIMIT_MS = 30_000.0
LinkKey = tuple[Address, ConnectionClass]


class LinkPool:
    """Opens links on demand and shares each one among all calls to its node.

    :param key: shared key of the deployment
    :param make_hello: builds the hello message for a connection class
    :param clock: clock of the node
    :param table_version: returns the table version in force
    :param on_peer_version: called with each table version that a peer reports
    :param log: event log
    """

    def __init__(
        self,
        key: bytes,
        make_hello: Callable[[ConnectionClass], Hello],
        clock: Clock,
        table_version: Callable[[], int],
        on_peer_version: Callable[[int], None],
        log: EventLog,
    ) -> None:
        self._key = key
        self._make_hello = make_hello
        self._clock = clock
        self._table_version = table_version
        self._on_peer_version = on_peer_version
        self._log = log
        self._links: dict[LinkKey, NodeLink] = {}
        self._opening: dict[LinkKey, asyncio.Task[NodeLink]] = {}
        self._failed_at_ms: dict[LinkKey, float] = {}
        self._used_at_ms: dict[LinkKey, float] = {}
        self._replace_tried_seconds: dict[LinkKey, float] = {}
        # Replaced links whose last calls have not ended.
        self._retired: list[NodeLink] = []
        self._has_calls = asyncio.Event()
        self._closed_late_replies = 0

    @property
    def late_replies(self) -> int:
        """Number of messages for streams that are unknown or have ended."""
        links = [*self._links.values(), *self._retired]
        open_count = sum(link.late_replies for link in links)
        return open_count + self._closed_late_replies

    async def execute(self, address: Address, call: Call) -> Reply:
        """Execute a call at another node.

        :param address: the node's peer address
        :param call: the call
        :return: the node's reply; ``Refused`` if it cannot be reached
        """
        key = (address, _connection_class(call))
        link = self._links.get(key)
        if link is not None and link.is_unresponsive:
            return Refused(
                Reason.NO_SERVER, "the peer does not answer pings", call.retry_tokens
            )
        if link is None or not link.is_open:
            try:
                link = await self._open(key, call)
            except MarjoramstepError as error:
                return Refused(Reason.NO_SERVER, error.message, call.retry_tokens)
            except TimeoutError:
                return Refused(
                    Reason.NO_SERVER, "timed out while connecting", call.retry_tokens
                )
        self._used_at_ms[key] = self._clock.now_ms()
        self._has_calls.set()
        return await link.execute(call)

    async def run(self) -> None:
        """Check for unresponsive peers while calls are in flight, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._has_calls.wait()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if not self._check_links(loop.time()):
                self._has_calls.clear()

    def _check_links(self, now_seconds: float) -> bool:
        """Check all links once.

        :param now_seconds: time of the event loop
        :return: whether another check is needed
        """
        in_flight = 0
        has_silent = False
        for key, link in list(self._links.items()):
            in_flight += link.in_flight
            if link.check_liveness(now_seconds):
                self._log.write(
                    "peer is silent",
                    step="check links",
                    peer=f"{key[0][0]}:{key[0][1]}",
                    calls=link.in_flight,
                )
            if link.is_unresponsive:
                has_silent = True
                self._try_to_replace(key, now_seconds)
        if has_silent:
            self._close_idle_links()
        self._close_retired_links()
        return bool(in_flight or has_silent or self._retired)

    def _try_to_replace(self, key: LinkKey, now_seconds: float) -> None:
        """Open a new connection beside a silent one, which may be dead for good."""
        tried_seconds = self._replace_tried_seconds.get(key, float("-inf"))
        if key in self._opening:
            return
        if now_seconds - tried_seconds < REPLACE_INTERVAL_SECONDS:
            return
        self._replace_tried_seconds[key] = now_seconds
        self._opening_task(key).add_done_callback(_take_error)

    def _close_retired_links(self) -> None:
        ended = [link for link in self._retired if link.in_flight == 0]
        for link in ended:
            self._closed_late_replies += link.late_replies
            self._retired.remove(link)
            link.close()

    def retain(self, addresses: set[Address]) -> None:
        """Close idle links to nodes that are no longer members.

        :param addresses: addresses still in use
        """
        for key, link in list(self._links.items()):
            if key[0] not in addresses and link.in_flight == 0:
                self._close_link(key, link)

    def _close_idle_links(self) -> None:
        oldest_ms = self._clock.now_ms() - IDLE_LIMIT_MS
        for key, link in list(self._links.items()):
            if link.in_flight == 0 and self._used_at_ms.get(key, 0.0) < oldest_ms:
                self._close_link(key, link)

    def _close_link(self, key: LinkKey, link: NodeLink) -> None:
        self._closed_late_replies += link.late_replies
        del self._links[key]
        self._used_at_ms.pop(key, None)
        self._replace_tried_seconds.pop(key, None)
        link.close()

    def close(self) -> None:
        """Close all links."""
        for task in self._opening.values():
            task.cancel()
        for link in [*self._links.values(), *self._retired]:
            link.close()

    async def _open(self, key: LinkKey, call: Call) -> NodeLink:
        budget_ms = call.deadline_ms - self._clock.now_ms()
        wait_ms = max(min(budget_ms, CONNECT_TIMEOUT_MS), 0.0)
        async with asyncio.timeout(wait_ms / 1_000.0):
            return await asyncio.shield(self._opening_task(key))

    def _opening_task(self, key: LinkKey) -> asyncio.Task[NodeLink]:
        task = self._opening.get(key)
        if task is None:
            task = asyncio.create_task(self._connect(key))
            self._opening[key] = task
            task.add_done_callback(lambda _: self._opening.pop(key, None))
        return task

    async def _connect(self, key: LinkKey) -> NodeLink:
        waited_ms = self._clock.now_ms() - self._failed_at_ms.get(key, float("-inf"))
        if waited_ms < RECONNECT_DELAY_MS:
            await asyncio.sleep((RECONNECT_DELAY_MS - waited_ms) / 1_000.0)
        address, connection_class = key
        link = NodeLink(self._clock, self._table_version, self._on_peer_version)

        def make_connection() -> PeerConnection:
            return PeerConnection(
                self._key,
                self._make_hello(connection_class),
                True,  # is_client
                link.on_message,
                link.on_closed,
            )

        try:
            connection = await connect(address, make_connection)
        except MarjoramstepError as error:
            self._failed_at_ms[key] = self._clock.now_ms()
            self._log.write("connect failed", step=error.step, peer=error.peer)
            raise
        self._failed_at_ms.pop(key, None)
        link.attach(connection)
        self._on_peer_version(connection.peer_hello.table_version)
        self._close_idle_links()
        previous = self._links.get(key)
        if previous is not None:
            self._retired.append(previous)
            self._close_retired_links()
        self._links[key] = link
        self._used_at_ms[key] = self._clock.now_ms()
        return link


def _take_error(task: asyncio.Task[NodeLink]) -> None:
    """Take the error of a task that nobody awaits; it has been logged."""
    if not task.cancelled():
        task.exception()


def _connection_class(call: Call) -> ConnectionClass:
    if call.size_class is SizeClass.LONG or not call.body.is_complete:
        return ConnectionClass.BULK
    return ConnectionClass.INTERACTIVE
