"""Runs a replica: consensus core, data folder and proposals."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from marjoramstep_consensus.effects import Role as ReplicaRole
from marjoramstep_consensus.replica_core import NotLeaderError as CoreNotLeaderError
from marjoramstep_consensus.replica_core import ReplicaCore
from marjoramstep_consensus.replica_driver import ProposalOutcome
from marjoramstep_consensus.replica_driver import ReplicaDriver
from marjoramstep_consensus.replica_driver import StateMachineCallbacks
from marjoramstep_consensus.replica_state import Limits
from marjoramstep_consensus.replica_state import Timing
from marjoramstep_consensus.voter_policy import TARGET_VOTERS
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.errors import UnavailableError
from marjoramstep_state import encode_command
from marjoramstep_state.commands import AdvanceTime
from marjoramstep_wire.messages import JoinReply
from marjoramstep_wire.messages import JoinRequest

from .futures import fail_future
from .futures import resolve_future
from .join_requests import JoinRequests
from .log_clock import LogTimeSource
from .observed_state_machine import ObservedStateMachine
from .pending_reads import PendingReads
from .proposal_queue import PAYLOAD_LIMIT_BYTES
from .proposal_queue import PROPOSAL_LIMIT
from .proposal_queue import ProposalQueue
from .quorum_contact import QuorumContact
from .replicated_state import NotLeaderError


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from marjoramstep_consensus.data_folder import DataFolder
    from marjoramstep_consensus.effects import Effect
    from marjoramstep_consensus.effects import Persist
    from marjoramstep_consensus.replica_driver import DriverOutput
    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import ReplicaId
    from marjoramstep_state.command import Command
    from marjoramstep_state.results import CommandResult
    from marjoramstep_wire.messages import Message

    from ..log import EventLog
    from .replica_links import ReplicaLinks

MIN_SNAPSHOT_ENTRIES = 5_000
# Delay between two steps of encoding a snapshot, in which messages are served.
ENCODE_STEP_DELAY_SECONDS = 0.005
SUBMIT_TIMEOUT_SECONDS = 5.0
ADVANCE_TIME_INTERVAL_SECONDS = 10.0
JOIN_REQUEST_INTERVAL_SECONDS = 0.5
SECOND_MS = 1_000.0


class Replica:
    """Owns the core, the state machine and the data folder of one replica.

    The core is only used on the event loop. Writes to the disk run in one thread, and
    proposals that arrive during a write go into the next one (group commit). Reads that
    only a leader with a quorum may answer wait for :meth:`confirm_read`.

    :param folder: data folder with an identity
    :param address: peer address ``ip:port`` of this process
    :param clock: clock of the process
    :param rng: random generator for election time-outs
    :param links: connections to the other replicas
    :param log: event log
    :param group_commit: false commits each proposal with its own disk sync; only for
        measurements
    :param target_voters: intended number of voters
    :ivar failure: gets an exception when the process must end
    :ivar machine: the replicated state
    :ivar observed: applies entries to it and reports changes
    """

    def __init__(
        self,
        folder: DataFolder,
        address: str,
        clock: Clock,
        rng: Random,
        links: ReplicaLinks,
        log: EventLog,
        *,
        group_commit: bool = True,
        target_voters: int = TARGET_VOTERS,
    ) -> None:
        self._folder = folder
        self._group_commit = group_commit
        self._address = address
        self._clock = clock
        self._links = links
        self._log_time_source = LogTimeSource(clock)
        self._log = log
        self._timing = Timing()
        stored = folder.load()
        if folder.truncated_bytes:
            log.write(
                "torn record cut off",
                step="load data folder",
                truncated_bytes=folder.truncated_bytes,
            )
        snapshot = stored.snapshot.data if stored.snapshot.last_index else b""
        self.observed = ObservedStateMachine(snapshot)
        self.machine = self.observed.machine
        limits = Limits(payload_bytes=PAYLOAD_LIMIT_BYTES, target_voters=target_voters)
        self.core = ReplicaCore(
            folder.replica_id, stored, clock, rng, self._timing, limits
        )
        self.quorum_contact = QuorumContact(self.core, clock, self._timing)
        self._driver = self._make_driver()
        self._pool = ThreadPoolExecutor(max_workers=1, thread_name_prefix="persist")
        self._proposals = ProposalQueue()
        self._reads = PendingReads()
        self._pending_writes: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._encode_timer: asyncio.TimerHandle | None = None
        self._join_requests = JoinRequests(clock)
        self._reported_role = (ReplicaRole.FOLLOWER, -1)
        self.failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def _make_driver(self) -> ReplicaDriver:
        state_machine_calls = StateMachineCallbacks(
            self.observed.apply,
            self.observed.restore,
            self.machine.snapshot,
            lambda: self.machine.begin_snapshot().step,
            self.machine.end_snapshot,
        )
        return ReplicaDriver(self.core, state_machine_calls, MIN_SNAPSHOT_ENTRIES)

    @property
    def address(self) -> str:
        """Own peer address ``ip:port``."""
        return self._address

    @property
    def leader_address(self) -> str:
        """Peer address of the leader, empty when it is not known."""
        return self.quorum_contact.leader_address

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and a quorum has answered it recently."""
        return self.quorum_contact.is_leader

    def confirmed_age_ms(self) -> float:
        """Return a bound on the age of the state here, negative if not known."""
        return self.quorum_contact.confirmed_age_ms()

    def start(self) -> None:
        """Apply what is known to be committed, and start time-outs.

        Must be called on the event loop.
        """
        self._tick()

    async def run(self) -> None:
        """Ask to be admitted while not a member; advance the log time while leading."""
        advanced_ms = self._clock.now_ms()
        while True:
            await asyncio.sleep(JOIN_REQUEST_INTERVAL_SECONDS)
            if self._join_requests.must_request_admission(self.core):
                request = JoinRequest(
                    replica_id=self.core.replica_id, address=self._address
                )
                self._links.broadcast(request)
            elif self.is_leader:
                waited_ms = self._clock.now_ms() - advanced_ms
                if waited_ms >= ADVANCE_TIME_INTERVAL_SECONDS * SECOND_MS:
                    advanced_ms = self._clock.now_ms()
                    await self._advance_time()

    def current_join_requests(self) -> dict[ReplicaId, str]:
        """Return the replicas that currently ask to be admitted.

        :return: address by id
        """
        return self._join_requests.filter_current(self.core.pending_joins)

    def receive(self, sender: ReplicaId, message: Message) -> None:
        """Process a message of another replica.

        :param sender: id from the handshake
        :param message: the message
        :raises ProtocolError: if it is malformed
        """
        if isinstance(message, JoinReply):
            self._links.add_address(message.leader_address)
            return
        if isinstance(message, JoinRequest):
            self._join_requests.record(sender)
        self._handle(self.core.receive(sender, message))
        self.quorum_contact.on_received(sender, message)

    async def confirm_read(self) -> None:
        """Wait until a quorum confirms that this replica leads and is up to date.

        Afterwards, the state machine holds everything accepted before the call.

        :raises NotLeaderError: if this replica is not the leader
        :raises UnavailableError: if no quorum answers in time
        """
        if not self.is_leader:
            raise NotLeaderError(self.leader_address)
        read_id, effects = self.core.request_read()
        future = self._reads.add(read_id)
        self._handle(effects)
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_SECONDS):
                await future
        except TimeoutError as error:
            raise UnavailableError("no quorum answered in time", step="read") from error
        finally:
            self._reads.discard(read_id)

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
        if not self.is_leader:
            raise NotLeaderError(self.leader_address)
        self._proposals.require_space()
        future = self._proposals.add(encode_command(make_command(self._log_time_ms())))
        if len(self._proposals) == 1:
            asyncio.get_running_loop().call_soon(self._propose_batch)
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_SECONDS):
                applied = await future
        except TimeoutError as error:
            raise UnavailableError(
                "no quorum answered in time", step="commit"
            ) from error
        if applied.result is None:
            raise UnavailableError(applied.fault, step="apply")
        return applied.result

    def change_membership(self, change: Callable[[ReplicaCore], list[Effect]]) -> None:
        """Start a change of the set of replicas.

        :param change: calls ``admit`` or ``remove`` of the core
        :raises NotLeaderError: if this replica is not the leader
        :raises MarjoramstepError: if the change is refused
        """
        if not self.is_leader:
            raise NotLeaderError(self.leader_address)
        self._handle(change(self.core))

    async def close(self) -> None:
        """Stop, after a write in progress has finished."""
        for timer in (self._timer, self._encode_timer):
            if timer is not None:
                timer.cancel()
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self._pool.shutdown)
        self._folder.close()

    def _log_time_ms(self) -> int:
        return self._log_time_source.next_timestamp_ms(
            self.machine.watermark_ms, self.core.term
        )

    async def _advance_time(self) -> None:
        try:
            await self.submit(AdvanceTime)
        except UnavailableError as error:
            self._log.write("log time not advanced", step=error.step, peer=error.peer)

    def _propose_batch(self) -> None:
        if not self._group_commit and self._pending_writes:
            return
        batch = self._proposals.take(PROPOSAL_LIMIT if self._group_commit else 1)
        try:
            self._execute(self._driver.propose(batch))
        except CoreNotLeaderError:
            error = NotLeaderError(self.leader_address)
            for waiter, _ in batch:
                fail_future(waiter, error)
        except MarjoramstepError as batch_error:
            for waiter, _ in batch:
                fail_future(waiter, batch_error)

    def _handle(self, effects: list[Effect]) -> None:
        self._execute(self._driver.handle(effects))

    def _execute(self, output: DriverOutput) -> None:
        if output.write is not None:
            task = asyncio.create_task(self._persist(output.write))
            self._pending_writes.add(task)
            task.add_done_callback(self._on_written)
        for send in output.sends:
            self._links.send(send.receiver, send.message, self.core)
        for result in output.results:
            if result.state is ProposalOutcome.APPLIED:
                resolve_future(result.token, result.value)
            else:
                text = f"the proposal is {result.state.value}"
                fail_future(result.token, UnavailableError(text, step="commit"))
        self._reads.confirm(output.ready_reads)
        self._reads.fail(output.failed_reads, NotLeaderError(self.leader_address))
        self._report_role()
        self._schedule_tick()
        self._schedule_encoding()

    def _schedule_encoding(self) -> None:
        # The cost of encoding a snapshot is proportional to the size of the state, so
        # the number of entries between two snapshots grows with it. The number of
        # claims stands for the size.
        self._driver.snapshot_entries = max(
            MIN_SNAPSHOT_ENTRIES, self.machine.claim_count
        )
        if self._driver.is_encoding_snapshot and self._encode_timer is None:
            loop = asyncio.get_running_loop()
            self._encode_timer = loop.call_later(
                ENCODE_STEP_DELAY_SECONDS, self._encode
            )

    def _encode(self) -> None:
        self._encode_timer = None
        self._execute(self._driver.encode_snapshot_step())

    def _on_written(self, task: asyncio.Task[None]) -> None:
        self._pending_writes.discard(task)
        if self._proposals and not self._group_commit:
            self._propose_batch()

    async def _persist(self, write: Persist) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._pool, self._folder.persist, write)
            self._handle(self.core.on_synced(write.write_number))
        except Exception as error:
            # It is not known what a failed write has stored, so the process ends.
            self.fail(error)

    def fail(self, error: BaseException) -> None:
        """End the process, since its state is no longer reliable.

        :param error: the reason; only the first one is reported
        """
        if not self.failure.done():
            self.failure.set_exception(error)
        # Pending commands may be stored here or at another replica.
        text = "the replica has failed; the command may be stored"
        self._proposals.fail_pending(UnavailableError(text, step="commit"))

    def _report_role(self) -> None:
        role = (self.core.role, self.core.term)
        if role != self._reported_role:
            self.quorum_contact.on_role_change()
            self._reported_role = role
            self._log.write(
                "replica role",
                step="election",
                peer=self.core.leader_id or "unknown",
                role=self.core.role.value,
                term=self.core.term,
            )

    def _schedule_tick(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay_ms = max(self.core.next_wakeup_ms() - self._clock.now_ms(), 1.0)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / SECOND_MS, self._tick)

    def _tick(self) -> None:
        self._timer = None
        try:
            self._handle(self.core.tick())
        except MarjoramstepError as error:
            self.fail(error)
