"""Admits fewer roots of a row whose calls are shed further down."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.registry import Registry


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import RowName

WINDOW_MS = 250.0
# Outcomes that a window needs; with fewer, one failure would count for too much.
MIN_OUTCOMES = 4
# A window without enough outcomes ends after this time.
MAX_WINDOW_MS = 1_000.0
# Share of shed roots above which the row counts as overloaded below.
SHED_LIMIT = 0.05
# The share of admitted roots falls by this part of the share that was shed.
DECREASE = 0.3
# Part of the share that is added at the end of each other window. A step of a fixed
# size would overshoot by far where only a small share is sustainable.
INCREASE = 0.06
MIN_INCREASE = 0.01
# After so many windows in a row below the limit the overload counts as over, and each
# further one doubles the step up to this factor.
CALM_WINDOWS = 4
MAX_STEP_FACTOR = 16.0
MIN_SHARE = 0.05
# A refused root may come back within this time, spread against a herd.
MIN_RETRY_AFTER_MS = 400.0
MAX_RETRY_AFTER_MS = 1_400.0
ROW_LIMIT = 20_000


class _RowState:
    """Admitted share of one row and the outcomes of its present window."""

    __slots__ = ("calm_windows", "finished", "share", "shed", "window_ms")

    def __init__(self, now_ms: float) -> None:
        self.share = 1.0
        self.calm_windows = 0
        self.window_ms = now_ms
        self.finished = 0
        self.shed = 0


class RootThrottle:
    """Additive increase and multiplicative decrease of the roots of each row.

    The pattern is a chain of calls under overload: when each call of a deep service is
    shed with some probability, a root with ten calls hardly ever succeeds, and all the
    work of its first calls is wasted. Fewer roots then give more whole requests.

    :param clock: source of monotonic milliseconds
    :param rng: random generator
    """

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._rows: dict[RowName, _RowState] = {}

    def admit(self, row: RowName) -> bool:
        """Decide whether a root may start.

        :param row: row of the root
        :return: whether it may
        """
        state = self._rows.get(row)
        if state is None:
            return True
        self._end_window(state)
        return state.share >= 1.0 or self._rng.random() < state.share

    def finished(self, row: RowName, *, shed_below: bool) -> None:
        """Note the end of a root that was started.

        :param row: row of the root
        :param shed_below: whether one of its calls was refused or came too late
        """
        state = self._rows.get(row)
        if state is None:
            if not shed_below:
                return
            if len(self._rows) >= ROW_LIMIT:
                self._rows.clear()
            state = self._rows[row] = _RowState(self._clock.now_ms())
        state.finished += 1
        state.shed += shed_below
        self._end_window(state)

    def share(self, row: RowName) -> float:
        """Return the admitted share of a row.

        :param row: name of the row
        :return: from ``MIN_SHARE`` to 1
        """
        state = self._rows.get(row)
        return 1.0 if state is None else state.share

    def retry_after_ms(self) -> float:
        """Return when a refused root may come back.

        :return: milliseconds, spread at random
        """
        return self._rng.uniform(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)

    def _end_window(self, state: _RowState) -> None:
        now_ms = self._clock.now_ms()
        lasted_ms = now_ms - state.window_ms
        is_full = lasted_ms >= WINDOW_MS and state.finished >= MIN_OUTCOMES
        if not is_full and lasted_ms < MAX_WINDOW_MS:
            return
        shed_share = state.shed / state.finished if state.finished else 0.0
        steps = max(lasted_ms / WINDOW_MS, 1.0)
        if shed_share > SHED_LIMIT:
            kept = (1.0 - DECREASE * shed_share) ** steps
            state.share = max(state.share * kept, MIN_SHARE)
            state.calm_windows = 0
        else:
            state.calm_windows += int(steps)
            factor = 2.0 ** max(state.calm_windows - CALM_WINDOWS, 0)
            step = max(state.share * INCREASE, MIN_INCREASE)
            step *= min(factor, MAX_STEP_FACTOR)
            state.share = min(state.share + step * steps, 1.0)
        state.window_ms = now_ms
        state.finished = 0
        state.shed = 0


class OpenThrottle(RootThrottle):
    """Baseline: every root is admitted."""

    def admit(self, row: RowName) -> bool:
        """Admit the root.

        :param row: not used
        :return: true
        """
        return True


ROOT_THROTTLES: Registry[Callable[[Clock, Random], RootThrottle]] = Registry(
    "root throttle"
)
ROOT_THROTTLES.register("adaptive")(RootThrottle)
ROOT_THROTTLES.register("open")(OpenThrottle)
