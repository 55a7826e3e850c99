"""Requests to admission control, its decisions and its interface."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from marjoramstep_core.states import Reason
    from marjoramstep_core.states import SizeClass
    from marjoramstep_core.table import Row


@dataclass(frozen=True)
class AdmissionRequest:
    """A call to admit to this backend server.

    :param call_id: unique among the calls that are queued or in flight
    :param row: row of the table that the call matches
    :param weight: weight of the root request
    :param depth: number of calls above this one in its call chain; 0 for a root request
    :param deadline_ms: absolute time in milliseconds, on the clock of the controller
    :param size_class: whether the call is expected to be short or long
    :param may_move_on: whether the caller can try another server
    """

    call_id: int
    row: Row
    weight: int
    depth: int
    deadline_ms: float
    size_class: SizeClass
    may_move_on: bool = False


@dataclass(frozen=True, slots=True)
class RunningCall:
    """A call in flight, which holds a slot.

    :param request: the call
    :param started_ms: time of its start in milliseconds
    """

    request: AdmissionRequest
    started_ms: float


@dataclass(frozen=True)
class Start:
    """The call starts now and holds a slot until it finishes."""

    call_id: int


@dataclass(frozen=True)
class Refuse:
    """The call is refused without having run on this backend server.

    :param call_id: id of the call
    :param reason: why it is refused
    :param retry_after_ms: estimated time until a similar call may be admitted, in
        milliseconds
    """

    call_id: int
    reason: Reason
    retry_after_ms: int


Decision = Start | Refuse


@dataclass(frozen=True)
class AdmissionLoad:
    """Load of one backend server, as seen by its node.

    :param in_flight: calls that hold a slot
    :param limit: current concurrency limit
    :param queue_length: number of queued calls
    :param queue_delay_ms: time that recently started calls have spent in the queue, in
        milliseconds; smoothed, and 0 when nothing is queued, in ``AdmissionController``
    :param admitted_weight: lowest weight that is admitted; 0 when nothing is shed
    """

    in_flight: int
    limit: int
    queue_length: int
    queue_delay_ms: float
    admitted_weight: int


class AdmissionControl(Protocol):
    """Decides for each call whether and when it runs.

    ``arrive`` returns no decision on a call that is queued; a method that is invoked
    later returns it. A call in flight holds its slot until ``finish``, even after
    ``cancel``.
    """

    def arrive(self, request: AdmissionRequest) -> list[Decision]:
        """Start, queue or refuse a call."""

    def finish(self, call_id: int, *, succeeded: bool) -> list[Decision]:
        """Release the slot of a call in flight."""

    def cancel(self, call_id: int) -> list[Decision]:
        """Refuse a call if it is still queued."""

    def tick(self) -> list[Decision]:
        """Apply deadlines, limits of the queue wait and drops for a standing queue."""

    def next_wakeup_ms(self) -> float | None:
        """Return the time at which ``tick`` is due."""

    def set_slots(self, slots: int) -> list[Decision]:
        """Change the number of announced slots."""

    def load(self) -> AdmissionLoad:
        """Return the current load."""
