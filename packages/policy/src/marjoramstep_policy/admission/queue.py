"""Priority queue of calls: by weight, then sub-call before root, then deadline."""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

from marjoramstep_core.states import SizeClass

from .entry_heap import COMPACTION_MARGIN
from .entry_heap import EntryHeap
from .queue_entry import deadline_order
from .queue_entry import expiry_order
from .queue_entry import is_drop_exempt
from .queue_entry import newest_order
from .queue_entry import victim_order
from .work_by_weight import WorkByWeight


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from marjoramstep_core.ids import RowName

    from .messages import AdmissionRequest
    from .queue_entry import QueueEntry
    from .queue_entry import SortKey

# State of rows without queued calls, for instance of rows removed from the table, is
# discarded once there are this many row queues.
MIN_CLEANUP_QUEUES = 256


class RowQueue:
    """Queued calls of one row and size class.

    ``is_blocked`` is set while the row may not start another call. ``heap_key`` is the
    key of the row queue in the heap of those that may start a call, if it is there.

    :param row: name of the row
    :param order: sort key of the entries
    """

    def __init__(self, row: RowName, order: Callable[[QueueEntry], SortKey]) -> None:
        self.row = row
        self.heap = EntryHeap(order)
        self.is_blocked = False
        self.heap_key: SortKey | None = None


class AdmissionQueue:
    """All queued calls; finds the next to start and the next to evict in O(log n)."""

    def __init__(self) -> None:
        self._order: Callable[[QueueEntry], SortKey] = deadline_order
        self._push_sequence = count()
        self._cleanup_threshold = MIN_CLEANUP_QUEUES
        self._entries: dict[int, QueueEntry] = {}
        self._row_queues: dict[tuple[RowName, bool], RowQueue] = {}
        # Pairs are indexed by ``is_long``.
        self._startable_heaps: tuple[list[tuple[SortKey, int, RowQueue]], ...] = (
            [],
            [],
        )
        self._eviction_heaps = (EntryHeap(victim_order), EntryHeap(victim_order))
        self._row_eviction_heaps: dict[RowName, EntryHeap] = {}
        self._expiry = EntryHeap(expiry_order)
        self._row_counts: dict[RowName, int] = {}
        self._class_counts = [0, 0]
        self._queued_work = (WorkByWeight(), WorkByWeight())

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, call_id: object) -> bool:
        return call_id in self._entries

    def get(self, call_id: int) -> QueueEntry | None:
        """Return the entry of a call.

        :param call_id: id of the call
        :return: the entry, or ``None`` if the call is not queued
        """
        return self._entries.get(call_id)

    def row_count(self, row: RowName) -> int:
        """Return the number of entries of a row.

        :param row: name of the row
        :return: number of entries
        """
        return self._row_counts.get(row, 0)

    def size_class_count(self, is_long: bool) -> int:
        """Return the number of entries of a size class.

        :param is_long: whether of the size class ``LONG``
        :return: number of entries
        """
        return self._class_counts[is_long]

    def work_ahead_ms(self, request: AdmissionRequest) -> float:
        """Return the expected work of the calls that would start before a new one.

        An approximation: the order of sub-call before root is not considered.

        :param request: the new call
        :return: sum of expected service times in milliseconds
        """
        starts_after_equal_weights = self._order is deadline_order or is_drop_exempt(
            request
        )
        lowest = request.weight if starts_after_equal_weights else request.weight + 1
        return self._queued_work[request.size_class is SizeClass.LONG].at_least(lowest)

    def push(self, entry: QueueEntry) -> None:
        """Add an entry.

        :param entry: the entry to add
        """
        request = entry.request
        row, is_long = request.row.name, entry.is_long
        row_queue = self._row_queues.get((row, is_long))
        if row_queue is None:
            row_queue = self._add_row_queue(row, is_long)
        self._entries[request.call_id] = entry
        row_queue.heap.push(entry)
        self._add_to_heap(row_queue, is_long)
        self._eviction_heaps[is_long].push(entry)
        self._row_eviction_heaps[row].push(entry)
        self._expiry.push(entry)
        self._row_counts[row] += 1
        self._class_counts[is_long] += 1
        self._queued_work[is_long].add(request.weight, entry.work_ms)

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry.

        :param entry: an entry of the queue
        """
        request = entry.request
        row, is_long = request.row.name, entry.is_long
        entry.queued = False
        del self._entries[request.call_id]
        self._row_counts[row] -= 1
        self._class_counts[is_long] -= 1
        self._queued_work[is_long].add(request.weight, -entry.work_ms)
        row_queue = self._row_queues[(row, is_long)]
        for heap in (
            row_queue.heap,
            self._eviction_heaps[is_long],
            self._row_eviction_heaps[row],
            self._expiry,
        ):
            heap.note_removal()
        self._add_to_heap(row_queue, is_long)

    def first(
        self, is_long: bool, may_start: Callable[[RowName], bool]
    ) -> tuple[SortKey, QueueEntry] | None:
        """Return the entry of a size class that starts next.

        :param is_long: whether of the size class ``LONG``
        :param may_start: whether a row may start another call; a row that may not is
            skipped until :meth:`unblock`
        :return: its key and the entry, or ``None`` if no call may start
        """
        startable = self._startable_heaps[is_long]
        while startable:
            key, _, row_queue = startable[0]
            head = row_queue.heap.peek()
            if not row_queue.is_blocked and head is not None and head[0] == key:
                if may_start(row_queue.row):
                    return head
                row_queue.is_blocked = True
            heapq.heappop(startable)
            if row_queue.heap_key == key:
                row_queue.heap_key = None
        return None

    def unblock(self, rows: Iterable[RowName] | None = None) -> None:
        """Reconsider rows that could not start a call.

        :param rows: names of the rows; all rows if ``None``
        """
        for row in {key[0] for key in self._row_queues} if rows is None else rows:
            for is_long in (False, True):
                row_queue = self._row_queues.get((row, is_long))
                if row_queue is not None and row_queue.is_blocked:
                    row_queue.is_blocked = False
                    self._add_to_heap(row_queue, is_long)

    def least_important(self, is_long: bool) -> QueueEntry | None:
        """Return the least important entry of a size class, the first to evict.

        :param is_long: whether of the size class ``LONG``
        :return: the entry, or ``None`` if there is none
        """
        head = self._eviction_heaps[is_long].peek()
        return head[1] if head else None

    def victim(self, row: RowName | None = None) -> QueueEntry | None:
        """Return the least important entry of a row or of all rows, the first to evict.

        :param row: name of the row to choose from; all rows if ``None``
        :return: the entry, or ``None`` if there is none
        """
        if row is not None:
            heap = self._row_eviction_heaps.get(row)
            head = heap.peek() if heap else None
        else:
            heads = [heap.peek() for heap in self._eviction_heaps]
            head = min((h for h in heads if h), default=None, key=lambda h: h[0])
        return head[1] if head else None

    def next_expiry(self) -> QueueEntry | None:
        """Return the entry that expires first.

        :return: the entry, or ``None`` if the queue is empty
        """
        head = self._expiry.peek()
        return head[1] if head else None

    def set_newest_first(self, newest_first: bool) -> None:
        """Set the order among sub-calls, and among roots, of equal weight.

        :param newest_first: newest arrival first if true, else earliest deadline first
        """
        self._order = newest_order if newest_first else deadline_order
        for startable in self._startable_heaps:
            startable.clear()
        for (_, is_long), row_queue in self._row_queues.items():
            row_queue.heap.reorder(self._order)
            row_queue.is_blocked = False
            row_queue.heap_key = None
            self._add_to_heap(row_queue, is_long)

    def _add_to_heap(self, row_queue: RowQueue, is_long: bool) -> None:
        head = row_queue.heap.peek()
        if row_queue.is_blocked or head is None or head[0] == row_queue.heap_key:
            return
        startable = self._startable_heaps[is_long]
        if len(startable) > 2 * len(self._row_queues) + COMPACTION_MARGIN:
            startable[:] = [item for item in startable if item[0] == item[2].heap_key]
            heapq.heapify(startable)
        row_queue.heap_key = head[0]
        heapq.heappush(startable, (head[0], next(self._push_sequence), row_queue))

    def _add_row_queue(self, row: RowName, is_long: bool) -> RowQueue:
        if len(self._row_queues) >= self._cleanup_threshold:
            self._remove_idle_rows()
            self._cleanup_threshold = 2 * len(self._row_queues) + MIN_CLEANUP_QUEUES
        self._row_counts.setdefault(row, 0)
        if row not in self._row_eviction_heaps:
            self._row_eviction_heaps[row] = EntryHeap(victim_order)
        row_queue = self._row_queues[(row, is_long)] = RowQueue(row, self._order)
        return row_queue

    def _remove_idle_rows(self) -> None:
        idle = [row for row, waiting in self._row_counts.items() if not waiting]
        for row in idle:
            del self._row_counts[row]
            del self._row_eviction_heaps[row]
            for is_long in (False, True):
                row_queue = self._row_queues.pop((row, is_long), None)
                if row_queue is not None:
                    # Makes :meth:`first` discard items of this row queue in the heap.
                    row_queue.is_blocked = True
                    row_queue.heap_key = None
