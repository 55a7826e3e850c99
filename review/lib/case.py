"""Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if neither."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from typing import TYPE_CHECKING

from .deployment import Record


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from pathlib import Path

LIMIT_S = 110.0


def run_case(folder: Path, case: Callable[[Record, bool], Awaitable[bool]]) -> None:
    """Run a case and exit.

    :param folder: folder of the case, which gets record.txt
    :param case: gets the record and whether the disruption takes place; returns whether
        the rule was broken
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'on' if trouble else 'off'}")

    async def limited() -> bool:
        task = asyncio.current_task()
        assert task is not None
        # The processes that the case has started are ended also in this case.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(LIMIT_S):
            return await case(record, trouble)

    try:
        broken = asyncio.run(limited())
    except BaseException:
        record.write("the case could not run:\n" + traceback.format_exc())
        sys.exit(2)
    record.write("RESULT: the rule was broken" if broken else "RESULT: the rule held")
    sys.exit(1 if broken else 0)
