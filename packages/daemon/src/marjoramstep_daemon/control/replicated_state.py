"""Interface of the replicated log to the services of a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from marjoramstep_core.errors import UnavailableError


if TYPE_CHECKING:
    from collections.abc import Callable

    from marjoramstep_state import StateMachine
    from marjoramstep_state.command import Command
    from marjoramstep_state.results import CommandResult


class NotLeaderError(UnavailableError):
    """This replica is not the leader.

    Raised to the services. The core has an error of the same name without an address.

    :param leader_address: peer address of the leader, empty when it is not known
    """

    def __init__(self, leader_address: str) -> None:
        super().__init__(
            "this replica is not the leader; ask the other replicas", step="propose"
        )
        self.leader_address = leader_address


class ReplicatedState(Protocol):
    """State machine and the replicated log that it applies."""

    @property
    def machine(self) -> StateMachine:
        """State machine, with all committed entries applied so far."""

    @property
    def leader_address(self) -> str:
        """Peer address of the leader, empty when it is not known."""

    def confirmed_age_ms(self) -> float:
        """Return a bound on the age of the state here, negative if not known."""

    async def submit(self, make_command: Callable[[int], Command]) -> CommandResult:
        """Commit a command on a majority and return its result.

        :param make_command: builds the command for a log time in Unix milliseconds
        :return: result of the state machine
        :raises NotLeaderError: if this replica is not the leader; nothing was proposed
        :raises InvalidInputError: if the command is not valid; nothing was proposed
        :raises UnavailableError: if too many commands are pending (nothing was
            proposed), if the state machine cannot apply the command, or if the proposal
            was lost or its outcome is not known
        """
