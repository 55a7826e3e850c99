"""Concurrency limit found from observed service times."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError


if TYPE_CHECKING:
    from marjoramstep_core.ids import RowName

# A window closes after this many calls that started in it. With exponential service
# times the mean of 72 has a standard error of 12%.
MIN_WINDOW_SAMPLES = 72
# The limit guessed after a jump of the latency may be far too low. A shorter window
# shows this sooner, and its error is small against the size of that change.
JUMP_WINDOW_SAMPLES = 24
# With few slots, 24 calls at a lowered limit take seconds in which half the throughput
# may be lost, so a trial of such a limit lasts only some turns.
JUMP_WINDOW_TURNS = 3
JUMP_WINDOW_LEAST = 8
# A trial at half the concurrency shows whether throughput halves too.
JUMP_TRIAL_FACTOR = 0.5
SHORT_WINDOW_MARGIN = 0.25
WINDOW_TURNS = 2
# Two windows show the effect of concurrency only if it differs by at least 8%.
MIN_CONCURRENCY_CHANGE_LOG = 0.08
# At equal concurrency, a change by half is more than two standard errors of the ratio.
LATENCY_JUMP_LOG = math.log(1.5)
# A knee estimated above this share of the higher concurrency counts as not reached.
KNEE_REACHED_SHARE = 0.88
DOWN_FACTOR = 0.8
UP_FACTOR = 1.25
MAX_UP_FACTOR = 2.0
# Windows at an unchanged limit between two trials of another limit.
HOLD_WINDOWS = 3
# A trial of a lower limit costs throughput, so only one trial in this many is one.
DOWN_PROBE_INTERVAL = 4
SATURATED_SHARE = 0.8
# After a decrease, a window starts once the calls above the limit have finished. Long
# calls may hold their slots for minutes and must not stop the measurement.
SETTLE_LIMIT_MS = 1000.0


class AdaptiveLimit:
    """Limit between 1 and the slots, at the knee of the throughput curve.

    Compares windows at different concurrency. With service time ``r`` at concurrency
    ``n``, throughput is ``n / r``. The knee is where the line through the window of
    lower concurrency reaches the throughput of the other one. Service times are
    compared row by row, so a changed mix of rows is not taken for a slowdown.

    :param slots: announced slots

    The attribute ``value`` holds the present limit.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self.value = slots
        self._in_flight = 0
        self._window_start_ms = 0.0
        self._area = 0.0
        self._changed_ms = 0.0
        self._settling = False
        self._sums: dict[RowName, list[float]] = {}
        self._samples = 0
        # Last calls of the window, to see whether a slowdown in it is over.
        self._recent: deque[tuple[RowName, float]] = deque(maxlen=JUMP_WINDOW_SAMPLES)
        self._min_samples = MIN_WINDOW_SAMPLES
        self._was_short = False
        self._previous: tuple[float, dict[RowName, list[float]]] | None = None
        # Logarithm of the latency relative to the first window, and its lowest value.
        self._level = 0.0
        self._lowest_level = 0.0
        self._up_factor = UP_FACTOR
        self._held = 0
        # Whether the limit is at a knee that lies between two measured windows.
        self._at_knee = False
        self._probes = 0

    def set_slots(self, slots: int) -> None:
        """Follow the announced slots.

        :param slots: new number; a limit at the old number moves along
        """
        if self.value >= self._slots or self._limit > slots:
            self._limit = float(slots)
            self.value = slots
        self._slots = slots

    def set_in_flight(self, now_ms: float, in_flight: int) -> None:
        """Note a change of the number of calls in flight.

        :param now_ms: present time in milliseconds
        :param in_flight: new number
        """
        self._area += self._in_flight * (now_ms - self._changed_ms)
        self._changed_ms = now_ms
        self._in_flight = in_flight
        if self._settling and (
            in_flight <= self.value or now_ms - self._window_start_ms > SETTLE_LIMIT_MS
        ):
            self._settling = False
            self._window_start_ms = now_ms
            self._area = 0.0

    def observe(self, now_ms: float, row: RowName, start_ms: float) -> bool:
        """Note the end of a call.

        :param now_ms: present time in milliseconds
        :param row: row of the call
        :param start_ms: time of its start in milliseconds
        :return: whether the limit changed
        """
        if self._settling or start_ms < self._window_start_ms:
            return False
        entry = self._sums.setdefault(row, [0.0, 0.0])
        entry[0] += now_ms - start_ms
        entry[1] += 1.0
        self._recent.append((row, now_ms - start_ms))
        self._samples += 1
        if self._samples < max(self._min_samples, WINDOW_TURNS * self.value):
            return False
        before = self.value
        self._close_window(now_ms)
        return self.value != before

    def _close_window(self, now_ms: float) -> None:
        self._area += self._in_flight * (now_ms - self._changed_ms)
        self._changed_ms = now_ms
        duration_ms = max(now_ms - self._window_start_ms, 1e-6)
        concurrency = max(self._area / duration_ms, 1e-3)
        before = self.value
        self._was_short = self._min_samples < MIN_WINDOW_SAMPLES
        self._min_samples = MIN_WINDOW_SAMPLES
        self._learn(concurrency)
        self._sums = {}
        self._recent.clear()
        self._samples = 0
        self._area = 0.0
        self._window_start_ms = now_ms
        self._limit = min(max(self._limit, 1.0), float(self._slots))
        self.value = int(self._limit + 0.5)
        self._held = self._held + 1 if self.value == before else 0
        self._settling = self.value < before

    def _learn(self, concurrency: float) -> None:
        previous = self._previous
        if previous is not None:
            change = _latency_change_log(previous[1], self._sums)
            if change > LATENCY_JUMP_LOG and not self._is_still_slow(previous[1]):
                # A slowdown ended in this window. A limit lowered for it now would
                # extend the overload, and a comparison with this window would take
                # the end of the slowdown for an effect of concurrency.
                return
            self._level += change
            self._lowest_level = min(self._lowest_level, self._level)
            self._decide(previous[0], concurrency, change)
        self._previous = (concurrency, self._sums)

    def _is_still_slow(self, previous: dict[RowName, list[float]]) -> bool:
        sums: dict[RowName, list[float]] = {}
        for row, duration_ms in self._recent:
            entry = sums.setdefault(row, [0.0, 0.0])
            entry[0] += duration_ms
            entry[1] += 1.0
        return _latency_change_log(previous, sums) > LATENCY_JUMP_LOG

    def _decide(self, previous: float, current: float, change: float) -> None:
        moved = math.log(current / previous)
        if self._at_knee:
            # The move to the knee shows nothing new; compare from the next window on.
            self._at_knee = False
            return
        if abs(moved) >= MIN_CONCURRENCY_CHANGE_LOG:
            self._move_to_knee(previous, current, change)
        elif change > LATENCY_JUMP_LOG:
            # Either each call takes longer, or capacity was lost and the knee moved
            # down. A trial of a lower limit tells the two apart.
            self._limit = min(current * JUMP_TRIAL_FACTOR, current - 1.0)
            self._shorten_window()
        elif change < -LATENCY_JUMP_LOG:
            self._go_up(current)
        elif current < SATURATED_SHARE * self.value:
            self._limit = max(self._limit * UP_FACTOR, self._limit + 1.0)
        elif self._held >= HOLD_WINDOWS:
            self._probe(current)

    def _move_to_knee(self, previous: float, current: float, change: float) -> None:
        low, high = min(previous, current), max(previous, current)
        latency_low_to_high = change if current > previous else -change
        knee = high * math.exp(-latency_low_to_high)
        if knee >= KNEE_REACHED_SHARE * high:
            if current == low:
                self._limit = high
                self._at_knee = True
            elif current >= SATURATED_SHARE * self.value:
                self._go_up(high)
            else:
                # Demand, not the limit, bounds concurrency: nothing shows a knee.
                self._limit = max(self._limit, high) + 1.0
            return
        self._up_factor = UP_FACTOR
        # The error of a short window is larger, and a limit that stays too high after a
        # loss of capacity costs more than one further step down.
        margin = SHORT_WINDOW_MARGIN if self._was_short else MIN_CONCURRENCY_CHANGE_LOG
        if knee <= low * (1.0 + margin):
            self._limit = min(low * DOWN_FACTOR, low - 1.0)
            self._shorten_window()
        else:
            self._limit = knee
            self._at_knee = True

    def _shorten_window(self) -> None:
        turns = int(JUMP_WINDOW_TURNS * self._limit)
        self._min_samples = min(max(turns, JUMP_WINDOW_LEAST), JUMP_WINDOW_SAMPLES)

    def _go_up(self, start: float) -> None:
        self._limit = max(start * self._up_factor, start + 1.0)
        self._up_factor = min(self._up_factor * UP_FACTOR, MAX_UP_FACTOR)

    def _probe(self, current: float) -> None:
        raised = self._level > self._lowest_level + LATENCY_JUMP_LOG / 2
        self._probes += 1
        down = raised and self._probes % DOWN_PROBE_INTERVAL == 0
        if down:
            self._limit = min(current * DOWN_FACTOR, current - 1.0)
            # A level that stays raised becomes the normal one, or probing would go on.
            self._lowest_level += (self._level - self._lowest_level) / 4
        elif self.value < self._slots:
            self._up_factor = UP_FACTOR
            self._go_up(current)


class FixedLimit(AdaptiveLimit):
    """Limit that stays at the announced slots."""

    def observe(self, now_ms: float, row: RowName, start_ms: float) -> bool:
        """Ignore the end of a call.

        :param now_ms: present time in milliseconds
        :param row: row of the call
        :param start_ms: time of its start in milliseconds
        :return: false
        """
        return False


def _latency_change_log(
    previous: dict[RowName, list[float]], current: dict[RowName, list[float]]
) -> float:
    total = 0.0
    weight = 0.0
    for row, (sum_ms, count) in current.items():
        if row not in previous:
            continue
        previous_sum_ms, previous_count = previous[row]
        mean_ms = max(sum_ms / count, 1e-3)
        previous_mean_ms = max(previous_sum_ms / previous_count, 1e-3)
        shared = min(count, previous_count)
        total += shared * math.log(mean_ms / previous_mean_ms)
        weight += shared
    return total / weight if weight else 0.0


def check_slots(slots: int) -> None:
    """Check a number of slots.

    :param slots: number to check
    :raises InvalidInputError: if it is below 1
    """
    if slots < 1:
        raise InvalidInputError(
            f"slots must be at least 1, found {slots}", step="set slots"
        )
