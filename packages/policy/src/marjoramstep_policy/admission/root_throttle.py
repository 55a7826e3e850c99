"""Admits fewer root requests of a row whose calls are shed downstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.registry import Registry


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import RowName

WINDOW_MS = 250.0
# Outcomes that a window needs; with fewer, a single failure would weigh too much.
MIN_OUTCOMES = 4
# A window ends after this time even without enough outcomes.
MAX_WINDOW_MS = 1_000.0
# Share of shed roots above which downstream services count as overloaded.
SHED_SHARE_LIMIT = 0.05
# Part of the admitted share that a window takes away if all its roots are shed; with
# fewer shed roots it takes away proportionally less.
DECREASE_PER_SHED_SHARE = 0.3
# Part of the admitted share that a window without overload adds to it. A step of a
# fixed size would overshoot by far where only a small share is sustainable.
INCREASE_SHARE = 0.06
MIN_INCREASE = 0.01
# After this many consecutive windows without overload the overload counts as over. Each
# further window then doubles the step, up to MAX_STEP_FACTOR times the normal one.
RECOVERY_WINDOWS = 4
MAX_STEP_FACTOR = 16.0
MIN_SHARE = 0.05
# Refused roots are told to retry at a random time in this range, which avoids a
# thundering herd.
MIN_RETRY_AFTER_MS = 400.0
MAX_RETRY_AFTER_MS = 1_400.0
# At this number the state of all rows is discarded, and their share is 1 again.
MAX_ROWS = 20_000


class _RowState:
    """Admitted share of one row and the outcomes of its current window."""

    __slots__ = ("windows_below_limit", "finished", "share", "shed", "window_start_ms")

    def __init__(self, now_ms: float) -> None:
        self.share = 1.0
        self.windows_below_limit = 0
        self.window_start_ms = now_ms
        self.finished = 0
        self.shed = 0


class RootThrottle:
    """Admits a share of the root requests of each row.

    A window with overload multiplies the share by a factor below 1. Other windows raise
    it by a part of itself, and faster once the overload is over.

    If an overloaded downstream service sheds each call with some probability, a root
    with ten calls hardly ever succeeds, and the work of its first calls is wasted.
    Admitting fewer roots then lets more of them complete.

    :param clock: source of monotonic milliseconds
    :param rng: random generator
    """

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._rows: dict[RowName, _RowState] = {}

    def admits(self, row: RowName) -> bool:
        """Return whether a root may start.

        :param row: row of the root
        :return: whether it may start
        """
        state = self._rows.get(row)
        if state is None:
            return True
        self._end_window_if_due(state)
        return state.share >= 1.0 or self._rng.random() < state.share

    def record_outcome(self, row: RowName, *, shed_downstream: bool) -> None:
        """Record the outcome of a root that was started.

        :param row: row of the root
        :param shed_downstream: whether one of its calls was shed, or the root missed
            its deadline after it had made calls
        """
        state = self._rows.get(row)
        if state is None:
            if not shed_downstream:
                return
            if len(self._rows) >= MAX_ROWS:
                self._rows.clear()
            state = self._rows[row] = _RowState(self._clock.now_ms())
        state.finished += 1
        state.shed += shed_downstream
        self._end_window_if_due(state)

    def admitted_share(self, row: RowName) -> float:
        """Return the admitted share of a row.

        :param row: name of the row
        :return: from ``MIN_SHARE`` to 1
        """
        state = self._rows.get(row)
        return 1.0 if state is None else state.share

    def retry_after_ms(self) -> float:
        """Return the time after which to retry a refused root.

        :return: milliseconds, chosen at random
        """
        return self._rng.uniform(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)

    def _end_window_if_due(self, state: _RowState) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - state.window_start_ms
        is_full = elapsed_ms >= WINDOW_MS and state.finished >= MIN_OUTCOMES
        if not is_full and elapsed_ms < MAX_WINDOW_MS:
            return
        shed_share = state.shed / state.finished if state.finished else 0.0
        steps = max(elapsed_ms / WINDOW_MS, 1.0)
        if shed_share > SHED_SHARE_LIMIT:
            decrease_factor = (1.0 - DECREASE_PER_SHED_SHARE * shed_share) ** steps
            state.share = max(state.share * decrease_factor, MIN_SHARE)
            state.windows_below_limit = 0
        else:
            state.windows_below_limit += int(steps)
            step_factor = 2.0 ** max(state.windows_below_limit - RECOVERY_WINDOWS, 0)
            step = max(state.share * INCREASE_SHARE, MIN_INCREASE)
            step *= min(step_factor, MAX_STEP_FACTOR)
            state.share = min(state.share + step * steps, 1.0)
        state.window_start_ms = now_ms
        state.finished = 0
        state.shed = 0


class DisabledRootThrottle(RootThrottle):
    """Baseline that admits every root."""

    def admits(self, row: RowName) -> bool:
        """Admit the root.

        :param row: not used
        :return: true
        """
        return True


ROOT_THROTTLES: Registry[Callable[[Clock, Random], RootThrottle]] = Registry(
    "root throttle"
)
ROOT_THROTTLES.register("adaptive")(RootThrottle)
ROOT_THROTTLES.register("open")(DisabledRootThrottle)
