"""TCP relays that deliver what they get late, or no more."""

from __future__ import annotations

import asyncio
import contextlib


class Relay:
    """Forwards connections to an address; bytes wait for the current delay.

    :param target: address to forward to
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.delay_s = 0.0

    async def start(self, host: str) -> tuple[str, int]:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        address = self._server.sockets[0].getsockname()
        return address[0], address[1]

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        delay_s = self.delay_s
        upstream: asyncio.StreamWriter | None = None
        try:
            # Read first: what was sent arrives even if the sender has given up by then.
            data = await reader.read(65536)
            await asyncio.sleep(delay_s)
            answers, upstream = await asyncio.open_connection(*self._target)
            upstream.write(data)
            while back := await answers.read(65536):
                with contextlib.suppress(OSError):
                    writer.write(back)
                    await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            for end in (writer, upstream):
                if end is not None:
                    with contextlib.suppress(Exception):
                        end.close()


class SilentRelay:
    """Forwards connections; those that are open can be made silent for good.

    :param target: address to forward to
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        # One for each open connection, set once it passes nothing on any more.
        self._open: set[asyncio.Event] = set()

    async def start(self, host: str) -> tuple[str, int]:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        address = self._server.sockets[0].getsockname()
        return address[0], address[1]

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def silence(self) -> int:
        """Pass on nothing on the open connections, without closing them."""
        for silent in self._open:
            silent.set()
        return len(self._open)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        silent = asyncio.Event()
        upstream: asyncio.StreamWriter | None = None
        try:
            answers, upstream = await asyncio.open_connection(*self._target)
            self._open.add(silent)
            ways = [
                asyncio.create_task(_forward(reader, upstream, silent)),
                asyncio.create_task(_forward(answers, writer, silent)),
            ]
            try:
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for way in ways:
                    way.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(silent)
            self._tasks.discard(task)
            for end in (writer, upstream):
                if end is not None:
                    with contextlib.suppress(Exception):
                        end.close()


async def _forward(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, silent: asyncio.Event
) -> None:
    """Forward bytes until the connection ends; never end once it is silent."""
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            if not silent.is_set():
                writer.write(data)
                await writer.drain()
    if silent.is_set():
        await asyncio.Event().wait()
