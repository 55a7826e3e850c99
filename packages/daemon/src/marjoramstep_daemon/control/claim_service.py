"""Serves the claims of nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.errors import UnavailableError
from marjoramstep_core.ids import AttemptId
from marjoramstep_core.ids import Fingerprint
from marjoramstep_core.ids import NodeId
from marjoramstep_core.ids import RequestKey
from marjoramstep_core.ids import RowName
from marjoramstep_state.answer import AnswerRecord
from marjoramstep_state.commands import AttemptOutcome
from marjoramstep_state.commands import Claim
from marjoramstep_state.commands import EndClaim
from marjoramstep_state.commands import LookUpClaim
from marjoramstep_state.results import ClaimResult
from marjoramstep_wire.codec import decode_struct
from marjoramstep_wire.codec import encode_struct
from marjoramstep_wire.messages import ClaimEnd
from marjoramstep_wire.messages import ClaimLookup
from marjoramstep_wire.messages import ClaimReply
from marjoramstep_wire.messages import ClaimRequest
from marjoramstep_wire.messages import StoredAnswer

from .claim_verdict import ClaimReplyVerdict
from .replicated_state import NotLeaderError


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_state.command import Command
    from marjoramstep_wire.connection import PeerConnection
    from marjoramstep_wire.messages import Message

    from .replicated_state import ReplicatedState

# Bounds the memory of pending claims, which each hold a task. Nodes retry refused
# claims.
PENDING_CLAIMS_LIMIT = 20_000


class ClaimService:
    """Commits the claims of nodes and replies to them.

    :param state: the replicated state
    :param send: sends a message on a connection if it is open
    """

    def __init__(
        self,
        state: ReplicatedState,
        send: Callable[[PeerConnection, Message], None],
    ) -> None:
        self._state = state
        self._send = send
        self._tasks: set[asyncio.Task[None]] = set()

    def on_claim(self, connection: PeerConnection, message: ClaimRequest) -> None:
        """Claim a request key for an attempt.

        :param connection: connection of the node, which gets the reply
        :param message: the message
        """

        def make_command(log_time_ms: int) -> Command:
            return Claim(
                log_time_ms,
                RequestKey(message.request_key),
                AttemptId(message.attempt_id),
                NodeId(message.node_id),
                RowName(message.row_name),
                Fingerprint(message.fingerprint),
            )

        self._start_claim(connection, message.request_id, make_command)

    def on_claim_end(self, connection: PeerConnection, message: ClaimEnd) -> None:
        """End the claim of an attempt.

        :param connection: connection of the node, which gets the reply
        :param message: the message
        :raises ProtocolError: if the end state or the stored answer is malformed
        """
        try:
            end_state = AttemptOutcome(message.end_state)
        except ValueError as error:
            raise ProtocolError(
                f"unknown end state {message.end_state[:80]!r}",
                step="end claim",
                peer=connection.peer,
            ) from error
        answer = None
        if end_state is AttemptOutcome.DONE:
            stored = decode_struct(StoredAnswer, message.stored_answer, connection.peer)
            answer = AnswerRecord.from_message(stored)

        def make_command(log_time_ms: int) -> Command:
            return EndClaim(
                log_time_ms,
                RequestKey(message.request_key),
                AttemptId(message.attempt_id),
                end_state,
                answer,
            )

        self._start_claim(connection, message.request_id, make_command)

    def on_claim_lookup(self, connection: PeerConnection, message: ClaimLookup) -> None:
        """Return the state of a request key.

        :param connection: connection of the node, which gets the reply
        :param message: the message
        """

        def make_command(log_time_ms: int) -> Command:
            return LookUpClaim(
                log_time_ms, RequestKey(message.request_key), message.close
            )

        self._start_claim(connection, message.request_id, make_command)

    def _start_claim(
        self,
        connection: PeerConnection,
        request_id: int,
        make_command: Callable[[int], Command],
    ) -> None:
        if len(self._tasks) >= PENDING_CLAIMS_LIMIT:
            reply = _claim_reply(request_id, ClaimReplyVerdict.UNAVAILABLE, "busy")
            self._send(connection, reply)
            return

        async def submit() -> None:
            self._send(connection, await self._claim(request_id, make_command))

        task = asyncio.create_task(submit())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _claim(
        self, request_id: int, make_command: Callable[[int], Command]
    ) -> ClaimReply:
        try:
            result = await self._state.submit(make_command)
        except NotLeaderError as error:
            return _claim_reply(
                request_id,
                ClaimReplyVerdict.NOT_LEADER,
                error.message,
                error.leader_address,
            )
        except UnavailableError as error:
            return _claim_reply(
                request_id, ClaimReplyVerdict.UNAVAILABLE, error.message
            )
        except MarjoramstepError as error:
            # The command itself is not valid, e.g. its answer is too long. There is no
            # separate verdict for that.
            return _claim_reply(request_id, ClaimReplyVerdict.BAD_KEY, error.message)
        if not isinstance(result, ClaimResult):
            raise ProtocolError(f"unexpected {type(result).__name__}", step="claim")
        verdict = ClaimReplyVerdict(result.verdict.value)
        reply = _claim_reply(request_id, verdict, result.detail)
        if result.answer is not None:
            reply.stored_answer = encode_struct(result.answer.to_message())
        return reply


def _claim_reply(
    request_id: int, verdict: ClaimReplyVerdict, detail: str, leader_address: str = ""
) -> ClaimReply:
    return ClaimReply(
        request_id=request_id,
        verdict=verdict.value,
        detail=detail,
        stored_answer=b"",
        leader_address=leader_address,
    )
