"""Bytes that this process has sent to other processes, by kind of message."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator

    from .messages import Message


@dataclass(frozen=True, slots=True)
class SentTraffic:
    """What was sent of one kind of message.

    :param message_type: name of the message type
    :param crosses_zones: whether the receiver is in another availability zone; false
        during the handshake, when its zone is not known yet
    :param frames: number of frames
    :param sent_bytes: bytes of these frames, as deflated
    """

    message_type: str
    crosses_zones: bool
    frames: int
    sent_bytes: int


class TrafficCounters:
    """Counts the frames of all connections of a process."""

    def __init__(self) -> None:
        self._frames: Counter[tuple[type[Message], bool]] = Counter()
        self._bytes: Counter[tuple[type[Message], bool]] = Counter()

    def count(self, message: Message, crosses_zones: bool, sent_bytes: int) -> None:
        """Count one frame.

        :param message: the message in it
        :param crosses_zones: whether it leaves the availability zone
        :param sent_bytes: length of the frame
        """
        key = type(message), crosses_zones
        self._frames[key] += 1
        self._bytes[key] += sent_bytes

    def sent(self) -> Iterator[SentTraffic]:
        """Yield what was sent of each kind."""
        for key, frames in self._frames.items():
            message_type, crosses_zones = key
            yield SentTraffic(
                message_type.__name__, crosses_zones, frames, self._bytes[key]
            )


# A process has one set of counters, which its metrics address serves.
PROCESS_TRAFFIC = TrafficCounters()
