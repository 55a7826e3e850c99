"""Options of a stand-in backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError


if TYPE_CHECKING:
    from pathlib import Path

    from marjoramstep_core.addresses import Address

    from .profile import Profile


@dataclass(frozen=True)
class ServerOptions:
    """Options of a stand-in backend server.

    :param service: announced service
    :param name: name in logs and answers
    :param slots: number of requests that run at the same time
    :param connections: announced limit of connections
    :param profile: behaviour
    :param seed: seed of service times
    :param listen: address for requests; port 0 takes one from the kernel
    :param control: address for faults
    :param announce: announce address of the own node, or None
    :param caller: caller address of the own node, or None
    :param run_log: file of the run log
    :param announce_interval_ms: time between announcements
    """

    service: str
    name: str
    slots: int
    connections: int
    profile: Profile
    seed: int
    listen: Address
    control: Address
    announce: Address | None
    caller: Address | None
    run_log: Path
    announce_interval_ms: float


def parse_address(text: str) -> Address:
    """Read an address.

    :param text: ``ip:port``
    :return: IP address and port
    :raises InvalidInputError: if the text has another form
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal() or int(port) > 65535:
        raise InvalidInputError(
            f"expected ip:port, found {text!r}", step="read address", peer=text
        )
    return host, int(port)
