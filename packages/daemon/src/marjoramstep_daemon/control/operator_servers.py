"""HTTP servers of a control replica: operators, adapter and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..adapter import load_adapter
from ..http.server import HttpServer
from ..operators.metrics_app import make_metrics_app
from ..operators.operator_api import OperatorApi
from ..operators.operator_api import describe_status
from ..operators.operator_tokens import OperatorTokens
from .control_metrics import ControlMetrics


if TYPE_CHECKING:
    from marjoramstep_state import MembershipRegistry

    from ..log import EventLog
    from ..settings import ControlSettings
    from ..settings import Settings
    from .replica import Replica


class OperatorServers:
    """Owns the HTTP servers of a replica.

    :param settings: settings of the process
    :param control: its settings of the role ``control``
    :param replica: the replica
    :param registry: registry of members
    :param log: event log
    """

    def __init__(
        self,
        settings: Settings,
        control: ControlSettings,
        replica: Replica,
        registry: MembershipRegistry,
        log: EventLog,
    ) -> None:
        self._control = control
        body_timeout_ms = settings.api_body_timeout_ms
        tokens = OperatorTokens(control.operators)
        self._operator_server = HttpServer(
            OperatorApi(replica, registry, tokens).make_app(), body_timeout_ms
        )
        adapter_app = load_adapter(settings.adapter).make_configuration_app(
            replica, log
        )
        self._adapter_server = (
            None if adapter_app is None else HttpServer(adapter_app, body_timeout_ms)
        )
        self._metrics_server = HttpServer(
            make_metrics_app(
                ControlMetrics(replica),
                lambda: describe_status(replica),
                # A follower is healthy from its first contact with a leader on.
                lambda: replica.confirmed_age_ms() >= 0,
            ),
            body_timeout_ms,
        )

    async def start(self) -> dict[str, tuple[str, int]]:
        """Bind the addresses.

        :return: bound address by name
        :raises OSError: if an address cannot be bound
        """
        bound = {
            "operator": await self._operator_server.start(
                self._control.operator_address
            )
        }
        if self._adapter_server is not None and self._control.adapter_address:
            bound["adapter"] = await self._adapter_server.start(
                self._control.adapter_address
            )
        if self._control.metrics_address:
            bound["metrics"] = await self._metrics_server.start(
                self._control.metrics_address
            )
        return bound

    async def close(self) -> None:
        """Close all sockets."""
        await self._operator_server.close()
        await self._metrics_server.close()
        if self._adapter_server is not None:
            await self._adapter_server.close()
