"""A request from a caller or from the own backend server, before it is a call."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import RequestKey
from marjoramstep_core.ids import ServiceName

from .. import http_headers


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from ..calls import Body
    from ..calls import HeaderList

KEY_PATTERN = re.compile(r"[A-Za-z0-9_.:-]{1,128}")
# Other forms of a request target name a host or do not fit into a URL.
PATH_PATTERN = re.compile(r"/[!-~]*")
SERVICE_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")


class BadKeyError(InvalidInputError):
    """The request key is not valid."""


@dataclass(slots=True)
class EntryRequest:
    """What a caller asked for.

    :param request_key: the caller's key, None if it gave none
    :param deadline_ms: time that the caller allows, in milliseconds, or None
    :param context_id: set on sub-calls of the own backend server
    :param host: host that the caller named; the row found by it names the service
    :param request_id: names the request in logs where it has no key
    :param peer_host: returns the IP address that it came from, empty once that is gone
    """

    service: ServiceName
    method: str
    path: str
    headers: HeaderList
    body: Body
    request_key: RequestKey | None
    deadline_ms: float | None
    context_id: str | None
    host: str = ""
    request_id: str = ""
    peer_host: Callable[[], str] = str


def parse_request(
    method: str,
    path: str,
    headers: Mapping[str, str],
    raw_headers: HeaderList,
    body: Body,
) -> EntryRequest:
    """Check the headers of the protocol.

    :param method: HTTP method
    :param path: path with its query
    :param headers: headers by name, ignoring case
    :param raw_headers: all headers in order
    :param body: body of the request
    :return: the request
    :raises BadKeyError: if the key is not valid
    :raises InvalidInputError: if another header is not valid
    """
    if not PATH_PATTERN.fullmatch(path):
        raise InvalidInputError(
            "path: expected printable ASCII that starts with '/'",
            step="read request",
            peer="caller",
        )
    key = headers.get(http_headers.REQUEST_KEY)
    if key is not None and not KEY_PATTERN.fullmatch(key):
        raise BadKeyError(
            f"{http_headers.REQUEST_KEY}: expected 1 to 128 letters, digits or '_.:-'",
            step="read request",
            peer="caller",
        )
    deadline = headers.get(http_headers.DEADLINE_MS)
    if deadline is not None and not DEADLINE_PATTERN.fullmatch(deadline):
        raise InvalidInputError(
            f"{http_headers.DEADLINE_MS}: expected whole milliseconds",
            step="read request",
            peer="caller",
        )
    return EntryRequest(
        service=_service_of(headers),
        method=method,
        path=path,
        headers=http_headers.strip_hop_by_hop(raw_headers),
        body=body,
        request_key=None if key is None else RequestKey(key),
        deadline_ms=None if deadline is None else float(deadline),
        context_id=headers.get(http_headers.CONTEXT),
    )


def _service_of(headers: Mapping[str, str]) -> ServiceName:
    name = headers.get(http_headers.SERVICE)
    if name is None:
        name = headers.get("Host", "").split(":", 1)[0].split(".", 1)[0]
    if not SERVICE_PATTERN.fullmatch(name) or name.isdigit():
        raise InvalidInputError(
            f"no service: set {http_headers.SERVICE} or a Host that starts with it",
            step="read request",
            peer="caller",
        )
    return ServiceName(name)
