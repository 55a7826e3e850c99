"""Verifies with the replicas that a refused request has not run on another node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.errors import UnavailableError
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason
from marjoramstep_wire.messages import ClaimLookup

from ..backend_servers.stored_answers import decode_stored_answer
from ..calls import Failed
from ..control.claim_verdict import ClaimReplyVerdict


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import RequestKey

    from ..control.claim_client import ClaimClient
    from ..metrics import NodeMetrics
    from .entry_result import EntryResult

LOOKUP_TIMEOUT_MS = 300.0
# Each lookup appends an entry to the replicated log. Above this number of concurrent
# lookups the outcome stays unknown, which is always safe: the caller may send the same
# key again.
MAX_PENDING_LOOKUPS = 256

NOT_RUN_VERDICTS = frozenset(
    {
        ClaimReplyVerdict.NONE,
        ClaimReplyVerdict.ABANDONED,
        ClaimReplyVerdict.CLOSED,
        ClaimReplyVerdict.BAD_KEY,
    }
)


class NotRunVerifier:
    """Corrects the outcome of a refused request whose row is not repeatable.

    A refusal before the claim only proves that this attempt did not run. An earlier
    attempt with the same key may have run on another node, and a caller that is told
    "not-run" may retry with a new key, so the claim is looked up first.

    :param clock: clock of the node
    :param claims: looks up claims at the replicas
    :param metrics: counters
    """

    def __init__(self, clock: Clock, claims: ClaimClient, metrics: NodeMetrics) -> None:
        self._clock = clock
        self._claims = claims
        self._metrics = metrics
        self._pending = 0

    async def verify(self, result: EntryResult, key: RequestKey) -> None:
        """Look up the claim of a key and correct the result.

        :param result: result of a request refused before its claim; changed in place
        :param key: the caller's key
        """
        verdict = ClaimReplyVerdict.UNAVAILABLE
        answer = b""
        if self._pending < MAX_PENDING_LOOKUPS:
            # Not closed: a later attempt with the key may still run.
            lookup = ClaimLookup(request_id=0, request_key=key, close=False)
            self._pending += 1
            try:
                reply = await self._claims.look_up(
                    lookup, self._clock.now_ms() + LOOKUP_TIMEOUT_MS
                )
                verdict, answer = ClaimReplyVerdict(reply.verdict), reply.stored_answer
            except UnavailableError:
                self._metrics.count_event("claim lookup failed")
            finally:
                self._pending -= 1
        if verdict in NOT_RUN_VERDICTS:
            return
        result.outcome = Outcome.UNKNOWN
        if verdict is ClaimReplyVerdict.DONE:
            result.reply = decode_stored_answer(answer)
            result.outcome = Outcome.DONE
        elif verdict is ClaimReplyVerdict.RUNNING:
            result.reply = Failed(Reason.RUNNING, "another attempt has claimed the key")
