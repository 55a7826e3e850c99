"""Command line of the stand-in backend server."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

import aiohttp
import defopt
import eliot
import uvloop
from aiohttp import web
from marjoramstep_core.addresses import Address
from marjoramstep_core.clock import SystemClock
from marjoramstep_core.errors import MarjoramstepError

from ..documents import read_json
from .announcer import Announcer
from .control import ControlHandler
from .options import ServerOptions
from .options import parse_address
from .profile import Profile
from .server import StandInServer


LOAD_SAMPLE_SECONDS = 0.25
SHUTDOWN_TIMEOUT_SECONDS = 1.0


def serve_backend(
    *,
    service: str,
    profile: Path,
    run_log: Path,
    name: str = "",
    slots: int = 8,
    connections: int = 400,
    seed: int = 0,
    listen: str = "127.0.0.1:0",
    control: str = "127.0.0.1:0",
    announce: str = "",
    caller: str = "",
    announce_interval_ms: float = 1000.0,
) -> None:
    """Run a stand-in backend server until SIGTERM has drained it.

    :param service: announced service
    :param profile: JSON file with the behaviour
    :param run_log: file of the run log, appended to
    :param name: name in logs and answers, the service's name by default
    :param slots: number of requests that run at the same time
    :param connections: announced limit of connections
    :param seed: seed of service times
    :param listen: ip:port for requests, port 0 takes one from the kernel
    :param control: ip:port for faults
    :param announce: announce address of the own node, empty for none
    :param caller: caller address of the own node, empty for none
    :param announce_interval_ms: time between announcements
    :raises MarjoramstepError: if an option is not valid
    """
    options = ServerOptions(
        service=service,
        name=name or service,
        slots=slots,
        connections=connections,
        profile=Profile.from_json(read_json(profile), str(profile)),
        seed=seed,
        listen=parse_address(listen),
        control=parse_address(control),
        announce=parse_address(announce) if announce else None,
        caller=parse_address(caller) if caller else None,
        run_log=run_log,
        announce_interval_ms=announce_interval_ms,
    )
    uvloop.run(run_server(options))


async def run_server(options: ServerOptions) -> None:
    """Serve until a drain started by SIGTERM is over.

    :param options: options of the server
    """
    clock = SystemClock()
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        server = StandInServer(options, clock, session)
        runner, address = await _listen(server.handle, options.listen)
        control, control_address = await _listen(
            ControlHandler(server).handle, options.control
        )
        announcer = Announcer(options, server, session, address, clock.wall_ms())
        _log_listening(options, address, control_address)
        loop = asyncio.get_running_loop()

        def start_drain() -> None:
            server.drain()
            announcer.announce_now()

        loop.add_signal_handler(signal.SIGTERM, start_drain)
        loop.add_signal_handler(signal.SIGINT, server.crash)
        tasks = [
            loop.create_task(announcer.run()),
            loop.create_task(_sample_load(server)),
        ]
        await server.wait_until_idle()
        for task in tasks:
            task.cancel()
        await runner.cleanup()
        await control.cleanup()
        server.close()
        eliot.log_message("stopped", name=options.name)


def _log_listening(options: ServerOptions, address: Address, control: Address) -> None:
    eliot.log_message(
        "listening",
        name=options.name,
        request_address=f"{address[0]}:{address[1]}",
        control_address=f"{control[0]}:{control[1]}",
    )


async def _listen(
    handler: web.RequestHandler | object, address: Address
) -> tuple[web.ServerRunner, Address]:
    server = web.Server(handler, handler_cancellation=True, access_log=None)  # type: ignore[arg-type]
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS)
    await runner.setup()
    site = web.TCPSite(runner, *address, backlog=1024)
    await site.start()
    host, port = runner.addresses[0][:2]
    return runner, (host, port)


async def _sample_load(server: StandInServer) -> None:
    while True:
        server.load.sample()
        await asyncio.sleep(LOAD_SAMPLE_SECONDS)


def main(arguments: list[str] | None = None) -> int:
    """Run the command line.

    :param arguments: arguments, those of the process by default
    :return: exit status; 2 for options that are not valid
    """
    eliot.to_file(sys.stderr)
    try:
        with contextlib.suppress(KeyboardInterrupt):
            defopt.run(serve_backend, argv=arguments)
    except MarjoramstepError as error:
        eliot.log_message("failed", error=str(error), step=error.step, peer=error.peer)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
