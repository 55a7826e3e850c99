"""Encodes the table for nodes, as a delta if the node's version is still stored."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import orjson
from marjoramstep_core.ids import TableVersion
from marjoramstep_core.packing import pack
from marjoramstep_core.table.delta import TableDelta

from .proposal_queue import PAYLOAD_LIMIT_BYTES


if TYPE_CHECKING:
    from marjoramstep_state import StateMachine

# All nodes ask for the same few deltas after an edit, so each is encoded once.
CACHE_LIMIT = 16


class TableEncoder:
    """Encodes the content of table replies.

    :param machine: state machine with the table and its last versions
    """

    def __init__(self, machine: StateMachine) -> None:
        self._machine = machine
        self._cache: OrderedDict[tuple[int, int], bytes] = OrderedDict()

    def encode(self, have_version: int) -> bytes:
        """Return the table or the delta that brings a node up to date.

        :param have_version: version in force at the node, 0 without a table
        :return: JSON of a delta or of the whole table, packed if it would not fit into
            a message; empty if nothing is newer
        """
        version = self._machine.table.version
        if have_version >= version:
            return b""
        key = (have_version, version)
        data = self._cache.get(key)
        if data is None:
            data = self._cache[key] = self._encode(have_version)
            if len(self._cache) > CACHE_LIMIT:
                self._cache.popitem(last=False)
        return data

    def _encode(self, have_version: int) -> bytes:
        table = self._machine.table
        base = self._machine.table_version(TableVersion(have_version))
        if base is None:
            data = orjson.dumps(table.to_json())
        else:
            data = orjson.dumps(TableDelta.between(base, table).to_json())
        if len(data) <= PAYLOAD_LIMIT_BYTES:
            return data
        return pack(table.to_stated_json())
