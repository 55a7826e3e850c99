"""Log of runs, one JSON line for each start and each end."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError


if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from marjoramstep_core.clock import Clock


class RunLog:
    """Writes each line at once, so that a crash loses no start.

    :param path: file to append to
    :param server: name of the server, part of every line
    :param clock: source of the times
    """

    def __init__(self, path: Path, server: str, clock: Clock) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o644)
        self._server = json.dumps(server)
        self._clock = clock
        self._count = 0

    def started(self, key: str, method: str, path: str) -> int:
        """Record that a run started.

        :param key: key of the request, empty when it has none
        :param method: HTTP method
        :param path: path
        :return: number of the run at this server
        """
        self._count += 1
        request = json.dumps({"key": key, "method": method, "path": path})
        self._write(f'"event":"started","run":{self._count},{request[1:-1]}')
        return self._count

    def ended(self, run: int, result: str) -> None:
        """Record that a run ended.

        :param run: number returned by :meth:`started`
        :param result: how it ended, such as ``done`` or ``cancelled``
        """
        self._write(f'"event":"ended","run":{run},"result":{json.dumps(result)}')

    def close(self) -> None:
        """Close the file."""
        os.close(self._file)

    def _write(self, fields: str) -> None:
        at_ms = round(self._clock.now_ms(), 3)
        line = f'{{"server":{self._server},"at_ms":{at_ms},{fields}}}\n'
        os.write(self._file, line.encode())


@dataclass
class Run:
    """One run of a request at a stand-in backend server.

    :param server: name of the server
    :param key: key of the request
    :param method: HTTP method
    :param path: path
    :param started_ms: monotonic start
    :param ended_ms: monotonic end, or None
    :param result: how it ended; empty when it did not
    :param is_repeatable: whether the row of the call may be repeated; None when the
        reader of the log does not know
    """

    server: str
    key: str
    method: str
    path: str
    started_ms: float
    ended_ms: float | None = None
    result: str = ""
    is_repeatable: bool | None = None

    @property
    def root_key(self) -> str:
        """Key of the root request; keys of further calls are derived from it."""
        return self.key.split("_", 1)[0]


def read_runs(paths: Iterable[Path]) -> list[Run]:
    """Read run logs.

    :param paths: files written by :class:`RunLog`, one for each process
    :return: all runs in the order of the files
    :raises InvalidInputError: names the file and the line that cannot be read
    """
    runs: list[Run] = []
    for path in paths:
        open_runs: dict[int, Run] = {}
        lines = path.read_text(encoding="utf-8").splitlines()
        for number, line in enumerate(lines, start=1):
            try:
                _read_line(json.loads(line), open_runs, runs)
            except (ValueError, KeyError, TypeError) as error:
                raise InvalidInputError(
                    f"line {number} is not a line of a run log: {error!r}",
                    step="read run log",
                    peer=str(path),
                ) from error
    return runs


def _read_line(
    fields: dict[str, object], open_runs: dict[int, Run], runs: list[Run]
) -> None:
    number = int(str(fields["run"]))
    at_ms = float(str(fields["at_ms"]))
    if fields["event"] == "started":
        run = Run(
            server=str(fields["server"]),
            key=str(fields["key"]),
            method=str(fields["method"]),
            path=str(fields["path"]),
            started_ms=at_ms,
        )
        open_runs[number] = run
        runs.append(run)
    else:
        run = open_runs.pop(number)
        run.ended_ms = at_ms
        run.result = str(fields["result"])
