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

# Headers that are not forwarded: those that apply to one connection (RFC 9110, 7.6.1)
# and those that this node sets or handles itself.
NOT_FORWARDED = frozenset(
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


def select_forwarded_headers(
    headers: HeaderList, extra_names: frozenset[str] = frozenset()
) -> HeaderList:
    """Select the headers that are forwarded; those of this protocol are not.

    :param headers: pairs of name and value
    :param extra_names: further names that are not forwarded, in lower case
    :return: the forwarded headers in the same order
    """
    return [
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in NOT_FORWARDED
        and lower not in extra_names
        and not lower.startswith(PROTOCOL_PREFIX)
    ]
