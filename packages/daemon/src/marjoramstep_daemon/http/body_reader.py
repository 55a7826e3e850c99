"""Reads the body of a received HTTP message."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError

from ..calls import INLINE_BODY_LIMIT_BYTES
from ..calls import UNKNOWN_LENGTH
from ..calls import Body
from ..upload import Upload


if TYPE_CHECKING:
    from aiohttp import StreamReader

# Longest wait for the next part of a body. Limits how long a caller that stops sending
# can occupy a stream.
BODY_READ_TIMEOUT_SECONDS = 30.0


class BrokenBodyError(InvalidInputError):
    """The caller's body is malformed or truncated."""


async def read_body(payload: StreamReader, length: int | None) -> Body:
    """Read a short body in full, or the first part of a long one.

    :param payload: stream of the body
    :param length: value of ``Content-Length``, None if the body is chunked
    :return: the body; the rest of a long one is streamed and can be read again from its
        start while all of it is still buffered
    :raises BrokenBodyError: if the body is malformed or truncated
    """
    first = bytearray()
    is_short = length is not None and length <= INLINE_BODY_LIMIT_BYTES
    while is_short or len(first) < INLINE_BODY_LIMIT_BYTES:
        part = await _read_part(payload, INLINE_BODY_LIMIT_BYTES - len(first))
        if not part:
            return Body(bytes(first), length=len(first))
        first += part
    upload = Upload(lambda: _read_part(payload, INLINE_BODY_LIMIT_BYTES), len(first))
    return Body(
        bytes(first),
        rest=upload.open(),
        length=UNKNOWN_LENGTH if length is None else length,
        upload=upload,
    )


async def _read_part(payload: StreamReader, limit_bytes: int) -> bytes:
    try:
        async with asyncio.timeout(BODY_READ_TIMEOUT_SECONDS):
            return await payload.read(max(limit_bytes, 1))
    except (TimeoutError, OSError, ConnectionError) as error:
        raise _broken(str(error) or "timed out") from error
    except Exception as error:
        # The parser raises errors of several libraries for a malformed body.
        raise _broken(str(error) or type(error).__name__) from error


def _broken(text: str) -> BrokenBodyError:
    return BrokenBodyError(
        f"request body is malformed or truncated: {text}",
        step="read body",
        peer="caller",
    )
