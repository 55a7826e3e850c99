"""Tracks whether earlier attempts with a caller's key may have run."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.states import Outcome


if TYPE_CHECKING:
    from marjoramstep_core.ids import RequestKey

# Equal to the number of keys for which resends are counted.
KEY_LIMIT = 50_000


@dataclass(slots=True)
class _Attempts:
    running: int = 0
    may_have_run: bool = False


class KeyHistory:
    """Remembers the keys under which a request may have run.

    A resend is not reported as not run while its key is remembered. The number of keys
    is bounded; the key used least recently is evicted.
    """

    def __init__(self) -> None:
        self._keys: OrderedDict[RequestKey, _Attempts] = OrderedDict()

    def begin(self, key: RequestKey) -> bool:
        """Record the start of an attempt.

        :param key: the caller's key
        :return: whether another attempt may have run or is still running
        """
        attempts = self._keys.setdefault(key, _Attempts())
        self._keys.move_to_end(key)
        if len(self._keys) > KEY_LIMIT:
            self._keys.popitem(last=False)
        may_have_run = attempts.may_have_run or attempts.running > 0
        attempts.running += 1
        return may_have_run

    def end(self, key: RequestKey, outcome: Outcome) -> None:
        """Record the end of an attempt.

        :param key: the caller's key
        :param outcome: outcome of this attempt alone
        """
        attempts = self._keys.get(key)
        if attempts is None:
            return
        attempts.running -= 1
        if outcome is not Outcome.NOT_RUN:
            attempts.may_have_run = True
        elif attempts.running == 0 and not attempts.may_have_run:
            del self._keys[key]
