"""Adapters for the external interfaces of a deployment."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING
from typing import Protocol

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.registry import Registry

from .backend_servers.announce_listener import make_announce_app
from .backend_servers.protocol import NativeBackendProtocol
from .callers.protocol import NativeCallerProtocol
from .settings import NATIVE_ADAPTER


if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from .backend_servers.in_flight import InFlightMap
    from .backend_servers.local_server import LocalServer
    from .backend_servers.protocol import BackendProtocol
    from .callers.protocol import CallerProtocol
    from .control.replica import Replica
    from .log import EventLog
    from .settings import Settings


class Adapter(Protocol):
    """External interfaces that vary between deployments."""

    def caller_protocol(
        self, settings: Settings, local_server: LocalServer, in_flight: InFlightMap
    ) -> CallerProtocol:
        """Return the protocol of callers.

        :param settings: settings of the node
        :param local_server: the node's local backend server
        :param in_flight: requests in flight at that server
        :return: the caller protocol
        """

    def backend_protocol(self) -> BackendProtocol:
        """Return the protocol of backend servers.

        :return: the backend protocol
        """

    def make_announce_app(
        self, local_server: LocalServer, log: EventLog
    ) -> web.Application:
        """Build the application of the announce address.

        :param local_server: receives the announcements
        :param log: event log
        :return: the application
        """

    def make_ready_app(self, is_ready: Callable[[], bool]) -> web.Application | None:
        """Build the application of the ready address.

        :param is_ready: whether the node should receive requests from callers
        :return: the application, None if the adapter has none
        """

    def make_configuration_app(
        self, replica: Replica, log: EventLog
    ) -> web.Application | None:
        """Build the application that a control replica serves on ``adapter_address``.

        :param replica: the replica of this process
        :param log: event log
        :return: the application, None if the adapter has none
        """


ADAPTERS: Registry[type[Adapter]] = Registry("adapter")


@ADAPTERS.register(NATIVE_ADAPTER)
class NativeAdapter:
    """The native HTTP interfaces of the project."""

    def caller_protocol(
        self, settings: Settings, local_server: LocalServer, in_flight: InFlightMap
    ) -> CallerProtocol:
        """Return the protocol that names service and request key in headers."""
        return NativeCallerProtocol()

    def backend_protocol(self) -> BackendProtocol:
        """Return the protocol that passes a context for sub-calls in a header."""
        return NativeBackendProtocol()

    def make_announce_app(
        self, local_server: LocalServer, log: EventLog
    ) -> web.Application:
        """Serve ``POST /announce``."""
        return make_announce_app(local_server.announce)

    def make_ready_app(self, is_ready: Callable[[], bool]) -> web.Application | None:
        """Return None: the metrics address serves the health check."""
        return None

    def make_configuration_app(
        self, replica: Replica, log: EventLog
    ) -> web.Application | None:
        """Return None: the operator address serves the native operator API."""
        return None


def load_adapter(name: str) -> Adapter:
    """Import the package of an adapter and create the adapter.

    :param name: ``native``, or the import name of a package that registers an adapter
        under this name
    :return: the adapter
    :raises InvalidInputError: if the package cannot be imported or registers no such
        adapter
    """
    if name not in ADAPTERS:
        try:
            importlib.import_module(name)
        except ImportError as error:
            raise InvalidInputError(
                f"adapter {name!r} cannot be imported: {error}", step="load adapter"
            ) from error
    return ADAPTERS.get(name)()
