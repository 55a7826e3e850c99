"""Timeouts of the connections of callers."""

from __future__ import annotations


class ConnectionTimeouts:
    """Timeouts of callers' connections; shared by all connections.

    :param header_timeout_seconds: from the first byte of a request head to its end
    :param body_timeout_seconds: from there to the end of a short body or the first part
        of a long one, and to each later part
    :param idle_timeout_seconds: between an answer and the next request
    """

    def __init__(
        self,
        header_timeout_seconds: float,
        body_timeout_seconds: float,
        idle_timeout_seconds: float,
    ) -> None:
        self.header_timeout_seconds = header_timeout_seconds
        self.body_timeout_seconds = body_timeout_seconds
        self.idle_timeout_seconds = idle_timeout_seconds
