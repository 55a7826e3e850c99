"""Admission control for one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.states import Reason
from marjoramstep_core.states import SizeClass

from .eviction import make_room
from .limit import AdaptiveLimit
from .limit import FixedLimit
from .limit import check_slots
from .messages import AdmissionLoad
from .messages import Decision
from .messages import Refuse
from .messages import Start
from .queue import AdmissionQueue
from .queue_entry import QueueEntry
from .row_shares import RowShares
from .running_calls import RunningCalls
from .service_times import ServiceTimes
from .shedding import AdmittedWeight
from .shedding import DelayMonitor
from .shedding import delay_target_ms


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import RowName

    from .messages import AdmissionRequest

# Bound of the queue over all rows, per slot. In a longer queue, the last calls would
# wait for more than 8 service times.
QUEUE_LENGTH_PER_SLOT = 8
MIN_QUEUE_LENGTH = 64
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 5000
# Several times what it takes to ask another server.
MOVE_ON_WAIT_MS = 20.0
DELAY_SMOOTHING = 0.2
SUB_CALL_SERVICE_TIME_FACTOR = 0.5
OVERLOAD_REASONS = frozenset({Reason.OVERLOAD, Reason.EVICTED, Reason.QUEUE_FULL})


class AdmissionController:
    """Starts, queues, refuses or evicts the calls to one backend server.

    :param clock: source of monotonic milliseconds
    :param slots: announced slots, at least 1
    :param adapt_limit: whether the concurrency limit adapts to observed service times;
        otherwise it equals the slots
    :param limit_long_calls: whether long calls are limited to half of the concurrency
        limit, so that short calls find slots
    :raises InvalidInputError: if ``slots`` is below 1
    """

    def __init__(
        self,
        clock: Clock,
        slots: int,
        *,
        adapt_limit: bool = True,
        limit_long_calls: bool = True,
    ) -> None:
        check_slots(slots)
        self._clock = clock
        self._slots = slots
        self._limit = AdaptiveLimit(slots) if adapt_limit else FixedLimit(slots)
        self._limit_long_calls = limit_long_calls
        self._queue = AdmissionQueue()
        self._running = RunningCalls()
        self._row_shares = RowShares()
        self._service_times = ServiceTimes()
        self._delay_monitor = DelayMonitor()
        self._admitted_weight = AdmittedWeight()
        self._queue_delay_ms = 0.0
        self._last_sequence = 0

    def arrive(self, request: AdmissionRequest) -> list[Decision]:
        """Start, queue or refuse a call.

        :param request: the call
        :return: decisions on this call and on others; none on this call if it is queued
        :raises InvalidInputError: if a call with this id is queued or in flight
        """
        if request.call_id in self._running or request.call_id in self._queue:
            raise InvalidInputError(
                f"call {request.call_id} is queued or in flight already",
                step="admit call",
            )
        now_ms = self._clock.now_ms()
        decisions = self._expire(now_ms)
        row = request.row
        share_changed = self._row_shares.update(row)
        if share_changed:
            self._queue.unblock((row.name,))
        if decisions or share_changed:
            self._dispatch(now_ms, decisions)
        # No queued call can start now, so this one overtakes none if it starts.
        is_long = request.size_class is SizeClass.LONG
        has_slot = self._class_has_slot(is_long) and self._row_has_slot(row.name)
        if request.may_move_on and self._has_long_wait(now_ms, request, has_slot):
            # Not counted as shed, since another server may have a free slot.
            decisions.append(Refuse(request.call_id, Reason.OVERLOAD, 0))
        elif self._cannot_meet_deadline(now_ms, request, has_slot):
            decisions.append(self._refuse(now_ms, request, Reason.DEADLINE))
        elif has_slot:
            self._start(now_ms, request, decisions)
        else:
            self._enqueue(now_ms, request, decisions)
        self._check_standing_queue(now_ms, decisions)
        return decisions

    def finish(self, call_id: int, *, succeeded: bool) -> list[Decision]:
        """Release the slot of a call in flight.

        :param call_id: id of the call
        :param succeeded: whether the backend server answered without an error
        :return: decisions on queued calls
        :raises InvalidInputError: if no call with this id is in flight
        """
        call = self._running.remove(call_id)
        now_ms = self._clock.now_ms()
        row = call.request.row
        duration_ms = now_ms - call.started_ms
        # A fast failure says nothing about the service time; the duration of a slow
        # failure is a lower bound of it.
        if succeeded or duration_ms > self._service_times.expected_ms(now_ms, row):
            self._service_times.observe(now_ms, row, duration_ms)
            if self._limit.observe(now_ms, row.name, call.started_ms):
                self._queue.unblock()
        self._limit.set_in_flight(now_ms, len(self._running))
        self._queue.unblock((row.name,))
        return self._process_queue(now_ms)

    def cancel(self, call_id: int) -> list[Decision]:
        """Refuse a call if it is still queued; a call in flight keeps its slot.

        :param call_id: id of the call; an unknown id is ignored
        :return: the refusal, if the call was queued, and decisions on queued calls
        """
        entry = self._queue.get(call_id)
        if entry is None:
            return []
        self._queue.remove(entry)
        decisions: list[Decision] = [Refuse(call_id, Reason.CANCELLED, 0)]
        decisions += self._process_queue(self._clock.now_ms())
        return decisions

    def tick(self) -> list[Decision]:
        """Apply deadlines, limits of the queue wait and drops for a standing queue.

        :return: decisions that are due
        """
        return self._process_queue(self._clock.now_ms())

    def next_wakeup_ms(self) -> float | None:
        """Return the time at which ``tick`` is due.

        :return: time of the clock in milliseconds, or ``None`` if the queue is empty
        """
        entry = self._queue.next_expiry()
        if entry is None:
            return None
        due_ms = self._delay_monitor.drop_due_ms
        candidate = self._drop_candidate()
        if due_ms is None and candidate is not None:
            due_ms = candidate.arrived_ms + delay_target_ms(candidate.work_ms)
        return entry.expires_ms if due_ms is None else min(entry.expires_ms, due_ms)

    def set_slots(self, slots: int) -> list[Decision]:
        """Change the number of announced slots.

        :param slots: new number, at least 1; calls in flight beyond it continue
        :return: decisions on queued calls
        :raises InvalidInputError: if ``slots`` is below 1
        """
        check_slots(slots)
        self._slots = slots
        self._limit.set_slots(slots)
        self._queue.unblock()
        return self._process_queue(self._clock.now_ms())

    def load(self) -> AdmissionLoad:
        """Return the current load.

        :return: load of this backend server
        """
        return AdmissionLoad(
            in_flight=len(self._running),
            limit=self._limit.value,
            queue_length=len(self._queue),
            queue_delay_ms=self._queue_delay_ms if len(self._queue) else 0.0,
            admitted_weight=self._admitted_weight.value(self._clock.now_ms()),
        )

    def _process_queue(self, now_ms: float) -> list[Decision]:
        decisions = self._expire(now_ms)
        self._dispatch(now_ms, decisions)
        self._check_standing_queue(now_ms, decisions)
        return decisions

    def _expire(self, now_ms: float) -> list[Decision]:
        decisions: list[Decision] = []
        entry = self._queue.next_expiry()
        while entry is not None and entry.expires_ms <= now_ms:
            request = entry.request
            is_deadline_due = entry.expires_ms >= request.deadline_ms - entry.work_ms
            reason = Reason.DEADLINE if is_deadline_due else Reason.OVERLOAD
            self._queue.remove(entry)
            self._admitted_weight.record_shed(now_ms, request.weight)
            decisions.append(self._refuse(now_ms, request, reason))
            if reason is Reason.OVERLOAD:
                self._evict_lower_weights(now_ms, request, decisions)
            entry = self._queue.next_expiry()
        return decisions

    def _dispatch(self, now_ms: float, decisions: list[Decision]) -> None:
        while len(self._queue):
            entry = self._next_entry()
            if entry is None:
                return
            self._queue.remove(entry)
            request = entry.request
            if self._misses_deadline(now_ms, request, 0.0):
                decisions.append(self._refuse(now_ms, request, Reason.DEADLINE))
                continue
            waited_ms = now_ms - entry.arrived_ms
            self._queue_delay_ms += DELAY_SMOOTHING * (waited_ms - self._queue_delay_ms)
            self._start(now_ms, request, decisions)

    def _next_entry(self) -> QueueEntry | None:
        queue = self._queue
        short = long = None
        if queue.size_class_count(False) and self._class_has_slot(False):
            short = queue.first(False, self._row_has_slot)
        if queue.size_class_count(True) and self._class_has_slot(True):
            long = queue.first(True, self._row_has_slot)
        if short is None or (long is not None and long[0] < short[0]):
            return long[1] if long else None
        return short[1]

    def _class_has_slot(self, is_long: bool) -> bool:
        limit = self._limit.value
        in_flight = len(self._running)
        if not self._limit_long_calls:
            return in_flight < limit
        if is_long and limit == 1:
            return in_flight == 0 and not self._queue.size_class_count(False)
        if is_long:
            return in_flight < limit and self._running.long_count < limit // 2
        if in_flight < limit:
            return True
        # Long calls that started before a decrease of the limit must not block short
        # calls.
        short_calls = in_flight - self._running.long_count
        return in_flight < self._slots and short_calls < limit - limit // 2

    def _row_has_slot(self, name: RowName) -> bool:
        in_flight = self._running.count_of_row(name)
        return self._row_shares.has_slot(name, in_flight, self._limit.value)

    def _start(
        self, now_ms: float, request: AdmissionRequest, decisions: list[Decision]
    ) -> None:
        self._running.add(request, now_ms)
        self._limit.set_in_flight(now_ms, len(self._running))
        self._admitted_weight.record_start(now_ms, request.weight)
        decisions.append(Start(request.call_id))

    def _enqueue(
        self, now_ms: float, request: AdmissionRequest, decisions: list[Decision]
    ) -> None:
        victim = make_room(self._queue, request, self._queue_limit())
        if victim is request:
            decisions.append(self._refuse(now_ms, request, Reason.QUEUE_FULL))
            if request.row.queue_length and request.row.queue_wait_ms:
                self._evict_lower_weights(now_ms, request, decisions)
            return
        if victim is not None:
            decisions.append(self._refuse(now_ms, victim, Reason.EVICTED))
        work_ms = self._service_times.expected_ms(now_ms, request.row)
        expires_ms = request.deadline_ms - work_ms
        if request.depth == 0:
            expires_ms = min(expires_ms, now_ms + request.row.queue_wait_ms)
        self._last_sequence += 1
        self._queue.push(
            QueueEntry(
                request,
                self._last_sequence,
                now_ms,
                expires_ms,
                work_ms,
                request.size_class is SizeClass.LONG,
            )
        )

    def _evict_lower_weights(
        self, now_ms: float, refused: AdmissionRequest, decisions: list[Decision]
    ) -> None:
        """Evict queued calls of a lower weight than a call refused for overload.

        The queue bound of a row can refuse a call while calls of lower weight are
        queued in other rows. Without the eviction these would run instead of it.
        """
        is_long = refused.size_class is SizeClass.LONG
        if self._class_has_slot(is_long) or not self._row_has_slot(refused.row.name):
            return
        entry = self._queue.least_important(is_long)
        while entry is not None and entry.request.weight < refused.weight:
            self._queue.remove(entry)
            decisions.append(self._refuse(now_ms, entry.request, Reason.EVICTED))
            entry = self._queue.least_important(is_long)

    def _queue_limit(self) -> int:
        return max(MIN_QUEUE_LENGTH, QUEUE_LENGTH_PER_SLOT * self._slots)

    def _has_long_wait(
        self, now_ms: float, request: AdmissionRequest, has_slot: bool
    ) -> bool:
        if has_slot or self._misses_deadline(now_ms, request, 0.0):
            return False
        return self._expected_wait_ms(now_ms, request) > MOVE_ON_WAIT_MS

    def _cannot_meet_deadline(
        self, now_ms: float, request: AdmissionRequest, has_slot: bool
    ) -> bool:
        """Return whether a new call must be refused because of its deadline.

        Record its weight as shed if only the expected wait makes it too late.
        """
        wait_ms = 0.0 if has_slot else self._expected_wait_ms(now_ms, request)
        if not self._misses_deadline(now_ms, request, wait_ms):
            return False
        if not has_slot and not self._misses_deadline(now_ms, request, 0.0):
            self._admitted_weight.record_shed(now_ms, request.weight)
        return True

    def _misses_deadline(
        self, now_ms: float, request: AdmissionRequest, wait_ms: float
    ) -> bool:
        if now_ms >= request.deadline_ms:
            return True
        # Without a call of this row in flight, one is run to refresh the estimate.
        if wait_ms == 0.0 and not self._running.count_of_row(request.row.name):
            return False
        expected_ms = self._service_times.expected_ms(now_ms, request.row)
        if request.depth > 0:
            # Refusing a sub-call makes its root request fail for certain, while about
            # every second call takes less than the mean service time.
            expected_ms *= SUB_CALL_SERVICE_TIME_FACTOR
        return now_ms + wait_ms + expected_ms > request.deadline_ms

    def _expected_wait_ms(self, now_ms: float, request: AdmissionRequest) -> float:
        limit = self._limit.value
        is_long = request.size_class is SizeClass.LONG
        work_ms = self._queue.work_ahead_ms(request)
        # The next slot is expected to become free after a part of one service time.
        work_ms += self._service_times.expected_ms(now_ms, request.row)
        is_long_limited = is_long and self._limit_long_calls
        slots = limit // 2 if is_long_limited else limit - self._running.long_count
        return work_ms / max(1, slots)

    def _refuse(
        self, now_ms: float, request: AdmissionRequest, reason: Reason
    ) -> Refuse:
        if reason in OVERLOAD_REASONS:
            self._admitted_weight.record_shed(now_ms, request.weight)
        wait_ms = max(int(self._expected_wait_ms(now_ms, request)), MIN_RETRY_AFTER_MS)
        return Refuse(request.call_id, reason, min(wait_ms, MAX_RETRY_AFTER_MS))

    def _check_standing_queue(self, now_ms: float, decisions: list[Decision]) -> None:
        was_standing = self._delay_monitor.is_standing
        candidate = self._drop_candidate()
        delay_ms = now_ms - candidate.arrived_ms if candidate else 0.0
        work_ms = candidate.work_ms if candidate else 0.0
        if self._delay_monitor.observe(now_ms, delay_ms, work_ms) and candidate:
            self._queue.remove(candidate)
            decisions.append(self._refuse(now_ms, candidate.request, Reason.OVERLOAD))
        if self._delay_monitor.is_standing != was_standing:
            self._queue.set_newest_first(self._delay_monitor.is_standing)

    def _drop_candidate(self) -> QueueEntry | None:
        # While a slot is free, calls wait only because of the limit of their row.
        if not self._queue.size_class_count(False) or self._class_has_slot(False):
            return None
        entry = self._queue.least_important(False)
        return None if entry is None or entry.is_drop_exempt else entry
