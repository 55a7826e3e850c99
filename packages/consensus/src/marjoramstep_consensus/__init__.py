"""Replicated log: pure replication core, log and snapshot storage.

How a replica's task puts the parts together::

    folder = DataFolder(OsFileLayer(path), str(path))
    if folder.is_empty:
        folder.create(make_replica_id(process_id))        # then ask to be admitted
    core = ReplicaCore(folder.replica_id, folder.load(), clock, rng)
    driver = ReplicaDriver(core, StateMachineCalls(apply, restore, snapshot), 10_000)

The state machine is restored from the loaded snapshot before the driver is made, when
the snapshot's ``last_index`` is not 0. Each input then returns a :class:`Work`:

- ``driver.handle(core.tick())`` at ``core.next_wakeup_ms()`` or more often;
- ``driver.handle(core.receive(peer_id, message))`` for each replication message, with
  the id that the peer proved in its handshake;
- ``driver.propose([(token, payload), ...])`` for all proposals that have gathered;
- ``read_id, effects = core.request_read()`` and ``driver.handle(effects)`` for reads.

The task sends ``work.sends`` at once. It gives ``work.write`` to ``folder.persist`` in
a thread, because this blocks on the disk, and then calls
``driver.handle(core.on_synced(write.index))``. At most one write is outstanding. The
core itself is not safe for threads; it belongs to the event loop. When ``persist``
raises, the write must not be reported as synced: try a full disk again, and stop the
process on any other error.

A proposal ends as ``APPLIED`` with the state machine's result, ``LOST`` (it never takes
effect) or ``UNKNOWN`` (it may still take effect). A caller that proposes again after
``UNKNOWN`` uses the same id in the payload, and the state machine applies an id once.

First start of a deployment: ``folder.create(replica_id, first_membership)`` with the
same membership at each initial replica. This is allowed only when all initial replicas
are known to have empty folders. A replica whose folder was emptied later must take a
new id from :func:`make_replica_id`, or it could vote twice in one term.

Admission: a replica sends ``JoinRequest`` to the leader, which lists it in
``core.waiting_replicas``. The operator's ``admit`` makes it a learner, and it becomes a
voter by itself once it has caught up. The task of the replica that joins handles the
``JoinReply``; the core does not take it.
"""
