"""Heap of queued calls."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from .queue_entry import QueueEntry
    from .queue_entry import SortKey

# Removed entries stay in a heap until they reach its top or outnumber the others by
# this many.
COMPACTION_MARGIN = 64


class EntryHeap:
    """Heap of entries that discards removed entries lazily.

    :param order: sort key, unique for each entry; the lowest comes first
    """

    def __init__(self, order: Callable[[QueueEntry], SortKey]) -> None:
        self._order = order
        self._items: list[tuple[SortKey, QueueEntry]] = []
        self._removed = 0

    def push(self, entry: QueueEntry) -> None:
        """Add an entry.

        :param entry: the entry to add
        """
        heapq.heappush(self._items, (self._order(entry), entry))

    def peek(self) -> tuple[SortKey, QueueEntry] | None:
        """Return the first entry that is still queued.

        :return: its key and the entry, or ``None`` if there is none
        """
        items = self._items
        while items and not items[0][1].queued:
            heapq.heappop(items)
            self._removed -= 1
        return items[0] if items else None

    def note_removal(self) -> None:
        """Note that an entry was removed; the heap is compacted after many removals."""
        self._removed += 1
        if self._removed * 2 > len(self._items) + COMPACTION_MARGIN:
            self.reorder(self._order)

    def reorder(self, order: Callable[[QueueEntry], SortKey]) -> None:
        """Change the sort key and rebuild the heap.

        :param order: the new sort key
        """
        self._order = order
        self._items = [(order(e), e) for _, e in self._items if e.queued]
        heapq.heapify(self._items)
        self._removed = 0
