"""Compressed JSON for documents that would not fit into a message or a log entry."""

from __future__ import annotations

import zlib
from typing import Any

import orjson

from .errors import InvalidInputError


# Largest document that is unpacked; a short input may unpack to much more.
UNPACKED_LIMIT_BYTES = 32 * 1024 * 1024
# Fast, since a replica handles nothing else meanwhile.
COMPRESSION_LEVEL = 1


def pack(document: Any) -> bytes:
    """Compress a JSON document.

    :param document: JSON values
    :return: the compressed document
    """
    return zlib.compress(orjson.dumps(document), COMPRESSION_LEVEL)


def unpack(data: bytes) -> Any:
    """Decompress a JSON document.

    :param data: as returned by :func:`pack`
    :return: JSON values
    :raises InvalidInputError: if the data is damaged or too long
    """
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, UNPACKED_LIMIT_BYTES)
        if not inflater.eof:
            raise _damaged(f"more than {UNPACKED_LIMIT_BYTES} bytes, or cut short")
        return orjson.loads(text)
    except (zlib.error, ValueError) as error:
        raise _damaged(str(error)) from error


def _damaged(problem: str) -> InvalidInputError:
    return InvalidInputError(
        f"compressed document: {problem}", step="unpack document", peer="local"
    )
