"""HTTP interface through which a replay injects faults."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from aiohttp import web
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.registry import Registry

from ..documents import Fields


if TYPE_CHECKING:
    from collections.abc import Callable

    from .server import StandInServer

ACTIONS: Registry[Callable[[StandInServer, Fields], None]] = Registry("action")


@ACTIONS.register("slow")
def _slow(server: StandInServer, fields: Fields) -> None:
    server.speed.slow_down(fields.number("factor"), fields.number("duration_ms"))


@ACTIONS.register("drain")
def _drain(server: StandInServer, fields: Fields) -> None:
    server.drain()


@ACTIONS.register("crash")
def _crash(server: StandInServer, fields: Fields) -> None:
    server.crash()


class ControlHandler:
    """Handles requests such as ``POST /slow`` with a JSON object.

    :param server: the server to act on
    """

    def __init__(self, server: StandInServer) -> None:
        self._server = server

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Run one action.

        :param request: path names the action, body holds its fields
        :return: 200 when it was done, 400 with the fault otherwise
        """
        try:
            action = ACTIONS.get(request.path.lstrip("/"))
            fields = Fields(json.loads(await request.text() or "{}"), "body")
            action(self._server, fields)
            fields.finish()
        except (InvalidInputError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response({"state": self._server.state.value})
