"""Completes futures that may already be done or cancelled."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from marjoramstep_core.errors import MarjoramstepError


def resolve_future(token: object, value: object) -> None:
    """Set the result of a pending future.

    :param token: a future; anything else is ignored
    :param value: the result
    """
    if isinstance(token, asyncio.Future) and not token.done():
        token.set_result(value)


def fail_future(token: object, error: MarjoramstepError) -> None:
    """Set the exception of a pending future.

    :param token: a future; anything else is ignored
    :param error: the exception
    """
    if isinstance(token, asyncio.Future) and not token.done():
        token.set_exception(error)
