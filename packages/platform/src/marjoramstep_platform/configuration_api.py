"""HTTP interface to write and read the configuration of the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.errors import UnavailableError
from marjoramstep_core.ids import OperatorName
from marjoramstep_daemon.control.replicated_state import NotLeaderError
from marjoramstep_state.edit_commands import ReplaceTable
from marjoramstep_state.limits import COMMAND_LIMIT_BYTES
from marjoramstep_state.results import EditResult
from marjoramstep_state.results import EditVerdict

from .configuration import Configuration


if TYPE_CHECKING:
    from aiohttp.typedefs import Handler
    from marjoramstep_daemon.control.replica import Replica
    from marjoramstep_daemon.log import EventLog
    from marjoramstep_state.command import Command

# About 16,000 routes.
BODY_LIMIT_BYTES = COMMAND_LIMIT_BYTES
# Decoded within a few milliseconds.
SHORT_BODY_BYTES = 65_536
# Requests of the platform do not identify the operator.
OPERATOR = OperatorName("operator")
_STATUS = {
    EditVerdict.ACCEPTED: 200,
    EditVerdict.CONFLICT: 412,
    EditVerdict.REFUSED: 400,
}


class ConfigurationApi:
    """Replaces the whole table and returns the configuration in force.

    :param replica: the replica of this process
    :param log: event log
    """

    def __init__(self, replica: Replica, log: EventLog) -> None:
        self._replica = replica
        self._log = log

    def make_app(self) -> web.Application:
        """Build the application that a replica serves on ``adapter_address``."""
        app = web.Application(
            middlewares=[self._refuse_too_large], client_max_size=BODY_LIMIT_BYTES
        )
        app.router.add_put("/-/config", self._put)
        app.router.add_get("/-/config", self._get)
        return app

    async def _put(self, request: web.Request) -> web.Response:
        try:
            configuration = await _decode(await request.read())
        except InvalidInputError as error:
            return self._refuse(400, error.step, error.message)
        try:
            result = await self._submit(configuration, request.remote or "unknown")
        except (NotLeaderError, UnavailableError) as error:
            return self._redirect_or_report_unavailable(request, error)
        except InvalidInputError as error:
            # Its content does not compress enough to fit into a log entry.
            return self._refuse(413, error.step, error.message)
        self._log.write(
            "configuration decided",
            step="replace table",
            version=configuration.version,
            base_version=configuration.base_version,
            verdict=result.verdict.value,
        )
        body = {"verdict": result.verdict.value}
        return web.json_response(body, status=_STATUS[result.verdict])

    @web.middleware
    async def _refuse_too_large(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPRequestEntityTooLarge:
            text = f"a configuration has at most {BODY_LIMIT_BYTES} bytes"
            return self._refuse(413, "read configuration", text)

    def _refuse(self, status: int, step: str, text: str) -> web.Response:
        self._log.write("configuration refused", step=step, error=text)
        return web.json_response({"error": text}, status=status)

    async def _submit(self, configuration: Configuration, origin: str) -> EditResult:
        def make_command(log_time_ms: int) -> Command:
            return ReplaceTable(
                log_time_ms,
                configuration.digest,
                configuration.version,
                configuration.base_version,
                OPERATOR,
                origin,
                configuration.rows,
                configuration.source,
            )

        result = await self._replica.submit(make_command)
        assert isinstance(result, EditResult)
        return result

    async def _get(self, request: web.Request) -> web.Response:
        try:
            await self._replica.confirm_read()
        except (NotLeaderError, UnavailableError) as error:
            return self._redirect_or_report_unavailable(request, error)
        source = self._replica.machine.source
        if not source:
            return web.json_response({"error": "no configuration yet"}, status=503)
        return web.Response(text=source, content_type="application/json")

    def _redirect_or_report_unavailable(
        self, request: web.Request, error: NotLeaderError | UnavailableError
    ) -> web.Response:
        """Redirect to the leader, or answer 503 if no other replica is known to lead.

        Both are logged with the same event.
        """
        self._log.write("operator sent on", step=error.step, error=error.message)
        leader = self._replica.leader_address
        own = self._replica.address
        if not leader or leader == own:
            return web.json_response({"error": error.message}, status=503)
        # All VMs of the platform use the same port for this interface.
        port = request.transport.get_extra_info("sockname")[1]  # type: ignore[union-attr]
        host = leader.rpartition(":")[0]
        location = f"http://{host}:{port}{request.path}"
        return web.Response(status=307, headers={"Location": location})


async def _decode(data: bytes) -> Configuration:
    """Decode a configuration; a long one in a thread.

    The replica would not answer its peers meanwhile and lose its leadership.
    """
    if len(data) <= SHORT_BODY_BYTES:
        return Configuration.decode(data)
    return await asyncio.to_thread(Configuration.decode, data)
