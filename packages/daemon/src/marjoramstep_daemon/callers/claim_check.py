"""Checks at the replicas that a refused key has not run through another node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.errors import UnavailableError
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason
from marjoramstep_wire.messages import ClaimLookup

from ..backend_servers.stored_answers import from_stored
from ..calls import Failed
from ..control.claim_verdict import ClaimVerdict


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import RequestKey

    from ..control.claim_client import ClaimClient
    from ..metrics import NodeMetrics
    from .entry import EntryResult

LOOKUP_WAIT_MS = 300.0
# Each lookup is an entry of the replicated log. Beyond this many at a time the outcome
# stays unknown, which is always safe: the same key may be sent again.
PENDING_LIMIT = 256

NEVER_RAN = frozenset(
    {
        ClaimVerdict.NONE,
        ClaimVerdict.ABANDONED,
        ClaimVerdict.CLOSED,
        ClaimVerdict.BAD_KEY,
    }
)


class ClaimCheck:
    """Turns a refusal of a row that may not be repeated into what is true of its key.

    A refusal before the claim says that this attempt did not run. An earlier attempt of
    the same key may have run through another node, and a caller that is told "not-run"
    may go on with a new key, so the claim is looked up first.

    :param clock: clock of the node
    :param claims: client of the replicas
    :param metrics: counters
    """

    def __init__(self, clock: Clock, claims: ClaimClient, metrics: NodeMetrics) -> None:
        self._clock = clock
        self._claims = claims
        self._metrics = metrics
        self._pending = 0

    async def confirm(self, result: EntryResult, key: RequestKey) -> None:
        """Look the key up and correct the result.

        :param result: refused before a claim; changed in place
        :param key: the caller's key
        """
        verdict = ClaimVerdict.UNAVAILABLE
        answer = b""
        if self._pending < PENDING_LIMIT:
            lookup = ClaimLookup(request_id=0, request_key=key, close=False)
            self._pending += 1
            try:
                reply = await self._claims.look_up(
                    lookup, self._clock.now_ms() + LOOKUP_WAIT_MS
                )
                verdict, answer = ClaimVerdict(reply.verdict), reply.stored_answer
            except UnavailableError:
                self._metrics.count_event("claim lookup failed")
            finally:
                self._pending -= 1
        if verdict in NEVER_RAN:
            return
        result.outcome = Outcome.UNKNOWN
        if verdict is ClaimVerdict.DONE:
            result.reply = from_stored(answer)
            result.outcome = Outcome.DONE
        elif verdict is ClaimVerdict.RUNNING:
            result.reply = Failed(Reason.RUNNING, "claimed through another attempt")
