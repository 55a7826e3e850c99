"""Steps for the replication core."""

from __future__ import annotations

from random import Random
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_consensus.effects import Apply
from marjoramstep_consensus.effects import Persist
from marjoramstep_consensus.effects import ReadFailed
from marjoramstep_consensus.effects import ReadReady
from marjoramstep_consensus.effects import Role
from marjoramstep_consensus.effects import Send
from marjoramstep_consensus.entry import Snapshot
from marjoramstep_consensus.leader import ChangeRefusedError
from marjoramstep_consensus.membership import Membership
from marjoramstep_consensus.replica_core import NotLeaderError
from marjoramstep_consensus.replica_core import ReplicaCore
from marjoramstep_consensus.replica_state import StoredState
from marjoramstep_core.clock import ManualClock
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.errors import ProtocolError
from marjoramstep_core.ids import ReplicaId
from marjoramstep_wire.messages import AppendRequest
from marjoramstep_wire.messages import LogEntry
from marjoramstep_wire.messages import VoteRequest


STEP_MS = 10.0


class Cluster:
    """Cores whose writes and messages complete at once unless a test defers them."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock()
        ids = [ReplicaId(f"r{number}") for number in range(count)]
        first = Snapshot(0, 0, 0, Membership({i: i for i in ids}), b"")
        self.first_snapshot = first
        self.cores = {i: self.make(i, StoredState(snapshot=first)) for i in ids}
        self.partitioned: set[str] = set()
        self.partitioned_pair: set[str] = set()
        self.effects: list[tuple[str, Any]] = []
        self.run(2_000)
        self.leader = next(c for c in self.cores.values() if c.role is Role.LEADER)
        self.follower = next(c for c in self.cores.values() if c is not self.leader)

    def make(self, name: ReplicaId, stored: StoredState) -> ReplicaCore:
        return ReplicaCore(name, stored, self.clock, Random(name))

    def handle(self, core: ReplicaCore, effects: list[Any]) -> None:
        for effect in effects:
            self.effects.append((core.replica_id, effect))
            if isinstance(effect, Persist):
                self.handle(core, core.on_synced(effect.write_number))
            elif isinstance(effect, Send):
                target = self.cores.get(effect.receiver)
                pair = {core.replica_id, effect.receiver}
                if (
                    target
                    and not self.partitioned & pair
                    and pair != self.partitioned_pair
                ):
                    received = target.receive(core.replica_id, effect.message)
                    self.handle(target, received)

    def run(self, duration_ms: float) -> None:
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance_ms(STEP_MS)
            for core in list(self.cores.values()):
                self.handle(core, core.tick())

    def restart(self, core: ReplicaCore) -> ReplicaCore:
        """Replace a core by one that starts from its durable state."""
        writes = [
            effect
            for owner, effect in self.effects
            if owner == core.replica_id and isinstance(effect, Persist)
        ]
        entries = tuple(entry for write in writes for entry in write.entries)
        stored = StoredState(
            core.term,
            writes[-1].voted_for,
            self.first_snapshot,
            entries,
            writes[-1].commit_index,
        )
        restarted = self.make(core.replica_id, stored)
        self.cores[core.replica_id] = restarted
        return restarted

    def applied(self, name: str) -> list[Any]:
        mine = [e for owner, e in self.effects if owner == name]
        return [e for a in mine if isinstance(a, Apply) for e in a.entries]


def _raises(kind: type[Exception], call: Any) -> bool:
    try:
        call()
    except kind:
        return True
    return False


@given("a replicated log of {count:d} cores with a leader")
def step_cluster(context: Any, count: int) -> None:
    context.cluster = Cluster(count)


@when("the leader receives {count:d} proposals while its disk is busy")
def step_busy(context: Any, count: int) -> None:
    core = context.cluster.leader
    context.deferred = [e for n in range(count) for e in core.propose(b"%d" % n)]


@then("the leader writes 1 and then {count:d} entries, and all are applied everywhere")
def step_grouped(context: Any, count: int) -> None:
    cluster = context.cluster
    assert [len(e.entries) for e in context.deferred if isinstance(e, Persist)] == [1]
    cluster.handle(cluster.leader, context.deferred)
    name = cluster.leader.replica_id
    writes = [e for o, e in cluster.effects if o == name and isinstance(e, Persist)]
    assert len(writes[-1].entries) == count
    cluster.run(500)
    for name in cluster.cores:
        values = [e.payload for e in cluster.applied(name)][-count - 1 :]
        assert values == [b"%d" % n for n in range(count + 1)]


@then("a follower answers entries and a vote request only after they are durable")
def step_durable(context: Any) -> None:
    core, leader = context.cluster.follower, context.cluster.leader
    (append,) = [
        e.message
        for e in leader.propose(b"x")
        if isinstance(e, Send) and e.receiver == core.replica_id
    ]
    effects = core.receive(leader.replica_id, append)
    assert [type(e) for e in effects] == [Persist]
    beat = AppendRequest(
        term=core.term,
        leader_id=leader.replica_id,
        previous_index=2,
        previous_term=core.term,
        entries=[],
        commit_index=1,
        round_id=99,
    )
    (early,) = core.receive(leader.replica_id, beat)
    assert (early.message.round_id, early.message.match_index) == (99, 1)
    vote = VoteRequest(
        term=core.term + 1,
        candidate_id=leader.replica_id,
        last_index=99,
        last_term=core.term,
        pre_vote=False,
    )
    assert not any(isinstance(e, Send) for e in core.receive(leader.replica_id, vote))
    after = core.on_synced(effects[0].write_number)
    assert [e.message.match_index for e in after if isinstance(e, Send)] == [2]
    (write,) = [e for e in after if isinstance(e, Persist)]
    assert write.voted_for == leader.replica_id
    (answer,) = [e for e in core.on_synced(write.write_number) if isinstance(e, Send)]
    assert answer.message.granted


@when("the leader is partitioned and a read is requested")
def step_cut_read(context: Any) -> None:
    cluster = context.cluster
    cluster.partitioned.add(cluster.leader.replica_id)
    cluster.effects.clear()
    context.read_id, effects = cluster.leader.request_read()
    cluster.handle(cluster.leader, effects)
    cluster.run(600)


@then("the leader steps down within its election time-out and fails the read")
def step_failed_read(context: Any) -> None:
    effects = [effect for _, effect in context.cluster.effects]
    assert context.cluster.leader.role is not Role.LEADER
    assert ReadFailed(context.read_id) in effects
    assert ReadReady(context.read_id) not in effects


@then("the leader sends nothing when it resumes after {pause_ms:d} ms")
def step_frozen(context: Any, pause_ms: int) -> None:
    context.cluster.clock.advance_ms(pause_ms)
    effects = context.cluster.leader.tick()
    assert not any(isinstance(effect, Send) for effect in effects)
    assert context.cluster.leader.role is Role.FOLLOWER


@when("a follower is partitioned for {pause_ms:d} ms and reconnects")
def step_return(context: Any, pause_ms: int) -> None:
    cluster = context.cluster
    context.term = cluster.leader.term
    cluster.partitioned.add(cluster.follower.replica_id)
    cluster.run(pause_ms)
    assert cluster.follower.role is Role.PRE_CANDIDATE
    cluster.partitioned.clear()
    cluster.run(3_000)


@when("a follower is partitioned from the leader alone for {pause_ms:d} ms")
def step_cut_from_leader(context: Any, pause_ms: int) -> None:
    cluster = context.cluster
    context.term = cluster.leader.term
    cluster.partitioned_pair = {cluster.follower.replica_id, cluster.leader.replica_id}
    cluster.run(pause_ms)
    assert cluster.follower.role is Role.PRE_CANDIDATE
    cluster.partitioned_pair = set()
    cluster.run(3_000)


@then("the replicated log keeps its leader and its term")
def step_same_term(context: Any) -> None:
    for core in context.cluster.cores.values():
        assert core.term == context.term
        assert core.leader_id == context.cluster.leader.replica_id


@when("all cores restart from what they have stored")
def step_restart_all(context: Any) -> None:
    for core in list(context.cluster.cores.values()):
        context.cluster.restart(core)


@when("a proposal is committed and {wait_ms:d} ms pass")
def step_commit_and_wait(context: Any, wait_ms: int) -> None:
    cluster = context.cluster
    cluster.handle(cluster.leader, cluster.leader.propose(b"row"))
    cluster.run(wait_ms)


@when("all cores restart from what they have stored, each partitioned")
def step_restart_cut_off(context: Any) -> None:
    cluster = context.cluster
    cluster.partitioned = set(cluster.cores)
    restarted = [cluster.restart(core) for core in list(cluster.cores.values())]
    cluster.effects.clear()
    for core in restarted:
        cluster.handle(core, core.tick())


@then("each core has applied the proposal and there is no leader")
def step_applied_alone(context: Any) -> None:
    cluster = context.cluster
    for name, core in cluster.cores.items():
        assert core.role is not Role.LEADER
        assert b"row" in [entry.payload for entry in cluster.applied(name)]


@then("one of them leads after {limit_ms:d} ms")
def step_leads(context: Any, limit_ms: int) -> None:
    cluster = context.cluster
    cluster.run(limit_ms)
    assert [c.role for c in cluster.cores.values()].count(Role.LEADER) == 1


@when(
    "a follower restarts, partitioned from the leader alone for {pause_ms:d} ms",
)
def step_restart_cut(context: Any, pause_ms: int) -> None:
    cluster = context.cluster
    context.term = cluster.leader.term
    cluster.follower = cluster.restart(cluster.follower)
    cluster.partitioned_pair = {cluster.follower.replica_id, cluster.leader.replica_id}
    cluster.run(pause_ms)
    assert cluster.follower.role is Role.PRE_CANDIDATE
    cluster.partitioned_pair = set()
    cluster.run(3_000)


@when("a core with an empty folder runs for {duration_ms:d} ms")
def step_empty(context: Any, duration_ms: int) -> None:
    cluster = context.cluster
    context.new = cluster.cores["new"] = cluster.make("new", StoredState())
    cluster.effects.clear()
    cluster.run(duration_ms)
    request = VoteRequest(
        term=9, candidate_id="r0", last_index=99, last_term=8, pre_vote=False
    )
    cluster.handle(context.new, context.new.receive("r0", request))


@then("the core with an empty folder has refused a vote and requested none")
def step_no_vote(context: Any) -> None:
    sent = [e for owner, e in context.cluster.effects if owner == "new"]
    (reply,) = [e.message for e in sent if isinstance(e, Send)]
    assert not reply.granted


@when("a core with an empty folder is admitted but receives nothing")
def step_admit(context: Any) -> None:
    cluster = context.cluster
    context.new = cluster.cores["new"] = cluster.make("new", StoredState())
    cluster.partitioned.add("new")
    cluster.handle(cluster.leader, cluster.leader.admit("new", "127.0.0.1:9"))
    cluster.run(1_000)


@then("the new core has no vote, commits continue, and no other change can start")
def step_learner(context: Any) -> None:
    cluster = context.cluster
    leader = cluster.leader
    cluster.handle(leader, leader.propose(b"x"))
    assert leader.commit_index == leader.last_index
    assert "new" in leader.membership.learners
    assert _raises(ChangeRefusedError, lambda: leader.admit("other", "127.0.0.1:8"))
    assert context.new.last_index == 0


@then("the new core becomes a voter after it receives the log")
def step_promoted(context: Any) -> None:
    context.cluster.partitioned.clear()
    context.cluster.run(1_000)
    for core in context.cluster.cores.values():
        assert "new" in core.membership.voters
    assert context.new.applied_index == context.cluster.leader.last_index


@when("the wall clock steps back by {step_ms:d} ms and another core becomes leader")
def step_clock(context: Any, step_ms: int) -> None:
    cluster = context.cluster
    cluster.clock.step_wall_ms(-step_ms)
    cluster.partitioned.add(cluster.leader.replica_id)
    cluster.run(5_000)
    (leader,) = [c for c in cluster.cores.values() if c.role is Role.LEADER]
    assert leader is not cluster.leader
    cluster.handle(leader, leader.propose(b"x"))
    context.leader = leader


@then("the log times of the replicated log never decrease")
def step_times(context: Any) -> None:
    entries = context.cluster.applied(context.leader.replica_id)
    times = [entry.time_ms for entry in entries]
    assert len(times) >= 3
    assert times == sorted(times)


@then("the cores refuse a forged sender, a gap, a long proposal and a wrong leader")
def step_refused(context: Any) -> None:
    core, leader = context.cluster.follower, context.cluster.leader
    name, last = leader.replica_id, leader.last_index
    entry = LogEntry(index=9, term=leader.term, kind="normal", payload=bytes(8))
    gap = AppendRequest(
        term=leader.term,
        leader_id=name,
        previous_index=1,
        previous_term=leader.term,
        entries=[entry],
        commit_index=1,
        round_id=1,
    )
    assert _raises(ProtocolError, lambda: core.receive(ReplicaId("x"), gap))
    assert _raises(ProtocolError, lambda: core.receive(name, gap))
    long = bytes(2 * 1024 * 1024)
    assert _raises(InvalidInputError, lambda: leader.propose(b"fits", long))
    assert _raises(NotLeaderError, lambda: core.propose(b"x"))
    assert leader.last_index == core.last_index == last


@when("a further core is admitted and receives the log")
@given("a further core that follows as a learner")
def step_further(context: Any) -> None:
    cluster = context.cluster
    context.new = cluster.cores["new"] = cluster.make("new", StoredState())
    cluster.handle(cluster.leader, cluster.leader.admit("new", "127.0.0.1:9"))
    cluster.run(2_000)


@then("the further core stays a learner and applies what is committed")
def step_stays_learner(context: Any) -> None:
    cluster = context.cluster
    cluster.handle(cluster.leader, cluster.leader.propose(b"x"))
    cluster.run(8_000)
    assert "new" in cluster.leader.membership.learners
    assert context.new.applied_index == cluster.leader.last_index


@then("it gets about one heartbeat a second and still names the leader")
def step_slow_heartbeats(context: Any) -> None:
    cluster = context.cluster
    cluster.effects.clear()
    for _ in range(40):
        cluster.run(250)
        assert context.new.leader_id == cluster.leader.replica_id
    heartbeats = [
        effect
        for _, effect in cluster.effects
        if isinstance(effect, Send)
        and effect.receiver == "new"
        and isinstance(effect.message, AppendRequest)
    ]
    assert 8 <= len(heartbeats) <= 11, len(heartbeats)


@when("a follower is unreachable for {duration_ms:d} ms")
def step_unreachable(context: Any, duration_ms: int) -> None:
    context.cluster.partitioned.add(context.cluster.follower.replica_id)
    context.cluster.run(duration_ms)


@when("the follower stays unreachable for {duration_ms:d} ms more")
def step_stays_unreachable(context: Any, duration_ms: int) -> None:
    context.cluster.run(duration_ms)


@then("the further core is still a learner")
def step_still_learner(context: Any) -> None:
    assert "new" in context.cluster.leader.membership.learners


@then("the further core is a voter")
def step_is_voter(context: Any) -> None:
    for core in (context.cluster.leader, context.new):
        assert "new" in core.membership.voters
