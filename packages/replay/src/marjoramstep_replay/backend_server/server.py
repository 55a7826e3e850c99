"""The stand-in backend server: runs requests in slots."""

from __future__ import annotations

import asyncio
import os
import zlib
from random import Random
from typing import TYPE_CHECKING

from aiohttp import web
from marjoramstep_core.states import ServerState

from .load_report import LoadReport
from .run_log import RunLog
from .slots import SlotPool
from .speed import Speed
from .sub_calls import KEY_HEADER
from .sub_calls import SubCaller


if TYPE_CHECKING:
    import aiohttp
    from marjoramstep_core.clock import Clock

    from .options import ServerOptions

DEADLINE_HEADER = "Marjoramstep-Deadline-Ms"
MARKER_HEADER = "Crash-Marker"
CRASH_STATUS = 70
IDLE_POLL_SECONDS = 0.02


class StandInServer:
    """State and request handler of one stand-in backend server.

    :param options: options of the server
    :param clock: source of the time
    :param session: HTTP client for further calls
    """

    def __init__(
        self, options: ServerOptions, clock: Clock, session: aiohttp.ClientSession
    ) -> None:
        self._options = options
        self._profile = options.profile
        self._clock = clock
        self._rng = Random(options.seed)
        self._slots = SlotPool(options.slots)
        self._run_log = RunLog(options.run_log, options.name, clock)
        self._sub_caller = SubCaller(session, options.caller, clock)
        self._drain_started_ms: float | None = None
        self._requests = 0
        self.speed = Speed(clock, options.profile)
        self.load = LoadReport(clock, self._slots, options.profile.load_lag_ms)

    @property
    def state(self) -> ServerState:
        """State as announced."""
        if self._drain_started_ms is not None:
            return ServerState.DRAINING
        return ServerState.STARTING if self.speed.is_starting() else ServerState.READY

    def drain(self) -> None:
        """Start to leave; requests are refused once the grace time is over."""
        if self._drain_started_ms is None:
            self._drain_started_ms = self._clock.now_ms()

    async def wait_until_idle(self) -> None:
        """Wait until a drain has begun, its grace time is over and nothing runs."""
        while not (self._is_drained() and self._requests == 0):
            await asyncio.sleep(IDLE_POLL_SECONDS)

    def close(self) -> None:
        """Close the run log."""
        self._run_log.close()

    def crash(self) -> None:
        """End the process at once, as a crash does."""
        os._exit(CRASH_STATUS)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run one request.

        :param request: the request
        :return: its answer; a request that meets its deadline gets 504, one that comes
            too early or too late in the server's life 503
        """
        if request.path == "/load":
            return web.json_response(self.load.report())
        if request.path == "/health":
            return web.json_response({"state": self.state.value})
        if self.speed.is_starting() or self._is_drained():
            answer = web.Response(status=503, text=f"{self.state.value}\n")
            answer.force_close()
            return answer
        self._requests += 1
        try:
            return await self._run_until_deadline(request)
        finally:
            self._requests -= 1

    def _is_drained(self) -> bool:
        if self._drain_started_ms is None:
            return False
        age_ms = self._clock.now_ms() - self._drain_started_ms
        return age_ms >= self._profile.drain_grace_ms

    async def _run_until_deadline(self, request: web.BaseRequest) -> web.Response:
        text = request.headers.get(DEADLINE_HEADER, "")
        try:
            deadline_seconds = float(text) / 1000.0 if text else None
        except ValueError:
            return web.Response(status=400, text=f"bad {DEADLINE_HEADER}: {text!r}\n")
        try:
            async with asyncio.timeout(deadline_seconds):
                await self._slots.acquire()
                try:
                    return await self._run(request)
                finally:
                    self._slots.release()
        except TimeoutError:
            return web.Response(status=504, text="deadline\n")

    async def _run(self, request: web.BaseRequest) -> web.Response:
        key = request.headers.get(KEY_HEADER, "")
        run = self._run_log.started(key, request.method, request.path_qs)
        try:
            answer = await self._work(request, run)
        except asyncio.CancelledError:
            self._run_log.ended(run, "cancelled")
            raise
        except BaseException:
            self._run_log.ended(run, "failed")
            raise
        self._run_log.ended(run, "done" if answer.status == 200 else "sub-call failed")
        return answer

    async def _read_body(self, request: web.BaseRequest) -> tuple[int, int]:
        marker = self._profile.crash_marker.encode()
        if marker and marker in request.headers.get(MARKER_HEADER, "").encode():
            self.crash()
        length, checksum, tail = 0, 0, b""
        async for part in request.content.iter_any():
            length += len(part)
            checksum = zlib.crc32(part, checksum)
            if marker:
                # The marker may lie across two parts.
                tail += part
                if marker in tail:
                    self.crash()
                tail = tail[len(tail) - len(marker) + 1 :] if len(marker) > 1 else b""
        return length, checksum

    async def _work(self, request: web.BaseRequest, run: int) -> web.Response:
        length, checksum = await self._read_body(request)
        profile = self._profile.match(request.path)
        work_ms = profile.service_time.draw_ms(self._rng) * self.speed.factor()
        await asyncio.sleep(work_ms / 1000.0)
        if profile.calls and not await self._sub_caller.call_all(
            profile, request.headers, run
        ):
            return web.Response(status=502, text="a further call failed\n")
        key = request.headers.get(KEY_HEADER, "")
        # Lets the caller check that the whole answer is the one to its own request.
        head = (
            f"{key} {request.method} {request.path_qs} {length} {checksum} "
            f"{self._options.name}\n"
        ).encode()
        return web.Response(body=head.ljust(profile.answer_bytes, b"."))
