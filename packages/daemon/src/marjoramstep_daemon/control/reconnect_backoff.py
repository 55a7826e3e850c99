"""Time limits of the attempts to connect to a replica."""

from __future__ import annotations


# A SYN to a VM without power is lost, and TCP sends it again only after a second. Short
# first attempts reach a replica soon after a restart of all VMs.
FIRST_TIMEOUT_SECONDS = 0.25
MAX_TIMEOUT_SECONDS = 1.0
FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 0.5


class ReconnectBackoff:
    """Limits and delays of attempts to connect, which double up to a maximum.

    :ivar timeout_seconds: time limit of the next attempt
    """

    def __init__(self) -> None:
        self.timeout_seconds = FIRST_TIMEOUT_SECONDS
        self._delay_seconds = FIRST_DELAY_SECONDS

    def reset(self) -> None:
        """Start over, because a connection was opened."""
        self.timeout_seconds = FIRST_TIMEOUT_SECONDS
        self._delay_seconds = FIRST_DELAY_SECONDS

    def next_delay_seconds(self) -> float:
        """Return the time to wait before the next attempt, and double the limits.

        :return: seconds
        """
        delay_seconds = self._delay_seconds
        self._delay_seconds = min(2.0 * delay_seconds, MAX_DELAY_SECONDS)
        self.timeout_seconds = min(2.0 * self.timeout_seconds, MAX_TIMEOUT_SECONDS)
        return delay_seconds
