"""A node with its listeners, background tasks and shutdown."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_core.states import ServerState

from .http.server import HttpServer
from .loop_delay_monitor import LoopDelayMonitor
from .nodes.session import NodeSession
from .operators.metrics_app import make_metrics_app
from .peer_listener import ConnectionPurpose


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import ZoneName
    from marjoramstep_wire.connection import PeerConnection

    from .adapter import Adapter
    from .backend_servers.admission_gate import AdmissionGate
    from .backend_servers.at_most_once_runner import AtMostOnceRunner
    from .backend_servers.call_executor import CallExecutor
    from .backend_servers.in_flight import InFlightMap
    from .backend_servers.local_server import LocalServer
    from .callers.entry import EntryService
    from .callers.listener import CallerListener
    from .control.control_client import ControlClient
    from .control.quarantine_client import QuarantineClient
    from .control.table_store import TableStore
    from .log import EventLog
    from .metrics import NodeMetrics
    from .nodes.link_pool import LinkPool
    from .peer_listener import PeerListener
    from .request_progress import ProgressTracker
    from .settings import NodeSettings
    from .settings import Settings

CHECK_INTERVAL_SECONDS = 0.5
DRAIN_POLL_SECONDS = 0.05
SECOND_MS = 1_000.0
# Time to send the last answers before the sockets are closed.
FLUSH_SECONDS = 0.2


@dataclass
class Node:
    """All components of a process in the role ``node``."""

    settings: Settings
    node_settings: NodeSettings
    zone: ZoneName
    clock: Clock
    log: EventLog
    tables: TableStore
    local_server: LocalServer
    gate: AdmissionGate
    in_flight: InFlightMap
    at_most_once_runner: AtMostOnceRunner
    call_executor: CallExecutor
    entry: EntryService
    listener: CallerListener
    links: LinkPool
    control: ControlClient
    metrics: NodeMetrics
    quarantine: QuarantineClient
    adapter: Adapter
    tracker: ProgressTracker

    def __post_init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []
        self._sessions: set[NodeSession] = set()
        self._is_shutting_down = False
        self._loop_delay_monitor = LoopDelayMonitor(self.log)
        body_timeout_ms = self.settings.api_body_timeout_ms
        self._announce_server = HttpServer(
            self.adapter.make_announce_app(self.local_server, self.log), body_timeout_ms
        )
        ready_app = self.adapter.make_ready_app(self.is_ready)
        self._ready_server = (
            None if ready_app is None else HttpServer(ready_app, body_timeout_ms)
        )
        self._metrics_server = HttpServer(
            make_metrics_app(self.metrics, self.status, self.is_ready), body_timeout_ms
        )
        self.local_server.on_change = self._on_server_change
        self.metrics.set_gauges(self._gauges)

    async def start(
        self, listener: PeerListener, peer_address: tuple[str, int]
    ) -> dict[str, tuple[str, int]]:
        """Bind all addresses and start the background tasks.

        :param listener: listener for other nodes, already started
        :param peer_address: its bound address
        :return: bound addresses by name
        :raises OSError: if an address cannot be bound
        """
        self.local_server.peer_address = peer_address
        listener.accept_connections(ConnectionPurpose.CALLS, self._open_session)
        bound = {
            "caller": await self.listener.start(self.node_settings.caller_address),
            "announce": await self._announce_server.start(
                self.node_settings.announce_address
            ),
            "metrics": await self._metrics_server.start(
                self.node_settings.metrics_address
            ),
        }
        if self._ready_server is not None and self.node_settings.ready_address:
            bound["ready"] = await self._ready_server.start(
                self.node_settings.ready_address
            )
        self._tasks = [
            asyncio.create_task(self.control.run()),
            asyncio.create_task(self._check_periodically()),
            asyncio.create_task(self.links.run()),
            asyncio.create_task(self._loop_delay_monitor.run()),
        ]
        return bound

    def status(self) -> dict[str, Any]:
        """Return the state of the node.

        :return: values for JSON
        """
        load = self.gate.load()
        announcement = self.local_server.announcement
        return {
            "process_id": self.settings.process_id,
            "zone": self.settings.zone,
            "table_version": self.tables.version,
            # The age is infinite if the table was never confirmed, and JSON has no
            # infinity.
            "table_age_ms": min(self.tables.age_ms(), 1e12),
            "service": None if announcement is None else announcement.service,
            "server_state": self.local_server.state.value,
            "in_flight": load.in_flight,
            "limit": load.limit,
            "queue_length": load.queue_length,
            "queue_delay_ms": load.queue_delay_ms,
            "admitted_weight": load.admitted_weight,
            "quarantined": self.quarantine.count(),
            "requests_in_progress": self.entry.in_progress,
            "shutting_down": self.call_executor.is_shutting_down,
        }

    def is_ready(self) -> bool:
        """Check whether the node should receive requests from callers.

        :return: whether it has a table and is not shutting down
        """
        return self.tables.has_table and not self._is_shutting_down

    async def linger(self) -> None:
        """Continue to serve for a while, so that callers can switch to other nodes."""
        self._is_shutting_down = True
        self.listener.announce_close()
        await asyncio.sleep(self.node_settings.shutdown_linger_ms / SECOND_MS)

    def begin_shutdown(self) -> None:
        """Refuse new work; requests in flight continue."""
        self._is_shutting_down = True
        self.entry.is_shutting_down = True
        self.call_executor.is_shutting_down = True
        self.local_server.start_draining()

    async def drain(self) -> None:
        """Wait until nothing is in flight and all ends of claims are recorded.

        An end that the replicas do not record in time is given up.
        """
        while self._has_unfinished_answers():
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        while len(self.in_flight):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        await self.at_most_once_runner.wait_until_idle()
        await asyncio.sleep(FLUSH_SECONDS)

    def _has_unfinished_answers(self) -> bool:
        return self.listener.has_unsent_answers() or any(
            session.in_progress for session in self._sessions
        )

    def interrupted_requests(self) -> list[str]:
        """Return the requests that a forced shutdown interrupts.

        :return: request keys of the requests that run at the local backend server or
            whose answers have not been sent to their end
        """
        running = [call.request_key for call in self.in_flight.calls()]
        return list(dict.fromkeys([*running, *self.listener.in_progress()]))

    async def end_unanswered(self) -> None:
        """Give each request that still runs a final answer, and send all answers."""
        self.listener.end_unanswered()
        await asyncio.sleep(FLUSH_SECONDS)

    async def close(self) -> None:
        """Close all sockets and cancel the background tasks."""
        await self.listener.stop_listening()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.listener.close()
        self.links.close()
        await self._announce_server.close()
        await self._metrics_server.close()
        if self._ready_server is not None:
            await self._ready_server.close()
        await self.local_server.close()

    def _open_session(self, connection: PeerConnection) -> NodeSession:
        self.tables.record_version(connection.peer_hello.table_version)
        session = NodeSession(
            connection,
            self.call_executor,
            self.tables,
            self.clock,
            self.log,
            self._sessions.discard,
            self.tracker,
        )
        self._sessions.add(session)
        return session

    def _on_server_change(self) -> None:
        announcement = self.local_server.announcement
        if announcement is not None:
            self.gate.set_slots(announcement.slots)
        self.control.register()

    async def _check_periodically(self) -> None:
        while True:
            self.local_server.check_announcement_age()
            self.tracker.log_overdue(self.log)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _gauges(self) -> dict[str, float]:
        load = self.gate.load()
        return {
            "in_flight": load.in_flight,
            "concurrency_limit": load.limit,
            "queue_length": load.queue_length,
            "queue_delay_ms": load.queue_delay_ms,
            "admitted_weight": load.admitted_weight,
            "table_version": self.tables.version,
            "late_replies": self.links.late_replies,
            "quarantined": self.quarantine.count(),
            "server_ready": float(self.local_server.state is ServerState.READY),
            **self.tracker.gauges(),
            **self._loop_delay_monitor.gauges(),
        }
