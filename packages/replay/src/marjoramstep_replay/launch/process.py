"""One process that a replay owns."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import time
from pathlib import Path
from typing import TYPE_CHECKING

from marjoramstep_core.errors import UnavailableError


if TYPE_CHECKING:
    from collections.abc import Sequence

START_LIMIT_SECONDS = 60.0
POLL_SECONDS = 0.02
LOG_TAIL_CHARACTERS = 2000
LISTENING = "listening"
# Places in /proc/PID/stat after the command's name; see proc(5).
USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12
ADDRESS_SUFFIX = "_address"
ADDRESS_PATTERN = re.compile(r"[0-9a-f.:\[\]]+:[0-9]{1,5}")


class ManagedProcess:
    """Starts a process, reads its ``listening`` log lines and ends it by its id.

    :param name: name in the deployment
    :param command: command line
    :param log_path: file that takes standard error

    ``addresses`` holds the addresses of these lines; the daemon names them ``caller``,
    the stand-in ``request_address``, and both are kept with the suffix.
    """

    def __init__(self, name: str, command: Sequence[str], log_path: Path) -> None:
        self.name = name
        self.addresses: dict[str, str] = {}
        self._command = list(command)
        self._log_path = log_path
        self._process: subprocess.Popen[bytes] | None = None
        self._log_offset_bytes = 0

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def status(self) -> int | None:
        """Exit status; None while the process runs or before its start."""
        return None if self._process is None else self._process.poll()

    def processor_ms(self) -> float:
        """Return the processor time that the running process has used.

        :return: user and system time of all threads in milliseconds, in steps of the
            kernel's clock tick
        :raises UnavailableError: if the process does not run
        """
        if self._process is None or not self.is_running:
            raise UnavailableError(
                "the process does not run", step="read processor time", peer=self.name
            )
        text = Path(f"/proc/{self._process.pid}/stat").read_text("utf-8")
        # The name of the command, in parentheses, may hold spaces.
        fields = text.rpartition(")")[2].split()
        ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
        return ticks * 1000.0 / os.sysconf("SC_CLK_TCK")

    def start(self, command: Sequence[str] | None = None) -> None:
        """Start the process; only one that does not run can be started.

        :param command: new command line, for a start with other addresses
        :raises UnavailableError: if the process runs, or cannot be started
        """
        if self.is_running:
            raise UnavailableError(
                "the process runs already", step="start process", peer=self.name
            )
        if command is not None:
            self._command = list(command)
        self.addresses = {}
        if self._log_path.exists():
            self._log_offset_bytes = self._log_path.stat().st_size
        try:
            with self._log_path.open("ab") as log:
                self._process = subprocess.Popen(
                    self._command,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    start_new_session=True,
                )
        except OSError as error:
            raise UnavailableError(
                f"cannot start {self._command[0]}: {error}",
                step="start process",
                peer=self.name,
            ) from error

    async def wait_until_listening(self, names: Sequence[str]) -> None:
        """Wait until the log names all of the addresses.

        :param names: fields of ``listening`` lines, such as ``caller_address``
        :raises UnavailableError: if the process ends or takes too long; the error
            holds the end of its log
        """
        limit_seconds = time.monotonic() + START_LIMIT_SECONDS
        while True:
            ended = not self.is_running
            self._read_addresses()
            if all(name in self.addresses for name in names):
                return
            if ended or time.monotonic() > limit_seconds:
                state = f"ended with status {self.status}" if ended else "is too slow"
                raise UnavailableError(
                    f"the process {state}; addresses seen: {self.addresses}; end of "
                    f"its log: {self._log_tail()}",
                    step="wait until listening",
                    peer=self.name,
                )
            await asyncio.sleep(POLL_SECONDS)

    async def wait_until_ended(self) -> None:
        """Wait until the process has ended with status 0.

        :raises UnavailableError: if it ends with another status or takes too long
        """
        limit_seconds = time.monotonic() + START_LIMIT_SECONDS
        while self.is_running and time.monotonic() < limit_seconds:
            await asyncio.sleep(POLL_SECONDS)
        if self.status != 0:
            raise UnavailableError(
                f"the process ended with status {self.status}; end of its log: "
                f"{self._log_tail()}",
                step="wait until ended",
                peer=self.name,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process; does nothing when it has ended.

        :param number: the signal
        """
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    async def end(self, limit_seconds: float) -> bool:
        """End the process: SIGTERM first, SIGKILL when the limit is over.

        :param limit_seconds: longest wait for a graceful end
        :return: whether it ended without SIGKILL
        """
        if self._process is None or not self.is_running:
            return True
        # A stopped process does not act on SIGTERM.
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        deadline_seconds = time.monotonic() + limit_seconds
        while self.is_running and time.monotonic() < deadline_seconds:
            await asyncio.sleep(POLL_SECONDS)
        graceful = not self.is_running
        self.kill()
        return graceful

    def kill(self) -> None:
        """End the process with SIGKILL and wait for its end."""
        if self._process is not None and self.is_running:
            self._process.kill()
            self._process.wait()

    def _log_tail(self) -> str:
        text = self._log_path.read_text("utf-8", "replace")
        return text[-LOG_TAIL_CHARACTERS:]

    def _read_addresses(self) -> None:
        with self._log_path.open("rb") as log:
            log.seek(self._log_offset_bytes)
            lines = log.read().split(b"\n")[:-1]
        for line in lines:
            if LISTENING.encode() not in line:
                continue
            try:
                document = json.loads(line)
            except ValueError:
                continue
            if document.get("message_type") == LISTENING:
                self.addresses.update(_addresses(document))


def _addresses(document: dict[str, object]) -> dict[str, str]:
    return {
        name if name.endswith(ADDRESS_SUFFIX) else name + ADDRESS_SUFFIX: value
        for name, value in document.items()
        if isinstance(value, str) and ADDRESS_PATTERN.fullmatch(value)
    }
