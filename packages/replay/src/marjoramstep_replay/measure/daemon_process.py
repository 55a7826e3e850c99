"""One process of the daemon under test or measurement."""

from __future__ import annotations

import json

from ..launch.process import ManagedProcess


LISTENING = "listening"
ADDRESS_FIELDS = ("peer", "operator", "caller", "announce", "metrics")


class DaemonProcess(ManagedProcess):
    """A process whose log names the addresses that it bound.

    ``addresses`` has them by the names of the log: ``peer``, ``operator`` and so on.
    """

    @property
    def process_id(self) -> int:
        """Id of the process at the operating system."""
        assert self._process is not None
        return self._process.pid

    def log_text(self) -> str:
        """Return all that the process has written, over all its starts."""
        return self._log_path.read_text("utf-8", "replace")

    def log_events(self, kind: str) -> list[dict[str, object]]:
        """Return the log events of a kind since the last start.

        :param kind: such as ``torn record cut off``
        :return: the events in order
        """
        with self._log_path.open("rb") as log:
            log.seek(self._log_offset_bytes)
            lines = log.read().split(b"\n")[:-1]
        events = []
        for line in lines:
            if not line.startswith(b"{"):
                continue
            try:
                document = json.loads(line)
            except ValueError:
                continue
            if document.get("message_type") == kind:
                events.append(document)
        return events

    def _read_addresses(self) -> None:
        for event in self.log_events(LISTENING):
            for name in ADDRESS_FIELDS:
                if name in event:
                    self.addresses[name] = str(event[name])
