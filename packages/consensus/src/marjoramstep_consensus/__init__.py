"""Replicated log with Raft: sans-I/O replication core, log and snapshot storage.

Raft is used with pre-vote, learners and membership changes by one replica at a time.

A replica's event-loop task combines the parts as follows::

    folder = DataFolder(LocalFileStorage(path), str(path))
    if folder.is_empty:
        folder.create(make_replica_id(process_id))        # then send JoinRequest
    core = ReplicaCore(folder.replica_id, folder.load(), clock, rng)
    callbacks = StateMachineCallbacks(apply, restore, snapshot)
    driver = ReplicaDriver(core, callbacks, snapshot_entries=10_000)

If the ``last_index`` of the loaded snapshot is not 0, the state machine is restored
from it before the driver is constructed. Each input then returns a
:class:`DriverOutput`:

- ``driver.handle(core.tick())`` at ``core.next_wakeup_ms()`` or more often;
- ``driver.handle(core.receive(peer_id, message))`` for each replication message, with
  the peer id authenticated by the handshake;
- ``driver.propose([(token, payload), ...])`` for all proposals that are queued;
- ``read_id, effects = core.request_read()`` and ``driver.handle(effects)`` for reads.

The task passes ``output.write`` to ``folder.persist`` in a thread, because the call
blocks on disk I/O, and sends ``output.sends`` without waiting for it: messages that
depend on the write are not among them. Once the write is durable, the task calls
``driver.handle(core.on_synced(write.write_number))``. At most one write is outstanding.
The core itself is not thread-safe and must be used from the event loop only. When
``persist`` raises, the write must not be reported as synced: retry it if the disk is
full, and stop the process on any other error.

The result of a proposal is ``APPLIED`` with the state machine's return value, ``LOST``
(it will never take effect) or ``UNKNOWN`` (it may still take effect). A caller that
retries after ``UNKNOWN`` uses the same id in the payload, and the state machine ignores
an id that it has already applied.

First start of a deployment: ``folder.create(replica_id, first_membership)`` with the
same membership at each initial replica. This is allowed only when all initial replicas
are known to have empty folders. A replica whose folder was emptied later must use a
new id from :func:`make_replica_id`, or it could vote twice in one term.

Admission: a replica sends ``JoinRequest`` to the leader, which lists it in
``core.pending_joins``. ``core.admit`` adds it as a learner, and the leader promotes
it to voter once it has caught up. The task of the joining replica handles the
``JoinReply``; the core does not accept this message.
"""
