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


class BrokenBodyError(InvalidInputError):
    """The caller's body is malformed or truncated."""


class BodyTimeoutError(InvalidInputError):
    """The caller's body did not arrive in time."""


async def read_body(
    payload: StreamReader, length: int | None, timeout_seconds: float
) -> Body:
    """Read a short body in full, or the first part of a long one.

    :param payload: stream of the body
    :param length: value of ``Content-Length``, None if the body is chunked
    :param timeout_seconds: bound of the whole read, and then of the wait for each part
        of the rest
    :return: the body; the rest of a long one is streamed and can be read again from its
        start while all of it is still buffered
    :raises BrokenBodyError: if the body is malformed or truncated
    :raises BodyTimeoutError: if it does not arrive in time
    """
    first = bytearray()
    is_short = length is not None and length <= INLINE_BODY_LIMIT_BYTES
    try:
        async with asyncio.timeout(timeout_seconds):
            while is_short or len(first) < INLINE_BODY_LIMIT_BYTES:
                part = await _read_part(payload, INLINE_BODY_LIMIT_BYTES - len(first))
                if not part:
                    return Body(bytes(first), length=len(first))
                first += part
    except TimeoutError as error:
        raise _late(timeout_seconds, len(first), length) from error

    async def read_next() -> bytes:
        try:
            async with asyncio.timeout(timeout_seconds):
                return await _read_part(payload, INLINE_BODY_LIMIT_BYTES)
        except TimeoutError as error:
            raise _late(timeout_seconds, payload.total_bytes, length) from error

    upload = Upload(read_next, len(first))
    return Body(
        bytes(first),
        rest=upload.open(),
        length=UNKNOWN_LENGTH if length is None else length,
        upload=upload,
    )


async def _read_part(payload: StreamReader, limit_bytes: int) -> bytes:
    try:
        return await payload.read(max(limit_bytes, 1))
    except Exception as error:
        # The parser raises errors of several libraries for a malformed body.
        text = str(error) or type(error).__name__
        raise BrokenBodyError(
            f"request body is malformed or truncated: {text}",
            step="read body",
            peer="caller",
        ) from error


def _late(
    timeout_seconds: float, received_bytes: int, length: int | None
) -> BodyTimeoutError:
    expected = "an unknown number" if length is None else str(length)
    return BodyTimeoutError(
        f"request body has not arrived within {timeout_seconds:g} s: "
        f"{received_bytes} of {expected} bytes",
        step="read body",
        peer="caller",
    )
