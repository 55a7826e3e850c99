"""What earlier attempts under a caller's key may have done."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.states import Outcome


if TYPE_CHECKING:
    from marjoramstep_core.ids import RequestKey

# As many keys as the resend ledger remembers.
KEY_LIMIT = 50_000


@dataclass(slots=True)
class _Attempts:
    running: int = 0
    may_have_run: bool = False


class KeyHistory:
    """Remembers which keys may have run, so that no resend is reported as not run.

    The number of keys is bounded; the key that arrived least recently is forgotten.
    """

    def __init__(self) -> None:
        self._keys: OrderedDict[RequestKey, _Attempts] = OrderedDict()

    def begin(self, key: RequestKey) -> bool:
        """Note that an attempt begins.

        :param key: the caller's key
        :return: whether another attempt may have run or may still run
        """
        attempts = self._keys.setdefault(key, _Attempts())
        self._keys.move_to_end(key)
        if len(self._keys) > KEY_LIMIT:
            self._keys.popitem(last=False)
        may_have_run = attempts.may_have_run or attempts.running > 0
        attempts.running += 1
        return may_have_run

    def end(self, key: RequestKey, outcome: Outcome) -> None:
        """Note that an attempt has ended.

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
