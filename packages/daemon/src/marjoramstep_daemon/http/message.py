"""HTTP requests and answers as the listeners exchange them with their handlers."""

from __future__ import annotations

import re
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from multidict import CIMultiDict

from ..calls import Body
from ..request_progress import RequestProgress
from ..request_progress import untracked_progress


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from ..calls import HeaderList

# All but the horizontal tab (RFC 9110, 5.5). Parsers accept them, writers do not.
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


@dataclass(slots=True)
class HttpRequest:
    """A received request, whose body may still be arriving.

    :param target: path with query string, as received
    :param headers: headers by name, case-insensitive
    :param raw_headers: all headers in the order received
    :param peer_host: returns the IP address of the client, empty once it has
        disconnected
    :param progress: the step at which it waits
    """

    method: str
    target: str
    headers: Mapping[str, str]
    raw_headers: HeaderList
    body: Body
    peer_host: Callable[[], str] = str
    progress: RequestProgress = field(default_factory=untracked_progress)


@dataclass(slots=True)
class HttpAnswer:
    """An answer to be sent, whose body may still be arriving.

    :param closes: whether the connection is closed after the answer
    """

    status: int
    headers: CIMultiDict[str]
    body: Body
    closes: bool = False


def decode_headers(raw_headers: tuple[tuple[bytes, bytes], ...]) -> HeaderList:
    """Decode the headers of a parsed message to text.

    :param raw_headers: pairs of name and value
    :return: decoded pairs in the same order
    """
    return [
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in raw_headers
    ]


def has_control_character(raw_headers: tuple[tuple[bytes, bytes], ...]) -> bool:
    """Check the values of headers for characters that no header may hold.

    :param raw_headers: pairs of name and value of a parsed message
    :return: whether a value holds a control character
    """
    return any(_CONTROL_CHARACTER.search(value) for _, value in raw_headers)


def plain_answer(status: int, text: str, *, closes: bool = False) -> HttpAnswer:
    """Build a plain-text answer.

    :param status: status code
    :param text: the text, a single line
    :param closes: whether the connection closes after it
    :return: the answer
    """
    data = f"{text}\n".encode()
    headers = CIMultiDict({"Content-Type": "text/plain; charset=utf-8"})
    headers["Content-Length"] = str(len(data))
    return HttpAnswer(status, headers, Body(data, length=len(data)), closes)
