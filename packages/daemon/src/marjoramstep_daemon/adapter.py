"""Translation between the product and the interfaces of a deployment."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING
from typing import Protocol

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.registry import Registry

from .backend_servers.announce_listener import make_announce_app
from .backend_servers.protocol import NativeBackendProtocol
from .callers.protocol import NativeCallerProtocol
from .settings import NATIVE


if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from .backend_servers.in_flight import InFlightMap
    from .backend_servers.own_server import OwnServer
    from .backend_servers.protocol import BackendProtocol
    from .callers.protocol import CallerProtocol
    from .control.replica import Replica
    from .log import EventLog
    from .settings import Settings


class Adapter(Protocol):
    """Everything that differs between the interfaces of two deployments."""

    def caller_protocol(
        self, settings: Settings, own_server: OwnServer, in_flight: InFlightMap
    ) -> CallerProtocol:
        """Return what callers speak.

        :param settings: settings of a node
        :param own_server: the backend server beside it
        :param in_flight: requests that run there now
        :return: the translation
        """

    def backend_protocol(self) -> BackendProtocol:
        """Return what backend servers speak.

        :return: the translation
        """

    def make_announce_app(
        self, own_server: OwnServer, log: EventLog
    ) -> web.Application:
        """Build the application of the announce address.

        :param own_server: takes the announcements
        :param log: event log
        :return: the application
        """

    def make_ready_app(self, is_ready: Callable[[], bool]) -> web.Application | None:
        """Build the application of the ready address.

        :param is_ready: whether callers should be sent here
        :return: the application, None if there is none
        """

    def make_operator_app(
        self, replica: Replica, log: EventLog
    ) -> web.Application | None:
        """Build the application of the adapter's address of a control replica.

        :param replica: the replica of this process
        :param log: event log
        :return: the application, None if there is none
        """


ADAPTERS: Registry[type[Adapter]] = Registry("adapter")


@ADAPTERS.register(NATIVE)
class NativeAdapter:
    """The project's own interfaces."""

    def caller_protocol(
        self, settings: Settings, own_server: OwnServer, in_flight: InFlightMap
    ) -> CallerProtocol:
        """Requests name a service and a key in headers."""
        return NativeCallerProtocol()

    def backend_protocol(self) -> BackendProtocol:
        """Requests carry a context for further calls."""
        return NativeBackendProtocol()

    def make_announce_app(
        self, own_server: OwnServer, log: EventLog
    ) -> web.Application:
        """Serve ``POST /announce``."""
        return make_announce_app(own_server.announce)

    def make_ready_app(self, is_ready: Callable[[], bool]) -> web.Application | None:
        """The metrics address tells whether the node is healthy."""
        return None

    def make_operator_app(
        self, replica: Replica, log: EventLog
    ) -> web.Application | None:
        """The operator address serves the project's own interface."""
        return None


def load_adapter(name: str) -> Adapter:
    """Import the package of an adapter and make it.

    :param name: ``native``, or the import name of a package that registers an adapter
        under this name
    :return: the adapter
    :raises InvalidInputError: if there is no such package or adapter
    """
    if name not in ADAPTERS:
        try:
            importlib.import_module(name)
        except ImportError as error:
            raise InvalidInputError(
                f"adapter {name!r} cannot be imported: {error}", step="load adapter"
            ) from error
    return ADAPTERS.get(name)()
