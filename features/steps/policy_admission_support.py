"""Simulated backend server that runs the calls which admission control starts."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from marjoramstep_core.clock import ManualClock
from marjoramstep_core.states import SizeClass
from marjoramstep_core.table import Row
from marjoramstep_policy.admission import ADMISSION_VARIANTS
from marjoramstep_policy.admission import AdmissionRequest
from marjoramstep_policy.admission import Decision
from marjoramstep_policy.admission import Start


if TYPE_CHECKING:
    from collections.abc import Callable


def make_row(name: str, **cells: object) -> Row:
    """Build a row; by default its calls are short and take 20 ms."""
    base: dict[str, object] = {"size_class": "short", "expected_ms": 20}
    return Row.from_cells({**base, "name": name, **cells})


@dataclass
class Call:
    """Record of one call; times in milliseconds, -1 until known."""

    request: AdmissionRequest
    work_ms: float
    arrived_ms: float
    decision: Decision | None = None
    decided_ms: float = -1.0
    finished_ms: float = -1.0


class SimulatedServer:
    """Backend server on a manual clock that advances in steps of 1 ms.

    Up to ``capacity`` calls run at full speed; more calls share the same throughput.
    ``slowdown`` divides the speed of each call.
    """

    def __init__(self, variant: str, slots: int, capacity: float, seed: int) -> None:
        self.clock = ManualClock()
        self.admission = ADMISSION_VARIANTS.get(variant)(self.clock, slots)
        self.slots = slots
        self.capacity = capacity
        self.slowdown = 1.0
        self.rng = Random(seed)
        self.calls: dict[int, Call] = {}
        self.running: dict[int, float] = {}
        self.slots_exceeded = False
        self.finished: list[Call] = []

    def record(self, decisions: list[Decision]) -> None:
        """Record decisions; fail on a second decision on a call."""
        for decision in decisions:
            call = self.calls[decision.call_id]
            assert call.decision is None, f"second decision {decision} on {call}"
            call.decision = decision
            call.decided_ms = self.clock.now_ms()
            if isinstance(decision, Start):
                self.running[decision.call_id] = call.work_ms
                self.slots_exceeded |= len(self.running) > self.slots

    def arrive(
        self,
        row: Row,
        *,
        work_ms: float = 20.0,
        weight: int | None = None,
        depth: int = 0,
        deadline_in_ms: float = 60_000.0,
    ) -> Call:
        """Submit a call now and return its record."""
        now_ms = self.clock.now_ms()
        request = AdmissionRequest(
            call_id=len(self.calls),
            row=row,
            weight=row.weight if weight is None else weight,
            depth=depth,
            deadline_ms=now_ms + deadline_in_ms,
            size_class=SizeClass(row.size_class.value),
        )
        call = self.calls[request.call_id] = Call(request, work_ms, now_ms)
        self.record(self.admission.arrive(request))
        return call

    def step(self) -> None:
        """Advance by 1 ms, finish completed calls and run ``tick`` if it is due."""
        self.clock.advance_ms(1.0)
        if self.running:
            speed = min(1.0, self.capacity / len(self.running)) / self.slowdown
            for call_id in list(self.running):
                self.running[call_id] -= speed
                if self.running[call_id] <= 0:
                    self.finish(call_id)
        wakeup_ms = self.admission.next_wakeup_ms()
        if wakeup_ms is not None and wakeup_ms <= self.clock.now_ms():
            self.record(self.admission.tick())

    def finish(self, call_id: int) -> None:
        """Finish a call in flight successfully."""
        del self.running[call_id]
        call = self.calls[call_id]
        call.finished_ms = self.clock.now_ms()
        self.finished.append(call)
        self.record(self.admission.finish(call_id, succeeded=True))

    def run(
        self, duration_ms: int, each_ms: Callable[[], object] = lambda: None
    ) -> None:
        """Step for a time; ``each_ms`` is called before each step."""
        for _ in range(duration_ms):
            each_ms()
            self.step()

    def drain(self) -> None:
        """Step until no call is queued or in flight."""
        for _ in range(200_000):
            if not self.running and not self.admission.load().queue_length:
                return
            self.step()
        raise AssertionError(f"not drained: {self.admission.load()}")
