"""Steps for the data folder."""

from __future__ import annotations

import errno
import tempfile
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_consensus import storage_errors
from marjoramstep_consensus.data_folder import DataFolder
from marjoramstep_consensus.data_folder import make_replica_id
from marjoramstep_consensus.effects import Persist
from marjoramstep_consensus.entry import Entry
from marjoramstep_consensus.entry import EntryKind
from marjoramstep_consensus.entry import Snapshot
from marjoramstep_consensus.file_storage import FileStorage
from marjoramstep_consensus.file_storage import LocalFileStorage
from marjoramstep_consensus.membership import Membership
from marjoramstep_consensus.records import Record
from marjoramstep_consensus.records import encode_record
from marjoramstep_core.ids import ReplicaId
from support.consensus_disk import MemoryDisk
from support.consensus_disk import SimulatedCrashError


if TYPE_CHECKING:
    from marjoramstep_consensus.replica_state import StoredState


REPLICA_ID = ReplicaId("r1")
MEMBERSHIP = Membership({REPLICA_ID: "127.0.0.1:1", ReplicaId("r2"): "127.0.0.1:2"})


def _entry(index: int, term: int = 3) -> Entry:
    return Entry(index, term, EntryKind.NORMAL, 1_000 + index, b"value %d" % index)


def _write(first: int, last: int, term: int = 3) -> Persist:
    entries = tuple(_entry(index, term) for index in range(first, last + 1))
    return Persist(1, term, ReplicaId("r2"), entries, commit_index=first - 1)


def _snapshot_write(index: int, *, reset_log: bool) -> Persist:
    snapshot = Snapshot(index, 3, 1_000 + index, MEMBERSHIP, b"state" * 40)
    return Persist(1, 3, ReplicaId("r2"), (), snapshot, reset_log, commit_index=index)


def _load(disk: MemoryDisk) -> tuple[DataFolder, StoredState]:
    folder = DataFolder(disk, "memory")
    return folder, folder.load()


def _fill(folder: DataFolder, count: int) -> None:
    folder.create(REPLICA_ID, MEMBERSHIP)
    folder.load()
    for index in range(1, count + 1):
        folder.persist(_write(index, index))


@given("a data folder on disk that stored {count:d} entries and a snapshot at {at:d}")
def step_on_disk(context: Any, count: int, at: int) -> None:
    context.path = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    context.folder = DataFolder(LocalFileStorage(context.path), "disk")
    context.stack.callback(lambda: context.folder.close())
    _fill(context.folder, count)
    context.folder.persist(_snapshot_write(at, reset_log=False))


@when("the data folder on disk is opened again")
def step_reopen(context: Any) -> None:
    context.folder.close()
    context.folder = DataFolder(LocalFileStorage(context.path), "disk")
    context.stored = context.folder.load()


@then(
    "the data folder holds entries {first:d} to {last:d} after the snapshot at {at:d}"
)
def step_holds(context: Any, first: int, last: int, at: int) -> None:
    snapshot = _snapshot_write(at, reset_log=False).snapshot
    assert context.stored.snapshot == snapshot
    assert context.stored.entries == _write(first, last).entries


@then("the data folder keeps the identity, the term and the vote")
def step_keeps(context: Any) -> None:
    assert context.folder.replica_id == REPLICA_ID
    assert (context.stored.term, context.stored.voted_for) == (3, "r2")


@then("the data folder knows that entries up to {index:d} are committed")
def step_commit_index(context: Any, index: int) -> None:
    assert context.stored.commit_index == index, context.stored.commit_index


@given("a data folder in memory whose {count:d} records have no commit index")
def step_without_commit_index(context: Any, count: int) -> None:
    context.disk = MemoryDisk()
    folder = DataFolder(context.disk, "memory")
    folder.create(REPLICA_ID, MEMBERSHIP)
    records = [
        Record(3, None, _write(index, index).entries, None)
        for index in range(1, count + 1)
    ]
    data = b"".join(encode_record(number, r) for number, r in enumerate(records))
    context.disk.write("log", data)


@then("the data folder in memory loads {count:d} entries and knows of no commit")
def step_no_commit(context: Any, count: int) -> None:
    folder = DataFolder(context.disk, "memory")
    stored = folder.load()
    assert (len(stored.entries), stored.commit_index) == (count, 0)


def _open_fails(files: FileStorage, error: str) -> None:
    try:
        DataFolder(files, "label").load()
    except storage_errors.StorageError as raised:
        assert type(raised).__name__ == error, raised
        assert raised.peer == "label"
        return
    raise AssertionError("the folder was accepted")


@then('opening the data folder a second time fails with "{error}"')
def step_twice(context: Any, error: str) -> None:
    _open_fails(LocalFileStorage(context.path), error)


@then('opening the log file as a data folder fails with "{error}"')
def step_not_folder(context: Any, error: str) -> None:
    _open_fails(LocalFileStorage(context.path / "log"), error)


@given("a data folder in memory that stored {count:d} entries")
def step_in_memory(context: Any, count: int) -> None:
    context.disk = MemoryDisk()
    context.folder = DataFolder(context.disk, "memory")
    _fill(context.folder, count)
    context.count = count


@when("entries {first:d} to {last:d} of a later term are stored in the data folder")
def step_replace(context: Any, first: int, last: int) -> None:
    context.folder.persist(_write(first, last, term=4))


@then(
    "the data folder loads entries 1 to {last:d} and the last {count:d} are of the"
    " later term"
)
def step_replaced(context: Any, last: int, count: int) -> None:
    terms = [(e.index, e.term) for e in _load(context.disk)[1].entries]
    expected = [(i, 4 if i > last - count else 3) for i in range(1, last + 1)]
    assert terms == expected, terms


def _last_record_start(disk: MemoryDisk) -> int:
    return disk.read("log").rindex(b"MSLG")


@then("truncating or corrupting the last record at any byte loses only that record")
def step_torn(context: Any) -> None:
    data = context.disk.read("log")
    start = _last_record_start(context.disk)
    assert start < len(data)
    for position in range(start, len(data)):
        flipped = bytearray(data)
        flipped[position] ^= 1
        for content in (data[:position], bytes(flipped)):
            disk = context.disk.copy()
            disk.write("log", content)
            folder, stored = _load(disk)
            assert stored.entries == _write(1, context.count - 1).entries
            assert folder.truncated_bytes == len(content) - start
            folder.persist(_write(context.count, context.count))
            assert _load(disk)[1].entries == _write(1, context.count).entries


@then(
    "corrupting any byte before the last record fails with an error naming the remedy"
)
def step_damaged(context: Any) -> None:
    data = context.disk.read("log")
    for position in range(_last_record_start(context.disk)):
        flipped = bytearray(data)
        flipped[position] ^= 1
        disk = context.disk.copy()
        disk.write("log", bytes(flipped))
        try:
            _load(disk)
        except storage_errors.StoredDataDamagedError as error:
            assert "admit a new one" in str(error)
            assert disk.read("log") == bytes(flipped)
        else:
            raise AssertionError(f"damage at byte {position} was not detected")


def _check_usable(disk: MemoryDisk) -> StoredState:
    """Load after a crash, and check that a further write is loaded too."""
    folder, stored = _load(disk)
    next_index = stored.snapshot.last_index + len(stored.entries) + 1
    folder.persist(_write(next_index, next_index))
    assert _load(disk)[1].entries == (*stored.entries, _entry(next_index))
    return stored


def _crash_at_each_step(context: Any, write: Persist) -> list[StoredState]:
    """Crash before each step of a write, and return the state after each restart."""
    reference = context.disk.copy()
    folder, _ = _load(reference)
    reference.operations.clear()
    folder.persist(write)
    states = [_load(reference)[1]]
    for steps in range(len(reference.operations)):
        disk = context.disk.copy()
        folder, _ = _load(disk)
        disk.operations_left = steps
        try:
            folder.persist(write)
        except SimulatedCrashError:
            disk.lose_unsynced(Random(steps))
            states.append(_check_usable(disk))
    assert len(states) == len(reference.operations) + 1 > 6
    return states


@then(
    "a crash at any step of storing a snapshot at {at:d} leaves all {count:d} entries"
)
def step_crash_store(context: Any, at: int, count: int) -> None:
    for stored in _crash_at_each_step(context, _snapshot_write(at, reset_log=False)):
        first = stored.snapshot.last_index + 1
        assert first in (1, at + 1)
        assert stored.entries == _write(first, count).entries
        assert (stored.term, stored.voted_for) == (3, "r2")


@then(
    "a crash at any step of installing a snapshot at {at:d} leaves {count:d} or"
    " {other:d} entries"
)
def step_crash_install(context: Any, at: int, count: int, other: int) -> None:
    for stored in _crash_at_each_step(context, _snapshot_write(at, reset_log=True)):
        found = (stored.snapshot.last_index, len(stored.entries))
        assert found in ((0, count), (other, 0)), found


@when('storing in the data folder fails with "{cause}"')
def step_fail(context: Any, cause: str) -> None:
    code = getattr(errno, cause)
    name = "sync_error" if cause == "EIO" else "append_error"
    setattr(context.disk, name, code)
    context.error = None
    try:
        context.folder.persist(_write(context.count + 1, context.count + 1))
    except storage_errors.StorageError as error:
        context.error = error
    setattr(context.disk, name, None)


@then('the data folder raises "{error}"')
def step_raised(context: Any, error: str) -> None:
    assert type(context.error).__name__ == error, context.error
    assert context.error.peer == "memory"


@then('after "{cause}" the data folder stores the entry again')
def step_again(context: Any, cause: str) -> None:
    assert _load(context.disk.copy())[1].entries == _write(1, context.count).entries
    context.folder.persist(_write(context.count + 1, context.count + 1))
    assert _load(context.disk)[1].entries == _write(1, context.count + 1).entries


@then('after "{cause}" the data folder refuses until reopened')
def step_refuses(context: Any, cause: str) -> None:
    try:
        context.folder.persist(_write(context.count + 1, context.count + 1))
    except storage_errors.StorageError:
        entries = _load(context.disk)[1].entries
        assert entries[: context.count] == _write(1, context.count).entries
        return
    raise AssertionError("a write after a failed sync was accepted")


@when('the file "{name}" of the data folder is deleted')
def step_delete(context: Any, name: str) -> None:
    context.disk.remove(name)


@then('opening the data folder fails with "{error}"')
def step_open_fails(context: Any, error: str) -> None:
    _open_fails(context.disk, error)


@then("two identities generated for the same name differ")
def step_identities(context: Any) -> None:
    assert make_replica_id("r") != make_replica_id("r")


@then("a data folder with an identity refuses a second one")
def step_one_identity(context: Any) -> None:
    folder = DataFolder(MemoryDisk(), "memory")
    assert folder.is_empty
    folder.create(REPLICA_ID)
    try:
        folder.create(ReplicaId("r9"))
    except storage_errors.IdentityExistsError:
        assert folder.replica_id == REPLICA_ID
        return
    raise AssertionError("a second identity was accepted")
