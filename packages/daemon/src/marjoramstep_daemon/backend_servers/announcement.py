"""Announcement of a backend server to the node on the same VM."""

from __future__ import annotations

import re
from dataclasses import dataclass
from ipaddress import ip_address
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.states import ServerState


if TYPE_CHECKING:
    from marjoramstep_core.addresses import Address


MAX_SLOTS = 100_000
MAX_PORT = 65_535
MAX_INCARNATION = 2**62
ADDRESS_PATTERN = re.compile(r"[0-9.]{7,15}:[0-9]{1,5}")
SERVICE_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")


@dataclass(frozen=True)
class Announcement:
    """A backend server's announcement of its address, capacity and state.

    :param slots: number of requests that it runs concurrently
    :param connections: number of connections that it accepts
    :param incarnation: increases with each start of the backend server
    :param instance: id that the backend server gives to its incarnation; empty if its
        protocol, such as the native one, announces none
    """

    service: ServiceName
    address: Address
    slots: int
    connections: int
    state: ServerState
    incarnation: int
    instance: str = ""

    @classmethod
    def from_json(cls, document: object) -> Announcement:
        """Validate the body of ``POST /announce``.

        :param document: decoded JSON
        :return: the announcement
        :raises InvalidInputError: if a field is invalid; names the first such field
        """
        if not isinstance(document, dict):
            raise invalid_announcement("expected a JSON object")
        service = document.get("service")
        if not isinstance(service, str) or not SERVICE_PATTERN.fullmatch(service):
            raise invalid_announcement(
                "service: expected 1 to 64 letters, digits or '_.-', "
                "the first a letter or digit"
            )
        state = document.get("state", ServerState.READY.value)
        if state not in [known.value for known in ServerState]:
            raise invalid_announcement(
                "state: expected starting, ready, draining or gone"
            )
        return cls(
            ServiceName(service),
            parse_address(document.get("address")),
            _integer(document, "slots", 1, MAX_SLOTS),
            _integer(document, "connections", 1, MAX_SLOTS),
            ServerState(state),
            _integer(document, "incarnation", 0, MAX_INCARNATION),
        )


def parse_address(value: object) -> Address:
    """Parse the address of a backend server.

    :param value: text such as ``10.0.0.1:8000``
    :return: IPv4 address and port
    :raises InvalidInputError: if it is not such a text
    """
    if isinstance(value, str) and ADDRESS_PATTERN.fullmatch(value):
        host, _, port = value.rpartition(":")
        try:
            ip_address(host)
        except ValueError:
            port = "0"
        if 1 <= int(port) <= MAX_PORT:
            return host, int(port)
    raise invalid_announcement("address: expected an IPv4 address and port")


def _integer(document: dict[str, object], key: str, low: int, high: int) -> int:
    value = document.get(key)
    if isinstance(value, bool) or not isinstance(value, int):
        raise invalid_announcement(f"{key}: expected an integer")
    if not low <= value <= high:
        raise invalid_announcement(f"{key}: expected {low} to {high}, got {value}")
    return value


def invalid_announcement(text: str) -> InvalidInputError:
    """Return the error for an announcement that is not accepted.

    :param text: what is wrong
    :return: the error, to be raised
    """
    return InvalidInputError(text, step="read announcement", peer="backend server")
