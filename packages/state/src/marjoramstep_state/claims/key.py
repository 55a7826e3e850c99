"""Format and partitioning of request keys."""

from __future__ import annotations

import hashlib
import re
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from marjoramstep_core.ids import RequestKey

PARTITION_COUNT = 256
KEY_PATTERN = re.compile(r"([0-9]{1,15})-[A-Za-z0-9_]{16,128}")


def parse_issued_ms(key: RequestKey) -> int | None:
    """Parse the time at which a key was issued.

    :param key: key of the form ``<issued_unix_ms>-<16 or more of [A-Za-z0-9_]>``, with
        at most 128 characters after the dash
    :return: Unix milliseconds, ``None`` if the key is malformed
    """
    match = KEY_PATTERN.fullmatch(key)
    return int(match.group(1)) if match else None


def partition_of(key: RequestKey) -> int:
    """Return the partition of a key; part of the snapshot format.

    :param key: any key
    :return: number from 0 to ``PARTITION_COUNT`` - 1
    """
    return hashlib.sha256(key.encode()).digest()[0] % PARTITION_COUNT
