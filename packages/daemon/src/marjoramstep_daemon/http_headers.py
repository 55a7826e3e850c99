"""HTTP headers exchanged with callers and backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .calls import HeaderList

SERVICE = "Marjoramstep-Service"
REQUEST_KEY = "Marjoramstep-Key"
DEADLINE_MS = "Marjoramstep-Deadline-Ms"
CONTEXT = "Marjoramstep-Context"
OUTCOME = "Marjoramstep-Outcome"
REASON = "Marjoramstep-Reason"
STORED = "Marjoramstep-Stored"
TABLE_AGE_MS = "Marjoramstep-Table-Age-Ms"
SHED = "Marjoramstep-Shed"
PROTOCOL_PREFIX = "marjoramstep-"

# Headers that apply to one connection and are not forwarded (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def strip_hop_by_hop(
    headers: HeaderList, extra_names: frozenset[str] = frozenset()
) -> HeaderList:
    """Remove the headers that are not forwarded.

    :param headers: pairs of name and value
    :param extra_names: further names to remove, in lower case
    :return: the end-to-end headers without those of this protocol
    """
    return [
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in HOP_BY_HOP
        and lower not in extra_names
        and not lower.startswith(PROTOCOL_PREFIX)
    ]
