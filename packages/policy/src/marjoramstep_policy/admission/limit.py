"""Adaptive concurrency limit, derived from observed service times."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError


if TYPE_CHECKING:
    from marjoramstep_core.ids import RowName

# Constants and variables with ``log`` in their names are natural logarithms of ratios.

# A window closes once at least this many calls, and WINDOW_CALLS_PER_SLOT for each slot
# of the limit, have started and finished in it. With exponential service times the mean
# of 72 samples has a standard error of 12%.
MIN_WINDOW_SAMPLES = 72
# The limit chosen after the latency has risen suddenly may be far too low. A short
# window shows this sooner, and its error is small compared with the change.
MAX_SHORT_WINDOW_SAMPLES = 24
# At a small limit, 24 calls take seconds in which half the throughput may be lost, so a
# short window has only this many calls per slot, within the minimum and the maximum.
SHORT_WINDOW_CALLS_PER_SLOT = 3
MIN_SHORT_WINDOW_SAMPLES = 8
# After a sudden rise, half the concurrency is tried; it shows whether throughput halves
# too.
JUMP_PROBE_FACTOR = 0.5
# Margin by which the knee must exceed the lower concurrency after a short window; after
# other windows it is MIN_CONCURRENCY_CHANGE_LOG.
SHORT_WINDOW_MARGIN = 0.25
WINDOW_CALLS_PER_SLOT = 2
# Two windows show the effect of concurrency only if they differ in it by at least 8%.
MIN_CONCURRENCY_CHANGE_LOG = 0.08
# At equal concurrency, a ratio of 1.5 between the mean latencies of two windows is more
# than two standard errors.
LATENCY_JUMP_LOG = math.log(1.5)
# If the estimated knee is above this share of the higher concurrency, throughput still
# grew with concurrency, and the knee counts as not yet reached.
KNEE_THRESHOLD_SHARE = 0.88
DECREASE_FACTOR = 0.8
INCREASE_FACTOR = 1.25
MAX_INCREASE_FACTOR = 2.0
# Windows at an unchanged limit between two probes of another limit.
HOLD_WINDOWS = 3
# A probe of a lower limit costs throughput, so only one probe in this many lowers it.
DECREASE_PROBE_INTERVAL = 4
SATURATED_SHARE = 0.8
# After a decrease, a window starts once the calls above the limit have finished, or
# after this time: long calls may hold their slots for minutes and must not stop the
# measurement.
MAX_SETTLING_MS = 1000.0


class AdaptiveLimit:
    """Limit between 1 and the slots, at the knee of the throughput curve.

    Compares measurement windows at different concurrency. With service time ``r`` at
    concurrency ``n``, throughput is ``n / r``. The knee is where the line from the
    origin through the window of lower concurrency reaches the throughput of the other
    window. Service times are compared row by row, so a changed mix of rows does not
    look like a slowdown.

    The attribute ``value`` holds the current limit.

    :param slots: announced slots
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self.value = slots
        self._in_flight = 0
        self._window_start_ms = 0.0
        self._in_flight_integral = 0.0
        self._changed_ms = 0.0
        # Whether calls above a lowered limit are still in flight.
        self._is_settling = False
        self._duration_sums: dict[RowName, list[float]] = {}
        self._samples = 0
        # Last calls of the window, to detect that a slowdown ended within it.
        self._recent_durations: deque[tuple[RowName, float]] = deque(
            maxlen=MAX_SHORT_WINDOW_SAMPLES
        )
        self._min_samples = MIN_WINDOW_SAMPLES
        self._was_short_window = False
        self._previous: tuple[float, dict[RowName, list[float]]] | None = None
        # Logarithm of the latency relative to the first window, and its minimum.
        self._latency_log = 0.0
        self._min_latency_log = 0.0
        self._increase_factor = INCREASE_FACTOR
        self._windows_at_limit = 0
        # Whether the limit was set from the last two windows, so that the next one only
        # serves as a reference.
        self._skips_next_comparison = False
        self._probe_count = 0

    def set_slots(self, slots: int) -> None:
        """Change the number of announced slots.

        :param slots: new number; a limit equal to the old number follows it
        """
        if self.value >= self._slots or self._limit > slots:
            self._limit = float(slots)
            self.value = slots
        self._slots = slots

    def set_in_flight(self, now_ms: float, in_flight: int) -> None:
        """Record a change of the number of calls in flight.

        :param now_ms: current time in milliseconds
        :param in_flight: new number
        """
        self._in_flight_integral += self._in_flight * (now_ms - self._changed_ms)
        self._changed_ms = now_ms
        self._in_flight = in_flight
        if self._is_settling and (
            in_flight <= self.value or now_ms - self._window_start_ms > MAX_SETTLING_MS
        ):
            self._is_settling = False
            self._window_start_ms = now_ms
            self._in_flight_integral = 0.0

    def observe(self, now_ms: float, row: RowName, start_ms: float) -> bool:
        """Record the end of a call.

        :param now_ms: current time in milliseconds
        :param row: row of the call
        :param start_ms: time of its start in milliseconds
        :return: whether the limit changed
        """
        if self._is_settling or start_ms < self._window_start_ms:
            return False
        row_sums = self._duration_sums.setdefault(row, [0.0, 0.0])
        row_sums[0] += now_ms - start_ms
        row_sums[1] += 1.0
        self._recent_durations.append((row, now_ms - start_ms))
        self._samples += 1
        if self._samples < max(self._min_samples, WINDOW_CALLS_PER_SLOT * self.value):
            return False
        before = self.value
        self._close_window(now_ms)
        return self.value != before

    def _close_window(self, now_ms: float) -> None:
        self._in_flight_integral += self._in_flight * (now_ms - self._changed_ms)
        self._changed_ms = now_ms
        duration_ms = max(now_ms - self._window_start_ms, 1e-6)
        concurrency = max(self._in_flight_integral / duration_ms, 1e-3)
        before = self.value
        self._was_short_window = self._min_samples < MIN_WINDOW_SAMPLES
        self._min_samples = MIN_WINDOW_SAMPLES
        self._compare_windows(concurrency)
        self._duration_sums = {}
        self._recent_durations.clear()
        self._samples = 0
        self._in_flight_integral = 0.0
        self._window_start_ms = now_ms
        self._limit = min(max(self._limit, 1.0), float(self._slots))
        self.value = int(self._limit + 0.5)
        self._windows_at_limit = (
            self._windows_at_limit + 1 if self.value == before else 0
        )
        self._is_settling = self.value < before

    def _compare_windows(self, concurrency: float) -> None:
        previous = self._previous
        if previous is not None:
            latency_change_log = _latency_change_log(previous[1], self._duration_sums)
            if latency_change_log > LATENCY_JUMP_LOG and not self._is_still_slow(
                previous[1]
            ):
                # A slowdown ended within this window. Lowering the limit for it now
                # would prolong the overload, and a comparison with this window would
                # take the end of the slowdown for an effect of concurrency.
                return
            self._latency_log += latency_change_log
            self._min_latency_log = min(self._min_latency_log, self._latency_log)
            self._adjust_limit(previous[0], concurrency, latency_change_log)
        self._previous = (concurrency, self._duration_sums)

    def _is_still_slow(self, previous: dict[RowName, list[float]]) -> bool:
        sums: dict[RowName, list[float]] = {}
        for row, duration_ms in self._recent_durations:
            row_sums = sums.setdefault(row, [0.0, 0.0])
            row_sums[0] += duration_ms
            row_sums[1] += 1.0
        return _latency_change_log(previous, sums) > LATENCY_JUMP_LOG

    def _adjust_limit(
        self, previous: float, current: float, latency_change_log: float
    ) -> None:
        concurrency_change_log = math.log(current / previous)
        if self._skips_next_comparison:
            self._skips_next_comparison = False
            return
        if abs(concurrency_change_log) >= MIN_CONCURRENCY_CHANGE_LOG:
            self._move_to_knee(previous, current, latency_change_log)
        elif latency_change_log > LATENCY_JUMP_LOG:
            # Either each call takes longer, or capacity was lost and the knee is at a
            # lower concurrency. A probe of a lower limit tells the two apart.
            self._limit = min(current * JUMP_PROBE_FACTOR, current - 1.0)
            self._shorten_next_window()
        elif latency_change_log < -LATENCY_JUMP_LOG:
            self._raise_limit(current)
        elif current < SATURATED_SHARE * self.value:
            self._limit = max(self._limit * INCREASE_FACTOR, self._limit + 1.0)
        elif self._windows_at_limit >= HOLD_WINDOWS:
            self._probe(current)

    def _move_to_knee(
        self, previous: float, current: float, latency_change_log: float
    ) -> None:
        low, high = min(previous, current), max(previous, current)
        latency_rise_log = (
            latency_change_log if current > previous else -latency_change_log
        )
        knee = high * math.exp(-latency_rise_log)
        if knee >= KNEE_THRESHOLD_SHARE * high:
            if current == low:
                self._limit = high
                self._skips_next_comparison = True
            elif current >= SATURATED_SHARE * self.value:
                self._raise_limit(high)
            else:
                # Demand, not the limit, bounds concurrency, so the knee is unknown.
                self._limit = max(self._limit, high) + 1.0
            return
        self._increase_factor = INCREASE_FACTOR
        # A short window has a larger error, and a limit that stays too high after a
        # loss of capacity costs more than one further decrease.
        margin = (
            SHORT_WINDOW_MARGIN
            if self._was_short_window
            else MIN_CONCURRENCY_CHANGE_LOG
        )
        if knee <= low * (1.0 + margin):
            self._limit = min(low * DECREASE_FACTOR, low - 1.0)
            self._shorten_next_window()
        else:
            self._limit = knee
            self._skips_next_comparison = True

    def _shorten_next_window(self) -> None:
        samples = int(SHORT_WINDOW_CALLS_PER_SLOT * self._limit)
        self._min_samples = min(
            max(samples, MIN_SHORT_WINDOW_SAMPLES), MAX_SHORT_WINDOW_SAMPLES
        )

    def _raise_limit(self, start: float) -> None:
        self._limit = max(start * self._increase_factor, start + 1.0)
        self._increase_factor = min(
            self._increase_factor * INCREASE_FACTOR, MAX_INCREASE_FACTOR
        )

    def _probe(self, current: float) -> None:
        is_latency_raised = (
            self._latency_log > self._min_latency_log + LATENCY_JUMP_LOG / 2
        )
        self._probe_count += 1
        is_decrease = (
            is_latency_raised and self._probe_count % DECREASE_PROBE_INTERVAL == 0
        )
        if is_decrease:
            self._limit = min(current * DECREASE_FACTOR, current - 1.0)
            # A latency that stays raised becomes the reference, so that probing ends.
            self._min_latency_log += (self._latency_log - self._min_latency_log) / 4
        elif self.value < self._slots:
            self._increase_factor = INCREASE_FACTOR
            self._raise_limit(current)


class FixedLimit(AdaptiveLimit):
    """Limit that stays at the announced slots."""

    def observe(self, now_ms: float, row: RowName, start_ms: float) -> bool:
        """Ignore the end of a call.

        :param now_ms: current time in milliseconds
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
        common_count = min(count, previous_count)
        total += common_count * math.log(mean_ms / previous_mean_ms)
        weight += common_count
    return total / weight if weight else 0.0


def check_slots(slots: int) -> None:
    """Check a number of slots.

    :param slots: number to check
    :raises InvalidInputError: if it is below 1
    """
    if slots < 1:
        raise InvalidInputError(
            f"slots must be at least 1, got {slots}", step="check slots"
        )
