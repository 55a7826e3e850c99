"""Injects the faults of a trace at their times."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import aiohttp
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.errors import UnavailableError

from ..trace import FaultAction


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from marjoramstep_core.clock import Clock

    from ..launch import Cluster
    from ..trace import TraceFault

CONTROL_TIMEOUT_SECONDS = 5.0
CONTROL_ADDRESS = "control_address"


class FaultInjector:
    """Acts on the processes of a cluster.

    :param session: HTTP client
    :param clock: source of the time
    :param cluster: the processes
    :param report: called with a text for each fault
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        clock: Clock,
        cluster: Cluster,
        report: Callable[[str], None],
    ) -> None:
        self._session = session
        self._clock = clock
        self._cluster = cluster
        self._report = report

    def check(self, faults: Sequence[TraceFault]) -> None:
        """Check that every fault can be injected.

        :param faults: faults of the trace
        :raises InvalidInputError: names targets that do not exist and slowdowns of
            processes that are no backend servers
        """
        for fault in faults:
            process = self._cluster.processes.get(fault.target)
            if process is None:
                known = ", ".join(self._cluster.processes)
                raise InvalidInputError(
                    f"no such target; known are: {known}",
                    step="check faults",
                    peer=fault.target,
                )
            is_server = CONTROL_ADDRESS in process.addresses
            if fault.action is FaultAction.SLOW and not is_server:
                raise InvalidInputError(
                    "only backend servers can be slowed",
                    step="check faults",
                    peer=fault.target,
                )

    async def inject_all(self, faults: Sequence[TraceFault]) -> None:
        """Inject all faults at their times.

        :param faults: faults in order of time
        :raises UnavailableError: if a fault could not be injected
        """
        start_ms = self._clock.now_ms()
        for fault in faults:
            wait_ms = start_ms + fault.at_ms - self._clock.now_ms()
            await asyncio.sleep(max(0.0, wait_ms / 1000.0))
            self._report(f"fault: {fault.action.value} {fault.target}")
            await self._inject(fault)

    async def _inject(self, fault: TraceFault) -> None:
        process = self._cluster.processes[fault.target]
        if fault.action is FaultAction.START:
            await self._cluster.restart(fault.target)
            return
        if not process.is_running:
            raise UnavailableError(
                f"the process has ended before its fault {fault.action.value}",
                step="inject fault",
                peer=fault.target,
            )
        if fault.action is FaultAction.SLOW:
            await self._slow(fault)
        elif fault.action is FaultAction.CRASH:
            process.kill()
        elif fault.action is FaultAction.STOP:
            process.send_signal(signal.SIGSTOP)
        elif fault.action is FaultAction.CONTINUE:
            process.send_signal(signal.SIGCONT)
        elif fault.action is FaultAction.DRAIN:
            process.send_signal(signal.SIGTERM)

    async def _slow(self, fault: TraceFault) -> None:
        address = self._cluster.address(fault.target, CONTROL_ADDRESS)
        document = {"factor": fault.factor, "duration_ms": fault.duration_ms}
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        try:
            async with self._session.post(
                f"http://{address}/slow", json=document, timeout=timeout
            ) as answer:
                problem = "" if answer.status == 200 else await answer.text()
        except (aiohttp.ClientError, TimeoutError) as error:
            problem = repr(error)
        if problem:
            raise UnavailableError(problem, step="inject fault", peer=fault.target)
