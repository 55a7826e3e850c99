"""Start, settings reload and shutdown of a daemon process."""

from __future__ import annotations

import asyncio
import gc
import signal
from dataclasses import asdict
from typing import TYPE_CHECKING

from marjoramstep_core.clock import SystemClock
from marjoramstep_core.ids import ZoneName
from marjoramstep_core.states import Role
from marjoramstep_wire.handshake import make_hello

from .log import EventLog
from .peer_listener import PeerListener
from .settings_watcher import SettingsWatcher


if TYPE_CHECKING:
    from pathlib import Path

    from marjoramstep_core.states import ConnectionClass
    from marjoramstep_wire.messages import Hello

    from .control.control_process import ControlProcess
    from .node import Node
    from .settings import Settings

SECOND_MS = 1_000.0
EXIT_FORCED_SHUTDOWN = 1
# Thresholds of the three generations, the youngest first. With the defaults of CPython
# 3.11 (700, 10, 10), full collections of the heap delay many calls.
GC_THRESHOLDS = (20_000, 20, 50)


class Daemon:
    """One process with the roles that its settings name.

    :param settings: checked settings
    :param settings_file: reloaded when it changes, which applies new control addresses
        and a new shutdown limit; None to never reload
    """

    def __init__(self, settings: Settings, settings_file: Path | None = None) -> None:
        self._settings = settings
        self._settings_watcher = SettingsWatcher(settings_file)
        self._clock = SystemClock()
        self._log = EventLog(self._clock, settings.process_id)
        self._node: Node | None = None
        self._control: ControlProcess | None = None
        self._signals: asyncio.Queue[str] = asyncio.Queue()
        self._settings_watcher_task: asyncio.Task[None] | None = None

    async def run(self) -> int:
        """Run until a signal or a failure.

        :return: exit status
        :raises OSError: if an address cannot be bound
        :raises MarjoramstepError: if the data folder cannot be used
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._signals.put_nowait, number.name)
        loop.add_signal_handler(signal.SIGHUP, self._reload, "SIGHUP")
        listener = PeerListener(
            self._settings.deployment_key, self._make_hello, self._log
        )
        peer = await listener.start(self._settings.peer_address)
        bound = {"peer": peer}
        try:
            await self._start_roles(listener, peer, bound)
            self._log_build(loop)
            self._log.write(
                "listening",
                step="start",
                **{name: f"{host}:{port}" for name, (host, port) in bound.items()},
            )
            _configure_garbage_collector()
            self._settings_watcher_task = asyncio.create_task(
                self._settings_watcher.run(self._reload)
            )
            await self._wait_for_stop()
            return await self._shut_down()
        finally:
            if self._settings_watcher_task is not None:
                self._settings_watcher_task.cancel()
            listener.close()
            if self._node is not None:
                await self._node.close()
            if self._control is not None:
                await self._control.close()

    async def _start_roles(
        self,
        listener: PeerListener,
        peer: tuple[str, int],
        bound: dict[str, tuple[str, int]],
    ) -> None:
        # Each role is imported only where it runs, to save memory and start time.
        if Role.CONTROL in self._settings.roles:
            from .control.control_process import ControlProcess

            self._control = ControlProcess(
                self._settings, self._clock, self._log, listener, peer
            )
            bound.update(await self._control.start())
        if Role.NODE in self._settings.roles:
            from .factory import NodeFactory

            self._node = NodeFactory(self._settings, self._clock, self._log).build()
            bound.update(await self._node.start(listener, peer))

    def _log_build(self, loop: asyncio.AbstractEventLoop) -> None:
        # Imported late: the HTTP library takes long to import.
        from .build_info import describe_build

        build = describe_build(type(loop).__module__)
        self._log.write("build", step="start", **asdict(build))

    def _make_hello(self, connection_class: ConnectionClass) -> Hello:
        # The accepting side identifies itself by the process id. A control replica uses
        # its replica id, which differs from the process id after the loss of its disk.
        if self._node is None and self._control is not None:
            return self._control.make_hello(connection_class)
        version = 0 if self._node is None else self._node.tables.version
        role = Role.NODE if self._node is not None else Role.CONTROL
        return make_hello(
            self._settings.process_id,
            role,
            ZoneName(self._settings.zone),
            version,
            connection_class,
        )

    def _reload(self, cause: str) -> None:
        settings = self._settings_watcher.read(self._log, cause)
        if settings is None or settings == self._settings:
            return
        if self._node is not None:
            self._node.control.set_configured_addresses(settings.control_addresses)
        if self._control is not None:
            self._control.add_configured_addresses(settings.control_addresses)
        self._log.write(
            "settings reloaded",
            step="reload",
            cause=cause,
            control_addresses=[f"{h}:{p}" for h, p in settings.control_addresses],
        )
        self._settings = settings

    async def _wait_for_stop(self) -> None:
        signal_task = asyncio.create_task(self._signals.get())
        waits: list[asyncio.Future[object]] = [signal_task]  # type: ignore[list-item]
        if self._control is not None:
            waits.append(self._control.replica.failure)  # type: ignore[arg-type]
        done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        if signal_task not in done:
            signal_task.cancel()
        for future in done:
            self._log.write("stopping", step="shutdown", cause=str(future.result()))

    async def _shut_down(self) -> int:
        if self._node is None:
            return 0
        drain = asyncio.create_task(self._drain(self._node))
        second_signal = asyncio.create_task(self._signals.get())
        limit = self._settings.shutdown_limit_ms / SECOND_MS
        done, _ = await asyncio.wait(
            {drain, second_signal},
            timeout=limit,
            return_when=asyncio.FIRST_COMPLETED,
        )
        second_signal.cancel()
        if drain in done:
            self._log.write("stopped", step="shutdown", cut_off=[])
            return 0
        drain.cancel()
        # Needed if the drain was still lingering.
        self._node.begin_shutdown()
        self._log.write(
            "stopped", step="shutdown", cut_off=self._node.interrupted_requests()
        )
        if second_signal not in done:
            await self._node.end_unanswered()
        return EXIT_FORCED_SHUTDOWN

    async def _drain(self, node: Node) -> None:
        await node.linger()
        node.begin_shutdown()
        await node.drain()


def _configure_garbage_collector() -> None:
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
