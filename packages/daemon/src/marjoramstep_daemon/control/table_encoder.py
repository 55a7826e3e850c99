"""Encodes the table for nodes, as a delta if the node's version is still stored."""

from __future__ import annotations

import json
from collections import OrderedDict
from typing import TYPE_CHECKING

from marjoramstep_core.ids import TableVersion
from marjoramstep_core.table.delta import TableDelta


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
        :return: JSON of a delta or of the whole table; empty if nothing is newer
        """
        version = self._machine.table.version
        if have_version >= version:
            return b""
        key = (have_version, version)
        data = self._cache.get(key)
        if data is None:
            data = self._cache[key] = json.dumps(self._document(have_version)).encode()
            if len(self._cache) > CACHE_LIMIT:
                self._cache.popitem(last=False)
        return data

    def _document(self, have_version: int) -> dict[str, object]:
        table = self._machine.table
        base = self._machine.table_version(TableVersion(have_version))
        if base is None:
            return table.to_json()
        return TableDelta.between(base, table).to_json()
