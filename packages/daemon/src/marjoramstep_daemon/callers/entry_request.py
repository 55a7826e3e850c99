"""Parsing of requests from callers and from the local backend server."""

from __future__ import annotations

import re
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import RequestKey
from marjoramstep_core.ids import ServiceName

from .. import http_headers
from ..request_progress import RequestProgress
from ..request_progress import untracked_progress


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from ..calls import Body
    from ..calls import HeaderList

KEY_PATTERN = re.compile(r"[A-Za-z0-9_.:-]{1,128}")
# Origin form only: other targets contain a host or characters not valid in a URL.
PATH_PATTERN = re.compile(r"/[!-~]*")
SERVICE_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")


class BadKeyError(InvalidInputError):
    """The request key is not valid."""


@dataclass(slots=True)
class EntryRequest:
    """Request of a caller or sub-call of the local backend server.

    :param request_key: the caller's key, or None
    :param deadline_ms: time that the caller allows, in milliseconds, or None
    :param context_id: id of the parent request of a sub-call, or None
    :param host: host of a request that is routed by host; its row names the service
    :param request_id: identifies a request without a key in logs
    :param peer_host: returns the caller's IP address, empty after a disconnect
    :param progress: the step at which it waits
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
    progress: RequestProgress = field(default_factory=untracked_progress)


def parse_request(
    method: str,
    path: str,
    headers: Mapping[str, str],
    raw_headers: HeaderList,
    body: Body,
) -> EntryRequest:
    """Parse and validate the headers of the native protocol.

    :param method: HTTP method
    :param path: path with its query
    :param headers: headers by case-insensitive name
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
        headers=http_headers.select_forwarded_headers(raw_headers),
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
            f"no valid service name: set {http_headers.SERVICE} or a Host that starts "
            "with it",
            step="read request",
            peer="caller",
        )
    return ServiceName(name)
