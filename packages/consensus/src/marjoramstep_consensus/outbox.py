"""Orders writes and the messages that depend on them, and tracks what is durable."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .effects import Effect
from .effects import Persist
from .effects import Send


if TYPE_CHECKING:
    from marjoramstep_core.ids import ReplicaId
    from marjoramstep_wire.messages import Message

    from .entry import Snapshot
    from .replica_log import ReplicaLog


class Outbox:
    """Collects effects; defers messages until the state they acknowledge is durable.

    :param term: durable term
    :param last_index: last durable index
    :param commit_index: durable commit index
    :ivar written_commit_index: commit index of the latest write
    """

    def __init__(self, term: int, last_index: int, commit_index: int) -> None:
        self.synced_term = term
        self.synced_index = last_index
        self.written_commit_index = commit_index
        self._effects: list[Effect] = []
        self._new_sends: list[Send] = []
        self._waiting_sends: list[tuple[int, Send]] = []
        self._last_write_number = 0
        self._in_flight: Persist | None = None
        self._in_flight_last_index = 0
        self._vote_changed = False
        self._first_changed_index: int | None = None
        self._snapshot: Snapshot | None = None
        self._reset_log = False

    def emit(self, effect: Effect) -> None:
        """Add an effect that does not depend on a write."""
        self._effects.append(effect)

    def send(self, receiver: ReplicaId, message: Message) -> None:
        """Send a message that does not depend on unwritten state."""
        self._effects.append(Send(receiver, message))

    def send_when_durable(self, receiver: ReplicaId, message: Message) -> None:
        """Send a message once all changes made so far are durable."""
        self._new_sends.append(Send(receiver, message))

    def mark_term_or_vote_changed(self) -> None:
        """Record that the term or the vote changed."""
        self._vote_changed = True

    def mark_entries_changed(self, first: int) -> None:
        """Record that log entries changed.

        :param first: lowest index that is new or replaced
        """
        changed = self._first_changed_index
        self._first_changed_index = first if changed is None else min(changed, first)
        self.synced_index = min(self.synced_index, first - 1)
        # The write in progress no longer makes replaced entries durable.
        self._in_flight_last_index = min(self._in_flight_last_index, first - 1)

    def queue_snapshot(self, snapshot: Snapshot, reset_log: bool) -> None:
        """Record that a snapshot has to be stored.

        :param snapshot: the snapshot
        :param reset_log: whether it replaces the whole log
        """
        self._snapshot = snapshot
        self._reset_log = self._reset_log or reset_log
        if reset_log:
            self._first_changed_index = None
            self.synced_index = self._in_flight_last_index = 0

    def on_synced(self, write_number: int) -> None:
        """Release the messages that waited for a write.

        :param write_number: number of the write
        """
        write = self._in_flight
        if write is None or write.write_number != write_number:
            return
        self._in_flight = None
        self.synced_term = write.term
        self.synced_index = max(self.synced_index, self._in_flight_last_index)
        self._effects += [
            send
            for required_write, send in self._waiting_sends
            if required_write <= write_number
        ]
        self._waiting_sends = [
            pair for pair in self._waiting_sends if pair[0] > write_number
        ]

    def flush(
        self,
        term: int,
        voted_for: ReplicaId | None,
        log: ReplicaLog,
        commit_index: int,
        *,
        is_commit_due: bool,
    ) -> list[Effect]:
        """Start a write if one is needed, and return the effects collected.

        :param term: current term
        :param voted_for: current vote
        :param log: current log
        :param commit_index: current commit index, which each write contains
        :param is_commit_due: whether to write it if nothing else has to be written
        :return: effects in order
        """
        needs_write = (
            self._vote_changed
            or self._first_changed_index is not None
            or self._snapshot is not None
            # It need not delay the messages that wait for a write in progress.
            or (is_commit_due and self._in_flight is None)
        )
        required_write = (
            self._last_write_number + 1 if needs_write else self._last_write_number
        )
        self._waiting_sends += [(required_write, send) for send in self._new_sends]
        self._new_sends = []
        if self._in_flight is None:
            if needs_write:
                self._start_write(term, voted_for, log, commit_index)
            else:
                # Nothing is unwritten and no write is in progress, so that all state is
                # durable.
                self._effects += [send for _, send in self._waiting_sends]
                self._waiting_sends = []
        effects, self._effects = self._effects, []
        return effects

    def _start_write(
        self,
        term: int,
        voted_for: ReplicaId | None,
        log: ReplicaLog,
        commit_index: int,
    ) -> None:
        first = self._first_changed_index
        entries = () if first is None else log.slice(first, log.last_index)
        self._last_write_number += 1
        self._in_flight = Persist(
            self._last_write_number,
            term,
            voted_for,
            entries,
            self._snapshot,
            self._reset_log,
            commit_index,
        )
        self.written_commit_index = commit_index
        self._in_flight_last_index = log.last_index
        self._effects.append(self._in_flight)
        self._vote_changed, self._first_changed_index = False, None
        self._snapshot, self._reset_log = None, False
