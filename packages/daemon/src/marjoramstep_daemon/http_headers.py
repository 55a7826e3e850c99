"""Headers of the protocol towards callers and backend servers."""

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
OWN_PREFIX = "marjoramstep-"

# Headers that belong to one connection and are not passed on (RFC 9110, 7.6.1).
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
    headers: HeaderList, further: frozenset[str] = frozenset()
) -> HeaderList:
    """Remove the headers that are not passed on.

    :param headers: pairs of name and value
    :param further: more names to remove, in lower case
    :return: the headers that end to end peers see, without our own
    """
    return [
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in HOP_BY_HOP
        and lower not in further
        and not lower.startswith(OWN_PREFIX)
    ]
