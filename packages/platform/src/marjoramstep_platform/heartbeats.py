"""HTTP interface for heartbeats of the backend server on the same VM."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import orjson
from aiohttp import web
from marjoramstep_core.durations import parse_duration_ms
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.states import ServerState
from marjoramstep_daemon.backend_servers.announcement import MAX_INCARNATION
from marjoramstep_daemon.backend_servers.announcement import MAX_SLOTS
from marjoramstep_daemon.backend_servers.announcement import Announcement
from marjoramstep_daemon.backend_servers.announcement import parse_address


if TYPE_CHECKING:
    from marjoramstep_daemon.backend_servers.local_server import LocalServer
    from marjoramstep_daemon.log import EventLog

BODY_LIMIT_BYTES = 65_536
# Connections in addition to one per slot, for responses that are still being read.
SPARE_CONNECTIONS = 32
MAX_SEQUENCE = 2**62
# Ids and names of services are sent on in headers.
_NAME = re.compile(r"[!-~]{1,128}")
_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


@dataclass(frozen=True)
class Heartbeat:
    """Self-description of a backend server.

    :param instance: id of the server process, taken from the path of the request
    :param slots: number of requests that the server runs concurrently
    :param started_ms: start time of the server process in Unix milliseconds; 0 if
        not given
    :param sequence: increases with each heartbeat since the start
    :param warm_up_ms: remaining warm-up time; only validated, not used
    """

    instance: str
    service: ServiceName
    address: tuple[str, int]
    slots: int
    state: ServerState
    started_ms: int
    sequence: int
    warm_up_ms: float

    @property
    def order(self) -> tuple[int, int]:
        """Greater for a newer heartbeat: a later start, then a higher sequence."""
        return self.started_ms, self.sequence

    @classmethod
    def decode(cls, instance: str, data: bytes) -> Heartbeat:
        """Parse and validate a heartbeat.

        ``born`` and ``warmup_left`` may be missing::

            {"address": "10.0.0.1:8000", "born": 1700000000000,
             "info": {"service": "search", "slots": 8},
             "status": {"state": "ready", "seq": 1, "warmup_left": "0ms"}}

        :param instance: id of the server process
        :param data: JSON
        :return: the heartbeat
        :raises InvalidInputError: if a field is missing, of another type or out of
            range
        """
        document = _parse_object(_parse_json(data), "heartbeat")
        info = _parse_object(document.get("info"), "info")
        status = _parse_object(document.get("status"), "status")
        service = info.get("service")
        state = status.get("state")
        if not isinstance(service, str) or not _NAME.fullmatch(service):
            raise _invalid_heartbeat("info.service: expected a name")
        if not _NAME.fullmatch(instance):
            raise _invalid_heartbeat("expected an id of printable characters")
        if not isinstance(state, str) or state not in _STATES:
            raise _invalid_heartbeat("status.state: expected ready or draining")
        return cls(
            instance,
            ServiceName(service),
            parse_address(document.get("address")),
            _parse_integer(info.get("slots"), "info.slots", 1, MAX_SLOTS),
            _STATES[state],
            _parse_integer(document.get("born", 0), "born", 0, MAX_INCARNATION),
            _parse_integer(status.get("seq"), "status.seq", 0, MAX_SEQUENCE),
            parse_duration_ms(status.get("warmup_left", "0ms"), "status.warmup_left"),
        )

    def to_announcement(self) -> Announcement:
        """Convert the heartbeat to an announcement."""
        return Announcement(
            service=self.service,
            address=self.address,
            slots=self.slots,
            connections=self.slots + SPARE_CONNECTIONS,
            state=self.state,
            incarnation=self.started_ms,
            instance=self.instance,
        )


class HeartbeatApi:
    """Receives heartbeats and ignores those that are not newer than the last one.

    :param local_server: updated with each heartbeat
    :param log: event log
    """

    def __init__(self, local_server: LocalServer, log: EventLog) -> None:
        self._local_server = local_server
        self._log = log
        self._last: Heartbeat | None = None

    def make_app(self) -> web.Application:
        """Build the application served at the announce address."""
        app = web.Application(client_max_size=BODY_LIMIT_BYTES)
        app.router.add_put("/-/instances/{instance}", self._put)
        app.router.add_delete("/-/instances/{instance}", self._delete)
        return app

    async def _put(self, request: web.Request) -> web.Response:
        instance = request.match_info["instance"]
        try:
            heartbeat = Heartbeat.decode(instance, await request.read())
            if not self._local_server.may_announce(heartbeat.service):
                raise _invalid_heartbeat("info.service: nobody names this service")
            await self._apply(heartbeat)
        except InvalidInputError as error:
            self._log.write(
                "heartbeat refused",
                step=error.step,
                peer=request.remote or "unknown",
                error=error.message,
            )
            return web.json_response({"error": error.message}, status=400)
        return web.json_response({})

    async def _apply(self, heartbeat: Heartbeat) -> None:
        last = self._last
        announcement = heartbeat.to_announcement()
        is_old = last is not None and heartbeat.order <= last.order
        has_left = self._local_server.has_left(announcement)
        if is_old or has_left:
            self._log.write(
                "late heartbeat ignored",
                step="apply heartbeat",
                peer=heartbeat.instance,
                started_ms=heartbeat.started_ms,
                sequence=heartbeat.sequence,
                has_left=has_left,
            )
            return
        await self._local_server.announce(announcement)
        if last is None or last.state != heartbeat.state:
            self._log.write(
                "backend server announced",
                step="apply heartbeat",
                peer=heartbeat.instance,
                service=heartbeat.service,
                state=heartbeat.state.value,
                slots=heartbeat.slots,
            )
        self._last = heartbeat

    async def _delete(self, request: web.Request) -> web.Response:
        instance = request.match_info["instance"]
        self._local_server.deregister(instance)
        self._log.write("backend server left", step="apply heartbeat", peer=instance)
        return web.json_response({})


def _parse_json(data: bytes) -> object:
    try:
        return orjson.loads(data)
    except ValueError as error:
        raise _invalid_heartbeat(f"expected JSON: {error}") from error


def _parse_object(value: object, name: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise _invalid_heartbeat(f"{name}: expected an object")
    return value


def _parse_integer(value: object, name: str, minimum: int, maximum: int) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise _invalid_heartbeat(f"{name}: expected a whole number")
    if not minimum <= value <= maximum:
        raise _invalid_heartbeat(f"{name}: expected {minimum} to {maximum}")
    return value


def _invalid_heartbeat(text: str) -> InvalidInputError:
    return InvalidInputError(text, step="read heartbeat", peer="backend server")
