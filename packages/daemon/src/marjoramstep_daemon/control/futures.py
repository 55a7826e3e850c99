"""Completes futures that may already be done or cancelled."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from marjoramstep_core.errors import MarjoramstepError


def resolve_future(future: object, value: object) -> None:
    """Set the result of a pending future.

    :param future: a future, or None if nothing waits any more; None is ignored
    :param value: the result
    """
    if isinstance(future, asyncio.Future) and not future.done():
        future.set_result(value)


def fail_future(future: object, error: MarjoramstepError) -> None:
    """Set the exception of a pending future.

    :param future: a future, or None if nothing waits any more; None is ignored
    :param error: the exception
    """
    if isinstance(future, asyncio.Future) and not future.done():
        future.set_exception(error)
