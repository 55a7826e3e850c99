"""Requests and answers of HTTP as the listeners pass them on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from multidict import CIMultiDict

    from ..calls import Body
    from ..calls import HeaderList


@dataclass(slots=True)
class HttpRequest:
    """A request that has been read; its body may still be arriving.

    :param target: path with its query, as received
    :param headers: headers by name, ignoring case
    :param raw_headers: all headers in order
    :param peer_host: returns the IP address that it came from, empty once that is gone
    """

    method: str
    target: str
    headers: Mapping[str, str]
    raw_headers: HeaderList
    body: Body
    peer_host: Callable[[], str] = str


@dataclass(slots=True)
class HttpAnswer:
    """An answer about to be sent; its body may still be arriving.

    :param closes: whether the connection ends after it
    """

    status: int
    headers: CIMultiDict[str]
    body: Body
    closes: bool = False


def decode_headers(raw_headers: tuple[tuple[bytes, bytes], ...]) -> HeaderList:
    """Decode the headers of a parsed message.

    :param raw_headers: pairs of name and value
    :return: the same pairs as text
    """
    return [
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in raw_headers
    ]
