"""Heartbeats of the server beside a node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import orjson
from aiohttp import web
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.states import ServerState
from marjoramstep_daemon.backend_servers.local_server import Announcement

from .durations import parse_duration_ms


if TYPE_CHECKING:
    from marjoramstep_daemon.backend_servers.local_server import LocalServer
    from marjoramstep_daemon.log import EventLog

BODY_LIMIT_BYTES = 65_536
# Connections beside those that run requests, for answers that are still being read.
SPARE_CONNECTIONS = 32
_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


@dataclass(frozen=True)
class Heartbeat:
    """What a server says of itself.

    :param born_ms: Unix milliseconds of its start
    :param sequence: rises with each heartbeat since the start
    :param warm_up_ms: how much longer it stays slow after its start
    """

    instance: str
    service: ServiceName
    address: tuple[str, int]
    slots: int
    state: ServerState
    born_ms: int
    sequence: int
    warm_up_ms: float

    @property
    def order(self) -> tuple[int, int]:
        """Order of heartbeats at one address."""
        return self.born_ms, self.sequence

    @classmethod
    def decode(cls, instance: str, data: bytes) -> Heartbeat:
        """Read a heartbeat.

        :param instance: id of the incarnation
        :param data: JSON
        :return: the heartbeat
        :raises InvalidInputError: if a field is missing or of another type
        """
        document = _object(_load(data), "heartbeat")
        info = _object(document.get("info"), "info")
        status = _object(document.get("status"), "status")
        service = info.get("service")
        state = status.get("state")
        if not isinstance(service, str) or not service:
            raise _fault("info.service: expected a name")
        if not isinstance(state, str) or state not in _STATES:
            raise _fault("status.state: expected ready or draining")
        return cls(
            instance,
            ServiceName(service),
            _address(document.get("address")),
            _whole_number(info.get("slots"), "info.slots", 1),
            _STATES[state],
            _whole_number(document.get("born", 0), "born", 0),
            _whole_number(status.get("seq"), "status.seq", 0),
            parse_duration_ms(status.get("warmup_left", "0ms"), "status.warmup_left"),
        )

    def to_announcement(self) -> Announcement:
        """Return the heartbeat in the words of the product."""
        return Announcement(
            service=self.service,
            address=self.address,
            slots=self.slots,
            connections=self.slots + SPARE_CONNECTIONS,
            state=self.state,
            incarnation=self.born_ms,
            instance=self.instance,
        )


class HeartbeatApi:
    """Takes heartbeats; one that is older than the last one changes nothing.

    :param local_server: told each change
    :param log: event log
    """

    def __init__(self, local_server: LocalServer, log: EventLog) -> None:
        self._local_server = local_server
        self._log = log
        self._last: Heartbeat | None = None

    def make_app(self) -> web.Application:
        """Build the application of the announce address."""
        app = web.Application(client_max_size=BODY_LIMIT_BYTES)
        app.router.add_put("/-/instances/{instance}", self._put)
        app.router.add_delete("/-/instances/{instance}", self._delete)
        return app

    async def _put(self, request: web.Request) -> web.Response:
        instance = request.match_info["instance"]
        try:
            heartbeat = Heartbeat.decode(instance, await request.read())
            await self._take(heartbeat)
        except InvalidInputError as error:
            self._log.write(
                "heartbeat refused",
                step=error.step,
                peer=request.remote or "unknown",
                error=error.message,
            )
            return web.json_response({"error": error.message}, status=400)
        return web.json_response({})

    async def _take(self, heartbeat: Heartbeat) -> None:
        last = self._last
        if last is not None and heartbeat.order <= last.order:
            self._log.write(
                "late heartbeat ignored", step="take heartbeat", peer=heartbeat.instance
            )
            return
        await self._local_server.announce(heartbeat.to_announcement())
        if last is None or last.state != heartbeat.state:
            self._log.write(
                "backend server announced",
                step="take heartbeat",
                peer=heartbeat.instance,
                service=heartbeat.service,
                state=heartbeat.state.value,
                slots=heartbeat.slots,
            )
        self._last = heartbeat

    async def _delete(self, request: web.Request) -> web.Response:
        instance = request.match_info["instance"]
        last = self._last
        if last is None or last.instance != instance:
            # Its successor has announced itself already, or nothing was known of it.
            return web.json_response({})
        self._local_server.mark_gone()
        self._log.write("backend server left", step="take heartbeat", peer=instance)
        return web.json_response({})


def _load(data: bytes) -> object:
    try:
        return orjson.loads(data)
    except ValueError as error:
        raise _fault(f"expected JSON: {error}") from error


def _object(value: object, name: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise _fault(f"{name}: expected an object")
    return value


def _whole_number(value: object, name: str, low: int) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < low:
        raise _fault(f"{name}: expected a whole number from {low}")
    return value


def _address(value: object) -> tuple[str, int]:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit():
        raise _fault("address: expected an IP address and port")
    return host, int(port)


def _fault(text: str) -> InvalidInputError:
    return InvalidInputError(text, step="read heartbeat", peer="backend server")
