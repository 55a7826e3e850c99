"""Commands of a replica that wait for their outcome."""

from __future__ import annotations

import asyncio

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.errors import UnavailableError
from marjoramstep_state.results import ApplyResult

from .futures import fail_future


PROPOSAL_LIMIT = 20_000
# A stored answer of 1 MiB takes 1.33 MiB in base64. A frame may have 2 MiB and also
# holds the rest of the message.
PAYLOAD_LIMIT_BYTES = 1_792 * 1024

ProposalFuture = asyncio.Future[ApplyResult]


class ProposalQueue:
    """Holds commands until a write takes them, and futures until their outcome."""

    def __init__(self) -> None:
        self._waiting: list[tuple[object, bytes]] = []
        self._pending: set[ProposalFuture] = set()

    def __len__(self) -> int:
        """Return how many commands wait for a write."""
        return len(self._waiting)

    def require_space(self) -> None:
        """Check that a further command may wait.

        :raises UnavailableError: if too many wait already
        """
        if len(self._waiting) >= PROPOSAL_LIMIT:
            raise UnavailableError("too many proposals", step="propose")

    def add(self, payload: bytes) -> ProposalFuture:
        """Add a command.

        :param payload: the encoded command
        :return: gets its result, or the error of the proposal
        :raises InvalidInputError: if the command does not fit into a frame
        """
        if len(payload) > PAYLOAD_LIMIT_BYTES:
            # Checked here, so that it does not fail the other commands of its batch.
            raise InvalidInputError(
                f"expected at most {PAYLOAD_LIMIT_BYTES} bytes, found {len(payload)}",
                step="propose",
            )
        future: ProposalFuture = asyncio.get_running_loop().create_future()
        self._waiting.append((future, payload))
        self._pending.add(future)
        future.add_done_callback(self._pending.discard)
        return future

    def take(self, limit: int) -> list[tuple[object, bytes]]:
        """Remove the oldest commands that wait for a write.

        :param limit: largest number of commands
        :return: future and payload of each
        """
        batch = self._waiting[:limit]
        self._waiting = self._waiting[limit:]
        return batch

    def fail_pending(self, error: UnavailableError) -> None:
        """Fail all commands whose outcome is not known yet.

        :param error: the error that their callers get
        """
        for future in list(self._pending):
            fail_future(future, error)
