"""Routing state of one backend server."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from marjoramstep_core.states import ServerState


if TYPE_CHECKING:
    from .route_member import ReportedLoad
    from .route_member import RouteMember

# Weight of a new latency sample. Since samples are clamped, one outlier stays below the
# factor at which a server counts as slow, and two slow answers in a row exceed it.
LATENCY_WEIGHT = 0.25
SAMPLE_LIMIT_FACTOR = 8.0
# A server counts as slow when its latency is above this multiple of the service's
# median, plus a margin for the network latency between availability zones.
SLOW_FACTOR = 3.0
SLOW_MARGIN_MS = 10.0
# A single overdue call needs a larger multiple than two of them, because the latency
# of one call varies more.
SINGLE_OVERDUE_FACTOR = 10.0
# Latency assumed while no member of the service has answered.
UNKNOWN_LATENCY_MS = 1.0
# Half-life of the decay of a latency above the median towards it. Without the decay, a
# slightly slower server would never be picked and measured again.
LATENCY_HALF_LIFE_MS = 2000.0
# After a refusal for draining, the server gets no traffic for this time, in which the
# member update arrives.
DRAINING_MS = 5000.0
# Half-life of the weight of a reported load.
LOAD_HALF_LIFE_MS = 500.0
# Weight of a queued request; it delays a new one more than a running request does.
QUEUED_WEIGHT = 4.0
# A refusal halves the traffic share, down to MIN_SHARE_AFTER_REFUSAL; the share then
# recovers within this time.
REFUSAL_RECOVERY_MS = 1000.0
# Ratio of load to concurrency limit at which a server counts as saturated.
SATURATED_LOAD = 0.92
MIN_SHARE_AFTER_REFUSAL = 1.0 / 16.0
# The traffic share of a new or restarted server, or of a recovered one, rises from
# MIN_RAMP_SHARE to 1 within this time.
NEW_RAMP_MS = 10_000.0
RECOVERY_RAMP_MS = 5000.0
MIN_RAMP_SHARE = 0.05
FIRST_PROBE_INTERVAL_MS = 200.0
MAX_PROBE_INTERVAL_MS = 10_000.0
GOOD_PROBES_TO_RECOVER = 3
FAILURES_TO_SUSPEND = 2
# Start times kept for one server; calls beyond it are counted but not timed.
MAX_TIMED_STARTS = 1024
# Callers measure latency themselves, so a start derived from it may differ slightly
# from the recorded one.
START_TOLERANCE_MS = 1.0


class ServerRecord:
    """Measurements and suspension state of one incarnation of a backend server.

    :param member: the member
    :param now_ms: time of creation in milliseconds
    :param ramp_ms: time over which its traffic share rises from the minimum to 1
    """

    __slots__ = (
        "created_ms",
        "failures",
        "good_probes",
        "in_flight",
        "latency_ms",
        "draining_until_ms",
        "load_measured_ms",
        "load_ratio",
        "is_queueing",
        "member",
        "next_probe_ms",
        "probe_started_ms",
        "probe_interval_ms",
        "ramp_end_ms",
        "ramp_ms",
        "last_refusal_ms",
        "share_after_refusal",
        "starts_ms",
        "suspended",
    )

    def __init__(self, member: RouteMember, now_ms: float, ramp_ms: float) -> None:
        self.member = member
        self.created_ms = now_ms
        self.in_flight = 0
        self.latency_ms: float | None = None
        self.starts_ms: list[float] = []
        self.draining_until_ms = 0.0
        self.load_ratio = 0.0
        self.load_measured_ms = 0.0
        self.is_queueing = False
        self.failures = 0
        self.share_after_refusal = 1.0
        self.last_refusal_ms = 0.0
        self.ramp_ms = ramp_ms
        self.ramp_end_ms = now_ms + ramp_ms
        self.suspended = False
        self.probe_interval_ms = FIRST_PROBE_INTERVAL_MS
        self.next_probe_ms = 0.0
        self.probe_started_ms: float | None = None
        self.good_probes = 0

    def score(self, now_ms: float, reference_ms: float) -> float:
        """Return the expected cost of one more call; lower is better.

        :param now_ms: current time in milliseconds
        :param reference_ms: latency assumed while none is known
        :return: latency in milliseconds, weighted by calls in flight and load
        """
        latency_ms = self.latency_ms
        if latency_ms is None:
            latency_ms = reference_ms or UNKNOWN_LATENCY_MS
        # The age of the oldest call shows a slowdown before any answer does. Without
        # it, a node that calls the server rarely would send it several more calls
        # before the first slow answer.
        if self.starts_ms:
            latency_ms = max(latency_ms, now_ms - self.starts_ms[0])
        score = (self.in_flight + 1) * latency_ms
        if self.load_ratio:
            age_ms = now_ms - self.load_measured_ms
            score *= 1.0 + self.load_ratio * 0.5 ** (age_ms / LOAD_HALF_LIFE_MS)
        return score

    def traffic_share(self, now_ms: float) -> float:
        """Return the fraction of its regular traffic that the server may get now.

        :param now_ms: current time in milliseconds
        :return: a number above 0, up to 1
        """
        share = 1.0
        if now_ms < self.ramp_end_ms:
            elapsed_share = 1.0 - (self.ramp_end_ms - now_ms) / self.ramp_ms
            share = max(MIN_RAMP_SHARE, elapsed_share)
        if self.share_after_refusal < 1.0:
            share *= self._share_after_refusal(now_ms)
        return share

    def add_start(self, now_ms: float) -> None:
        """Record the start of a call whose latency is measured.

        :param now_ms: current time in milliseconds
        """
        if len(self.starts_ms) < MAX_TIMED_STARTS:
            self.starts_ms.append(now_ms)

    def remove_start(self, start_ms: float) -> None:
        """Remove the recorded start that is nearest to a time.

        :param start_ms: start of the call that ended, in milliseconds
        """
        starts = self.starts_ms
        if not starts:
            return
        index = bisect_left(starts, start_ms)
        if index == len(starts) or (
            index > 0 and start_ms - starts[index - 1] < starts[index] - start_ms
        ):
            index -= 1
        del starts[index]

    def add_latency(self, latency_ms: float, reference_ms: float) -> None:
        """Add a sample to the moving average of the latency.

        :param latency_ms: the sample in milliseconds
        :param reference_ms: median of the service, 0 if unknown
        """
        if self.latency_ms is None:
            self.latency_ms = reference_ms or latency_ms
        limit_ms = SAMPLE_LIMIT_FACTOR * max(self.latency_ms, reference_ms)
        # Without the margin, latencies near zero could never grow again.
        sample_ms = min(latency_ms, limit_ms + SLOW_MARGIN_MS)
        self.latency_ms += LATENCY_WEIGHT * (sample_ms - self.latency_ms)

    def add_load(self, load: ReportedLoad, now_ms: float) -> None:
        """Store a reported load, unless a more recent one is known.

        :param load: load reported with a reply
        :param now_ms: current time in milliseconds
        """
        measured_ms = now_ms - max(0.0, load.age_ms)
        if measured_ms < self.load_measured_ms:
            return
        limit = max(1, load.limit)
        queued = max(0, load.queue_length)
        running = max(0, load.in_flight)
        self.load_measured_ms = measured_ms
        self.load_ratio = (running + QUEUED_WEIGHT * queued) / limit
        self.is_queueing = running >= limit and queued > 0

    def add_refusal(self, now_ms: float) -> None:
        """Halve the traffic share for a short time.

        :param now_ms: current time in milliseconds
        """
        share = self._share_after_refusal(now_ms) / 2.0
        self.share_after_refusal = max(MIN_SHARE_AFTER_REFUSAL, share)
        self.last_refusal_ms = now_ms

    def is_saturated(self, now_ms: float) -> bool:
        """Tell whether a further call would probably be queued or refused.

        Used to skip one server; :meth:`is_overloaded` is used to mark its zone.

        :param now_ms: current time in milliseconds
        :return: whether it has refused calls recently, or its slots are nearly all in
            use according to the last load report or, without a recent one, all in use
            by calls of this node
        """
        if self._share_after_refusal(now_ms) < 1.0:
            return True
        age_ms = now_ms - self.load_measured_ms
        if age_ms > 2 * LOAD_HALF_LIFE_MS:
            return self.in_flight >= self.member.slots
        return self.load_ratio >= SATURATED_LOAD

    def is_overloaded(self, now_ms: float) -> bool:
        """Tell whether a recent load report or recent refusals show an overload.

        Used to mark the zone of the server; :meth:`is_saturated` skips one server.

        :param now_ms: current time in milliseconds
        :return: whether the server is overloaded
        """
        if self.is_queueing and now_ms - self.load_measured_ms < 2 * LOAD_HALF_LIFE_MS:
            return True
        return self._share_after_refusal(now_ms) < 0.5

    def effective_latency_ms(self, now_ms: float) -> float | None:
        """Return the latency, or the age of the oldest call in flight if longer.

        :param now_ms: current time in milliseconds
        :return: latency in milliseconds, ``None`` until the server has answered
        """
        if self.latency_ms is None or not self.starts_ms:
            return self.latency_ms
        return max(self.latency_ms, now_ms - self.starts_ms[0])

    def decay_latency(self, elapsed_ms: float, reference_ms: float) -> None:
        """Decay a latency above the median towards it.

        :param elapsed_ms: time since the last decay in milliseconds
        :param reference_ms: median of the service in milliseconds
        """
        if self.latency_ms is not None and self.latency_ms > reference_ms:
            remaining = 0.5 ** (elapsed_ms / LATENCY_HALF_LIFE_MS)
            self.latency_ms = reference_ms + remaining * (
                self.latency_ms - reference_ms
            )

    def is_overdue(self, now_ms: float, reference_ms: float) -> bool:
        """Tell whether calls in flight show that the server is slow.

        :param now_ms: current time in milliseconds
        :param reference_ms: median latency of the service
        :return: whether two calls are slow, or one exceeds a larger limit
        """
        starts = self.starts_ms
        if not starts:
            return False
        limit_ms = SINGLE_OVERDUE_FACTOR * reference_ms + SLOW_MARGIN_MS
        if now_ms - starts[0] > limit_ms:
            return True
        return len(starts) > 1 and now_ms - starts[1] > slow_limit_ms(reference_ms)

    def suspend(self, now_ms: float, jitter: float) -> None:
        """Stop regular traffic; the first probe is due after the first interval.

        :param now_ms: current time in milliseconds
        :param jitter: random factor on the interval, so that nodes do not probe at
            the same time
        """
        self.suspended = True
        self.good_probes = 0
        self.failures = 0
        self.probe_started_ms = None
        self.probe_interval_ms = FIRST_PROBE_INTERVAL_MS
        self.next_probe_ms = now_ms + self.probe_interval_ms * jitter

    def is_probe_due(self, now_ms: float) -> bool:
        """Tell whether the next probe may be sent.

        :param now_ms: current time in milliseconds
        :return: false while a probe is in flight or the interval has not elapsed
        """
        return self.probe_started_ms is None and now_ms >= self.next_probe_ms

    def schedule_next_probe(self, now_ms: float, jitter: float) -> None:
        """Set the time of the next probe, because one is about to be sent.

        :param now_ms: current time in milliseconds
        :param jitter: random factor on the interval
        """
        self.next_probe_ms = now_ms + self.probe_interval_ms * jitter

    def finish_probe(self, is_good: bool, now_ms: float, jitter: float) -> bool:
        """Record the result of a probe; a failed one doubles the interval.

        :param is_good: whether it was answered within the latency limit
        :param now_ms: current time in milliseconds
        :param jitter: random factor on the interval
        :return: whether the server has recovered
        """
        self.probe_started_ms = None
        if is_good:
            self.good_probes += 1
            self.probe_interval_ms = FIRST_PROBE_INTERVAL_MS
        else:
            self.good_probes = 0
            self.probe_interval_ms = min(
                MAX_PROBE_INTERVAL_MS, self.probe_interval_ms * 2
            )
        self.next_probe_ms = now_ms + self.probe_interval_ms * jitter
        return self.good_probes >= GOOD_PROBES_TO_RECOVER

    def recover(self, latency_ms: float, now_ms: float) -> None:
        """Return to regular traffic, with a share that rises from the minimum.

        :param latency_ms: latency of the last probe
        :param now_ms: current time in milliseconds
        """
        self.suspended = False
        self.latency_ms = latency_ms
        self.starts_ms.clear()
        self.ramp_ms = RECOVERY_RAMP_MS
        self.ramp_end_ms = now_ms + RECOVERY_RAMP_MS

    def _share_after_refusal(self, now_ms: float) -> float:
        recovered = (now_ms - self.last_refusal_ms) / REFUSAL_RECOVERY_MS
        share = self.share_after_refusal + (1.0 - self.share_after_refusal) * recovered
        if share >= 1.0:
            self.share_after_refusal = 1.0
            return 1.0
        return share


def slow_limit_ms(reference_ms: float) -> float:
    """Return the latency above which a server counts as slow.

    :param reference_ms: median latency of the service
    :return: limit in milliseconds
    """
    return SLOW_FACTOR * reference_ms + SLOW_MARGIN_MS


def needs_ramp_up(before: RouteMember, after: RouteMember) -> bool:
    """Return whether a server has restarted or has become ready.

    :param before: its last announcement
    :param after: its current one
    :return: whether its traffic share starts low again
    """
    if after.incarnation != before.incarnation:
        return True
    was_ready = before.state is ServerState.READY
    return not was_ready and after.state is ServerState.READY
