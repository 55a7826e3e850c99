"""Calls in flight at one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.states import SizeClass

from .messages import RunningCall


if TYPE_CHECKING:
    from marjoramstep_core.ids import RowName

    from .messages import AdmissionRequest


class RunningCalls:
    """Holds the calls in flight, with their numbers by row and size class.

    :ivar long_count: number of calls of the size class ``LONG``
    """

    __slots__ = ("_calls", "_row_counts", "long_count")

    def __init__(self) -> None:
        self._calls: dict[int, RunningCall] = {}
        self._row_counts: dict[RowName, int] = {}
        self.long_count = 0

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, call_id: object) -> bool:
        return call_id in self._calls

    def count_of_row(self, row: RowName) -> int:
        """Return the number of calls of a row.

        :param row: name of the row
        :return: number of calls
        """
        return self._row_counts.get(row, 0)

    def add(self, request: AdmissionRequest, now_ms: float) -> None:
        """Add a call that starts.

        :param request: the call
        :param now_ms: time of its start in milliseconds
        """
        row = request.row.name
        self._calls[request.call_id] = RunningCall(request, now_ms)
        self._row_counts[row] = self._row_counts.get(row, 0) + 1
        self.long_count += request.size_class is SizeClass.LONG

    def remove(self, call_id: int) -> RunningCall:
        """Remove a call that has ended.

        :param call_id: id of the call
        :return: the call
        :raises InvalidInputError: if no call with this id is in flight
        """
        call = self._calls.pop(call_id, None)
        if call is None:
            raise InvalidInputError(
                f"call {call_id} is not in flight", step="finish call"
            )
        row = call.request.row.name
        remaining = self._row_counts[row] - 1
        if remaining:
            self._row_counts[row] = remaining
        else:
            # Rows come and go with the table, so rows without calls are not kept.
            del self._row_counts[row]
        self.long_count -= call.request.size_class is SizeClass.LONG
        return call
