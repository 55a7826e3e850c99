"""State of a caller's connection and its transitions."""

from __future__ import annotations

from enum import Enum
from enum import unique


@unique
class ConnectionState(Enum):
    """What a connection still takes, in the order in which the states follow.

    A connection may skip states and never returns to an earlier one.
    """

    #: Requests are read; the connection stays open after their answers.
    OPEN = "open"
    #: Requests are read; an answer behind which none waits closes the connection.
    CLOSE_ANNOUNCED = "close announced"
    #: No further request is read. The body of the last one still is.
    LAST_REQUEST = "last request"
    #: What arrives is dropped; the connection closes after the answer that is sent.
    CLOSING = "closing"
    #: The socket has closed.
    CLOSED = "closed"


_ORDER = {state: position for position, state in enumerate(ConnectionState)}
_TAKES_REQUESTS = frozenset({ConnectionState.OPEN, ConnectionState.CLOSE_ANNOUNCED})
_READS = _TAKES_REQUESTS | {ConnectionState.LAST_REQUEST}
_CLOSES_AFTER_LAST_ANSWER = frozenset(
    {ConnectionState.CLOSE_ANNOUNCED, ConnectionState.LAST_REQUEST}
)


class ConnectionLifecycle:
    """Owns the state of one connection; it only moves forward."""

    def __init__(self) -> None:
        self._state = ConnectionState.OPEN

    @property
    def state(self) -> ConnectionState:
        """The current state."""
        return self._state

    @property
    def takes_requests(self) -> bool:
        """Whether another request may begin."""
        return self._state in _TAKES_REQUESTS

    @property
    def reads(self) -> bool:
        """Whether what arrives is parsed; otherwise it is dropped."""
        return self._state in _READS

    @property
    def closes_after_last_answer(self) -> bool:
        """Whether an answer behind which no request waits closes the connection."""
        return self._state in _CLOSES_AFTER_LAST_ANSWER

    def announce_close(self) -> None:
        """Close after the next answer behind which no request waits."""
        self._advance(ConnectionState.CLOSE_ANNOUNCED)

    def end_requests(self) -> None:
        """Take no request behind the last one that has begun."""
        self._advance(ConnectionState.LAST_REQUEST)

    def start_closing(self) -> None:
        """Drop what arrives from now on."""
        self._advance(ConnectionState.CLOSING)

    def end(self) -> None:
        """Note that the socket has closed."""
        self._advance(ConnectionState.CLOSED)

    def _advance(self, state: ConnectionState) -> None:
        if _ORDER[state] > _ORDER[self._state]:
            self._state = state
