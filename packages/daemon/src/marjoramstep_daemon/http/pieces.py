"""Division of received bytes into what a parser gets at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator

HEAD_END = b"\r\n\r\n"
# Pieces into which one read is split; a body may contain the end of a head many times.
PIECES_LIMIT = 64


def split_behind_heads(data: bytes) -> Iterator[bytes]:
    """Split received bytes where the head of a message may end.

    A parser drops the messages that it has found in a piece if something in the same
    piece is malformed.

    :param data: received bytes
    :return: the pieces in order; a single empty one for no bytes
    """
    start = 0
    for _ in range(PIECES_LIMIT - 1):
        end = data.find(HEAD_END, start) + len(HEAD_END)
        if end < len(HEAD_END) or end == len(data):
            break
        yield data[start:end]
        start = end
    yield data[start:]
