"""The step at which each request of a node waits, for logs and metrics."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import TYPE_CHECKING

from marjoramstep_core.clock import SystemClock


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_core.clock import Clock

    from .log import EventLog

# A request that ends at its deadline takes a moment to be answered.
OVERDUE_MARGIN_MS = 250.0


@unique
class RequestStep(Enum):
    """What a request waits for; the values name metrics and log fields."""

    #: Its head has been read, its body has not arrived.
    READ_BODY = "read_body"
    #: Its body is there; members of its service or retry limits are looked up.
    FIND_SERVER = "find_server"
    #: Sent to the node beside the backend server.
    CALL_NODE = "call_node"
    #: In the admission queue of the node beside the backend server.
    QUEUE = "queue"
    #: Sent to the backend server.
    CALL_SERVER = "call_server"
    #: Answered, behind an answer that is not ready on the caller's connection.
    WAIT_TURN = "wait_turn"
    #: Its answer is being sent.
    SEND_ANSWER = "send_answer"


@dataclass(frozen=True)
class RequestIdentity:
    """What the head of a request tells about it.

    :param request_id: its id
    :param allowed_ms: time that its row allows it
    """

    request_id: str
    allowed_ms: float


@dataclass(frozen=True)
class BodyArrival:
    """A body that is being read.

    :param identify: finds the request in its head; None if it is not valid
    :param received_bytes: returns how much has arrived
    :param expected_bytes: its length, ``UNKNOWN_LENGTH`` if it is chunked
    """

    identify: Callable[[], RequestIdentity | None]
    received_bytes: Callable[[], int]
    expected_bytes: int


class RequestProgress:
    """Where one request is.

    :param clock: clock of the node
    :param request_id: id of the request, empty until its headers have been parsed
    :param step: its first step
    """

    __slots__ = (
        "_clock",
        "body",
        "is_reported",
        "limit_ms",
        "peer",
        "request_id",
        "started_ms",
        "step",
        "step_started_ms",
    )

    def __init__(self, clock: Clock, request_id: str, step: RequestStep) -> None:
        self._clock = clock
        self.request_id = request_id
        self.started_ms = self.step_started_ms = clock.now_ms()
        self.step = step
        self.peer = "local"
        # Time of the clock by which the request should have ended, None if not known.
        self.limit_ms: float | None = None
        self.is_reported = False
        # Set while the body is read.
        self.body: BodyArrival | None = None

    def enter(self, step: RequestStep, peer: str = "local") -> None:
        """Note what the request waits for from now on.

        :param step: its step
        :param peer: whose answer it waits for
        """
        self.step = step
        self.peer = peer
        self.step_started_ms = self._clock.now_ms()

    def is_overdue(self, now_ms: float) -> bool:
        """Return whether the request should have ended.

        :param now_ms: current time of the clock
        :return: whether its limit is known and has passed
        """
        if self.limit_ms is None and self.body is not None:
            self._identify(self.body)
        return self.limit_ms is not None and now_ms > self.limit_ms + OVERDUE_MARGIN_MS

    def _identify(self, body: BodyArrival) -> None:
        identity = body.identify()
        if identity is not None:
            self.request_id = identity.request_id
            self.limit_ms = self.started_ms + identity.allowed_ms


def untracked_progress() -> RequestProgress:
    """Create the progress of a request that nothing watches.

    :return: the progress
    """
    return RequestProgress(SystemClock(), "", RequestStep.FIND_SERVER)


class ProgressTracker:
    """Knows the requests of a node that have not ended.

    :param clock: clock of the node
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._requests: set[RequestProgress] = set()

    def begin(self, request_id: str, step: RequestStep) -> RequestProgress:
        """Start to track a request.

        :param request_id: its id, empty if it is not known yet
        :param step: its first step
        :return: its progress, to be passed to ``end``
        """
        progress = RequestProgress(self._clock, request_id, step)
        self._requests.add(progress)
        return progress

    def end(self, progress: RequestProgress) -> None:
        """Stop tracking a request.

        :param progress: its progress
        """
        self._requests.discard(progress)

    def gauges(self) -> dict[str, float]:
        """Count the requests at each step.

        :return: counts by metric name
        """
        counts = Counter(progress.step for progress in self._requests)
        return {f"requests_{step.value}": float(counts[step]) for step in RequestStep}

    def log_overdue(self, log: EventLog) -> None:
        """Log each request that should have ended, once, with its step.

        :param log: receives the lines
        """
        now_ms = self._clock.now_ms()
        for progress in self._requests:
            if not progress.is_reported and progress.is_overdue(now_ms):
                progress.is_reported = True
                _log_overdue(log, progress, now_ms)


def _log_overdue(log: EventLog, progress: RequestProgress, now_ms: float) -> None:
    body = progress.body
    log.write_decision(
        "request overdue",
        progress.request_id,
        step="watch requests",
        reason=progress.step.value,
        peer=progress.peer,
        waits_ms=round(now_ms - progress.step_started_ms),
        age_ms=round(now_ms - progress.started_ms),
        over_ms=round(now_ms - (progress.limit_ms or now_ms)),
        received_bytes=None if body is None else body.received_bytes(),
        expected_bytes=None if body is None else body.expected_bytes,
    )
