"""Bounded queue ordered by weight, then sub-call before root, then deadline."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING

from marjoramstep_core.states import SizeClass


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from marjoramstep_core.ids import RowName

    from .messages import AdmissionRequest

Key = tuple[float, ...]
# Weights go up to 1000. Blocks of 32 make a sum over weights add at most 64 numbers.
BLOCK_WEIGHTS = 32
BLOCKS = 32
# Removed entries stay in a heap until they reach its top or outnumber the rest.
COMPACTION_SLACK = 64
# A row that allows a longer wait than this asks to wait out an overload. A client whose
# resends are over in less time cannot do so itself after a refusal.
PATIENT_WAIT_MS = 1000
# Rows that were dropped from the table are forgotten when there are many lanes.
MIN_SWEEP_LANES = 256


@dataclass(slots=True, eq=False)
class QueueEntry:
    """A call that waits.

    :param request: the call
    :param sequence: rises with each arrival
    :param arrived_ms: time of arrival in milliseconds
    :param expires_ms: latest time of start in milliseconds
    :param work_ms: expected service time in milliseconds
    :param is_long: whether the size class is ``LONG``
    :param queued: false once the entry has left the queue
    """

    request: AdmissionRequest
    sequence: int
    arrived_ms: float
    expires_ms: float
    work_ms: float
    is_long: bool
    queued: bool = True

    @property
    def is_patient(self) -> bool:
        """Whether standing delay leaves the call in the queue."""
        return is_patient(self.request)


def is_patient(request: AdmissionRequest) -> bool:
    """Tell whether standing delay leaves a call in the queue.

    Refusing a sub-call would waste the work that its root has already cost.

    :param request: the call
    :return: true for a sub-call and for a row that allows a long wait
    """
    return request.depth > 0 or request.row.queue_wait_ms > PATIENT_WAIT_MS


def deadline_order(entry: QueueEntry) -> Key:
    """Order by weight, sub-call before root, then earliest deadline."""
    request = entry.request
    return (-request.weight, request.depth == 0, request.deadline_ms, entry.sequence)


def newest_order(entry: QueueEntry) -> Key:
    """Order by weight, sub-call before root, then newest arrival.

    Calls that standing delay does not drop keep the order of their deadlines: the
    oldest of them would otherwise wait until the whole backlog is done.
    """
    request = entry.request
    is_root = request.depth == 0
    if entry.is_patient:
        return (-request.weight, is_root, 0, request.deadline_ms, entry.sequence)
    return (-request.weight, is_root, 1, -entry.sequence)


def victim_order(entry: QueueEntry) -> Key:
    """Order by lowest weight, root before sub-call, then oldest arrival."""
    request = entry.request
    return (request.weight, request.depth > 0, entry.sequence)


def expiry_order(entry: QueueEntry) -> Key:
    """Order by the latest time of start."""
    return (entry.expires_ms, entry.sequence)


class EntryHeap:
    """Heap of entries that drops entries lazily after they left the queue.

    :param order: sort key; the lowest one comes first, and no two are equal
    """

    def __init__(self, order: Callable[[QueueEntry], Key]) -> None:
        self._order = order
        self._items: list[tuple[Key, QueueEntry]] = []
        self._removed = 0

    def push(self, entry: QueueEntry) -> None:
        """Add an entry.

        :param entry: the entry to add
        """
        heapq.heappush(self._items, (self._order(entry), entry))

    def peek(self) -> tuple[Key, QueueEntry] | None:
        """Return the first entry that still waits.

        :return: its key and the entry, or ``None``
        """
        items = self._items
        while items and not items[0][1].queued:
            heapq.heappop(items)
            self._removed -= 1
        return items[0] if items else None

    def note_removed(self) -> None:
        """Count an entry whose ``queued`` became false."""
        self._removed += 1
        if self._removed * 2 > len(self._items) + COMPACTION_SLACK:
            self.reorder(self._order)

    def reorder(self, order: Callable[[QueueEntry], Key]) -> None:
        """Sort all entries anew.

        :param order: the new sort key
        """
        self._order = order
        self._items = [(order(e), e) for _, e in self._items if e.queued]
        heapq.heapify(self._items)
        self._removed = 0


class WeightSums:
    """Expected work by weight, with sums over blocks of weights."""

    def __init__(self) -> None:
        self._sums = [0.0] * (BLOCK_WEIGHTS * BLOCKS)
        self._blocks = [0.0] * BLOCKS

    def add(self, weight: int, work_ms: float) -> None:
        """Add work.

        :param weight: from 1 to 1000
        :param work_ms: milliseconds, negative to take away
        """
        self._sums[weight] += work_ms
        self._blocks[weight // BLOCK_WEIGHTS] += work_ms

    def at_least(self, weight: int) -> float:
        """Return the work of a weight and all higher ones.

        :param weight: from 1 to 1001
        :return: milliseconds
        """
        block = weight // BLOCK_WEIGHTS + 1
        total = sum(self._sums[weight : block * BLOCK_WEIGHTS])
        return max(total + sum(self._blocks[block:]), 0.0)


class Lane:
    """Entries of one row and size class.

    :param row: name of the row
    :param order: sort key of the entries
    """

    def __init__(self, row: RowName, order: Callable[[QueueEntry], Key]) -> None:
        self.row = row
        self.heap = EntryHeap(order)
        self.parked = False
        self.offered: Key | None = None


class AdmissionQueue:
    """All calls that wait, with the first and the least important in O(log n)."""

    def __init__(self) -> None:
        self._order: Callable[[QueueEntry], Key] = deadline_order
        self._pushes = count()
        self._sweep_lanes = MIN_SWEEP_LANES
        self._entries: dict[int, QueueEntry] = {}
        self._lanes: dict[tuple[RowName, bool], Lane] = {}
        # Pairs are indexed by whether the size class is LONG.
        self._ready: tuple[list[tuple[Key, int, Lane]], ...] = ([], [])
        self._victims = (EntryHeap(victim_order), EntryHeap(victim_order))
        self._row_victims: dict[RowName, EntryHeap] = {}
        self._expiry = EntryHeap(expiry_order)
        self._row_counts: dict[RowName, int] = {}
        self._class_counts = [0, 0]
        self._work = (WeightSums(), WeightSums())

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, call_id: object) -> bool:
        return call_id in self._entries

    def get(self, call_id: int) -> QueueEntry | None:
        """Return the entry of a call.

        :param call_id: id of the call
        :return: the entry, or ``None`` if the call does not wait
        """
        return self._entries.get(call_id)

    def row_count(self, row: RowName) -> int:
        """Return the number of entries of a row.

        :param row: name of the row
        :return: number of entries
        """
        return self._row_counts.get(row, 0)

    def class_count(self, is_long: bool) -> int:
        """Return the number of entries of a size class.

        :param is_long: whether of the size class ``LONG``
        :return: number of entries
        """
        return self._class_counts[is_long]

    def work_ahead_ms(self, request: AdmissionRequest) -> float:
        """Return the expected work that starts before a new arrival.

        :param request: the arrival
        :return: sum of expected service times in milliseconds
        """
        goes_last = self._order is deadline_order or is_patient(request)
        lowest = request.weight if goes_last else request.weight + 1
        return self._work[request.size_class is SizeClass.LONG].at_least(lowest)

    def push(self, entry: QueueEntry) -> None:
        """Add an entry.

        :param entry: the entry to add
        """
        request = entry.request
        row, is_long = request.row.name, entry.is_long
        lane = self._lanes.get((row, is_long))
        if lane is None:
            lane = self._add_lane(row, is_long)
        self._entries[request.call_id] = entry
        lane.heap.push(entry)
        self._offer(lane, is_long)
        self._victims[is_long].push(entry)
        self._row_victims[row].push(entry)
        self._expiry.push(entry)
        self._row_counts[row] += 1
        self._class_counts[is_long] += 1
        self._work[is_long].add(request.weight, entry.work_ms)

    def remove(self, entry: QueueEntry) -> None:
        """Take an entry out.

        :param entry: an entry that waits
        """
        request = entry.request
        row, is_long = request.row.name, entry.is_long
        entry.queued = False
        del self._entries[request.call_id]
        self._row_counts[row] -= 1
        self._class_counts[is_long] -= 1
        self._work[is_long].add(request.weight, -entry.work_ms)
        lane = self._lanes[(row, is_long)]
        for heap in (
            lane.heap,
            self._victims[is_long],
            self._row_victims[row],
            self._expiry,
        ):
            heap.note_removed()
        self._offer(lane, is_long)

    def first(
        self, is_long: bool, may_start: Callable[[RowName], bool]
    ) -> tuple[Key, QueueEntry] | None:
        """Return the entry of a size class that starts next.

        :param is_long: whether of the size class ``LONG``
        :param may_start: whether a row may start another call; a row that may not is
            left out until :meth:`unpark`
        :return: its key and the entry, or ``None``
        """
        ready = self._ready[is_long]
        while ready:
            key, _, lane = ready[0]
            head = lane.heap.peek()
            if not lane.parked and head is not None and head[0] == key:
                if may_start(lane.row):
                    return head
                lane.parked = True
            heapq.heappop(ready)
            if lane.offered == key:
                lane.offered = None
        return None

    def unpark(self, rows: Iterable[RowName] | None = None) -> None:
        """Consider rows again that could not start a call.

        :param rows: names of rows; all rows if left out
        """
        for row in {key[0] for key in self._lanes} if rows is None else rows:
            for is_long in (False, True):
                lane = self._lanes.get((row, is_long))
                if lane is not None and lane.parked:
                    lane.parked = False
                    self._offer(lane, is_long)

    def least_important(self, is_long: bool) -> QueueEntry | None:
        """Return the oldest entry of the lowest weight of a size class.

        :param is_long: whether of the size class ``LONG``
        :return: the entry, or ``None`` if none waits
        """
        head = self._victims[is_long].peek()
        return head[1] if head else None

    def victim(self, row: RowName | None = None) -> QueueEntry | None:
        """Return the entry to evict first.

        :param row: name of the row to choose from; all rows if left out
        :return: the entry, or ``None`` if none waits
        """
        if row is not None:
            heap = self._row_victims.get(row)
            head = heap.peek() if heap else None
        else:
            heads = [heap.peek() for heap in self._victims]
            head = min((h for h in heads if h), default=None, key=lambda h: h[0])
        return head[1] if head else None

    def next_expiry(self) -> QueueEntry | None:
        """Return the entry that expires first.

        :return: the entry, or ``None`` if none waits
        """
        head = self._expiry.peek()
        return head[1] if head else None

    def set_newest_first(self, newest_first: bool) -> None:
        """Choose the order of entries of equal weight and kind.

        :param newest_first: newest arrival first, or else earliest deadline first
        """
        self._order = newest_order if newest_first else deadline_order
        for ready in self._ready:
            ready.clear()
        for (_, is_long), lane in self._lanes.items():
            lane.heap.reorder(self._order)
            lane.parked = False
            lane.offered = None
            self._offer(lane, is_long)

    def _offer(self, lane: Lane, is_long: bool) -> None:
        head = lane.heap.peek()
        if lane.parked or head is None or head[0] == lane.offered:
            return
        ready = self._ready[is_long]
        if len(ready) > 2 * len(self._lanes) + COMPACTION_SLACK:
            ready[:] = [item for item in ready if item[0] == item[2].offered]
            heapq.heapify(ready)
        lane.offered = head[0]
        heapq.heappush(ready, (head[0], next(self._pushes), lane))

    def _add_lane(self, row: RowName, is_long: bool) -> Lane:
        if len(self._lanes) >= self._sweep_lanes:
            self._drop_idle_rows()
            self._sweep_lanes = 2 * len(self._lanes) + MIN_SWEEP_LANES
        self._row_counts.setdefault(row, 0)
        if row not in self._row_victims:
            self._row_victims[row] = EntryHeap(victim_order)
        lane = self._lanes[(row, is_long)] = Lane(row, self._order)
        return lane

    def _drop_idle_rows(self) -> None:
        idle = [row for row, waiting in self._row_counts.items() if not waiting]
        for row in idle:
            del self._row_counts[row]
            del self._row_victims[row]
            for is_long in (False, True):
                lane = self._lanes.pop((row, is_long), None)
                if lane is not None:
                    # Items of this lane in the ready heap are then passed over.
                    lane.parked = True
                    lane.offered = None
