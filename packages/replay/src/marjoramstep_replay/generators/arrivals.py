"""Random arrivals with a rate that changes over time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..trace import TraceRequest


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from random import Random

    from .workload import Flow


def poisson_times(
    rng: Random,
    duration_ms: float,
    peak_per_s: float,
    rate_per_s: Callable[[float], float],
) -> Iterator[float]:
    """Draw the times of a Poisson process by thinning.

    :param rng: source of randomness
    :param duration_ms: length
    :param peak_per_s: upper bound of the rate
    :param rate_per_s: rate at a time in milliseconds
    :return: rising times in milliseconds
    """
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(peak_per_s) * 1000.0
        if at_ms >= duration_ms:
            return
        if rng.random() * peak_per_s < rate_per_s(at_ms):
            yield at_ms


def make_request(
    rng: Random,
    flow: Flow,
    at_ms: float,
    number: int,
    retries: int = 0,
    backoff_ms: float = 100.0,
    timeout_ms: float = 0.0,
) -> TraceRequest:
    """Build one request of a flow.

    :param rng: source of randomness for the caller
    :param flow: the flow
    :param at_ms: time
    :param number: number of the request, part of its path and key
    :param retries: resends by the client
    :param backoff_ms: wait before each resend
    :param timeout_ms: time after which the client gives an attempt up; 0 for the
        row's deadline
    :return: the request
    """
    return TraceRequest(
        at_ms=at_ms,
        caller=f"{flow.group}-caller-{rng.randrange(flow.callers)}",
        service=flow.service,
        method=flow.method,
        path=flow.path.replace("{n}", str(number)),
        body_bytes=flow.body_bytes,
        key=f"{flow.group}-{number}",
        retries=retries,
        backoff_ms=backoff_ms,
        timeout_ms=timeout_ms,
        group=flow.group,
    )


def pick_flow(rng: Random, flows: tuple[Flow, ...]) -> Flow:
    """Draw a flow by its share.

    :param rng: source of randomness
    :param flows: the flows
    :return: one of them
    """
    return rng.choices(flows, weights=[flow.share for flow in flows])[0]
