"""Memory of the incarnations of the backend server that have deregistered."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock

# Longer than an announcement is delayed. An incarnation that is still announced after
# that runs: the deregistration was late and meant an earlier one of the same id.
RETENTION_MS = 30_000.0


@dataclass(frozen=True)
class _Departure:
    """The last incarnation of an id that has left, and when this is forgotten."""

    incarnation: int
    until_ms: float


class Departures:
    """Tells late announcements of incarnations that have left from those of later ones.

    :param clock: clock of the node
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._departures: dict[str, _Departure] = {}

    def record(self, instance: str, incarnation: int | None) -> None:
        """Record that an incarnation has left.

        :param instance: id of the backend server
        :param incarnation: its start in Unix milliseconds; if it is not known, each
            start before now is taken to have left
        """
        now_ms = self._clock.now_ms()
        self._departures = {
            known: departure
            for known, departure in self._departures.items()
            if departure.until_ms > now_ms
        }
        if incarnation is None:
            incarnation = self._clock.wall_ms()
        self._departures[instance] = _Departure(incarnation, now_ms + RETENTION_MS)

    def include(self, instance: str, incarnation: int) -> bool:
        """Return whether an incarnation has left.

        :param instance: id of the backend server
        :param incarnation: its start in Unix milliseconds
        :return: whether announcements of it are late
        """
        departure = self._departures.get(instance)
        if departure is None or self._clock.now_ms() >= departure.until_ms:
            return False
        return incarnation <= departure.incarnation
