"""Durable state of a replica, stored in one folder."""

from __future__ import annotations

import contextlib
import errno
import json
import secrets
import struct
import zlib
from typing import TYPE_CHECKING
from typing import NoReturn

from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.ids import ReplicaId

from .entry import Snapshot
from .membership import Membership
from .records import Record
from .records import decode_records
from .records import encode_record
from .records import highest_commit_index
from .records import replay_records
from .replica_log import EMPTY_SNAPSHOT
from .replica_state import StoredState
from .storage_errors import DiskFullError
from .storage_errors import FolderLockedError
from .storage_errors import FolderReadOnlyError
from .storage_errors import IdentityExistsError
from .storage_errors import StorageError
from .storage_errors import StoredDataDamagedError


if TYPE_CHECKING:
    from collections.abc import Iterator

    from .effects import Persist
    from .file_storage import FileStorage

LOCK_NAME = "lock"
IDENTITY_NAME = "identity.json"
LOG_NAME = "log"
SNAPSHOT_NAME = "snapshot"
TEMPORARY_SUFFIX = ".tmp"
FORMAT_VERSION = 1
ID_SUFFIX_BYTES = 6
_SNAPSHOT_HEADER = struct.Struct("!4sIqqI")
_SNAPSHOT_MAGIC = b"MSSN"
_READ_ONLY_ERRORS = frozenset({errno.EROFS, errno.EACCES, errno.EPERM})
_FULL_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT})


def make_replica_id(name: str) -> ReplicaId:
    """Return a new, globally unique replica id.

    :param name: readable prefix of the id, such as the configured process id
    :return: the name with a random suffix
    """
    return ReplicaId(f"{name}-{secrets.token_hex(ID_SUFFIX_BYTES)}")


class DataFolder:
    """Identity, vote, log and snapshot of one replica.

    An empty folder has no identity. :meth:`create` assigns one, which must be new
    (:func:`make_replica_id`): a replica that lost its data must not vote under its old
    identity. The first membership is passed only at the first start of a deployment,
    and only if every initial replica is known to have an empty folder.

    Usage: open, ``create`` if :attr:`is_empty`, :meth:`load` once, then :meth:`persist`
    for each ``Persist`` effect. The methods block on disk I/O.

    :param files: file operations
    :param folder_path: path of the folder, for error messages
    :raises FolderLockedError: if another process uses the folder
    :raises FolderReadOnlyError: if the folder is not writable
    :raises StoredDataDamagedError: if there is data but no identity
    """

    def __init__(self, files: FileStorage, folder_path: str) -> None:
        self._files = files
        self._folder_path = folder_path
        self._identity: tuple[ReplicaId, Membership] | None = None
        self._log_bytes = 0
        self._log_records = 0
        # Set before an operation whose failure would leave the durable state unknown;
        # cleared only if it succeeds.
        self._is_state_unknown = False
        self.truncated_bytes = 0
        with self._convert_errors("lock data folder"):
            try:
                files.lock(LOCK_NAME)
            except BlockingIOError as error:
                raise FolderLockedError(
                    "another process uses the data folder",
                    step="lock data folder",
                    peer=folder_path,
                ) from error
        try:
            self._read_identity()
        except BaseException:
            files.close()
            raise

    @property
    def is_empty(self) -> bool:
        """Return whether the folder has no identity yet."""
        return self._identity is None

    @property
    def replica_id(self) -> ReplicaId:
        """Return the identity.

        :raises StorageError: if the folder is empty
        """
        return self._require_identity()[0]

    def create(
        self, replica_id: ReplicaId, first_membership: Membership | None = None
    ) -> None:
        """Assign an identity to an empty folder.

        :param replica_id: a new id
        :param first_membership: initial voters of a new deployment; the same at each
            initial replica
        :raises IdentityExistsError: if the folder already has an identity
        """
        if self._identity is not None:
            raise IdentityExistsError(
                f"the folder belongs to {self._identity[0]}",
                step="create identity",
                peer=self._folder_path,
            )
        membership = first_membership or Membership()
        document = {
            "format_version": FORMAT_VERSION,
            "replica_id": replica_id,
            "first_membership": membership.to_bytes().decode(),
        }
        with self._convert_errors("create identity"):
            # The log is written first: a folder with an identity then always has a log,
            # so that a missing log is detected.
            self._write_durably(LOG_NAME, encode_record(0, Record(0, None, (), 0)))
            self._write_durably(IDENTITY_NAME, json.dumps(document).encode())
        self._identity = (replica_id, membership)

    def load(self) -> StoredState:
        """Read vote, log and snapshot; truncate a torn last record.

        :attr:`truncated_bytes` is then the number of bytes removed; they were never
        reported as durable.

        :return: the stored state
        :raises StoredDataDamagedError: if data is corrupt or a file is missing
        """
        _, first_membership = self._require_identity()
        with self._convert_errors("load data folder"):
            names = self._files.names()
            snapshot = EMPTY_SNAPSHOT
            if SNAPSHOT_NAME in names:
                snapshot = self._decode_snapshot(self._files.read(SNAPSHOT_NAME))
            elif first_membership.voters:
                snapshot = Snapshot(0, 0, 0, first_membership, b"")
            data = self._files.read(LOG_NAME) if LOG_NAME in names else b""
            records, end = decode_records(data, self._folder_path)
            if not records:
                raise self._corrupt("the log is missing or contains no complete record")
            if end < len(data):
                self._files.truncate(LOG_NAME, end)
                self._files.sync(LOG_NAME)
        self.truncated_bytes = len(data) - end
        self._log_bytes, self._log_records = end, len(records)
        index, term = snapshot.last_index, snapshot.last_term
        entries = replay_records(records, index, term, self._folder_path)
        last = records[-1]
        commit_index = highest_commit_index(records)
        if any(entry.index <= index for r in records for entry in r.entries):
            # The process crashed between storing the snapshot and replacing the log.
            # A record that is appended to the old log might not follow its last entry.
            with self._convert_errors("compact log"):
                self._replace_log(
                    Record(last.term, last.voted_for, entries, commit_index)
                )
        return StoredState(last.term, last.voted_for, snapshot, entries, commit_index)

    def persist(self, write: Persist) -> None:
        """Make a write durable.

        After an error the write must not be reported as synced; it may still be found
        when the folder is reopened after a failed sync. If the partial write could be
        rolled back, as is usual on a full disk, the same write may be retried.
        Otherwise each further call raises until the folder is reopened.

        :param write: the effect
        :raises DiskFullError: if the disk is full
        :raises FolderReadOnlyError: if the folder is not writable
        :raises StorageError: if the write fails for another reason
        """
        if self._is_state_unknown:
            raise StorageError(
                "an earlier write failed, so the durable state is unknown; restart the"
                " process",
                step="persist",
                peer=self._folder_path,
            )
        record = Record(write.term, write.voted_for, write.entries, write.commit_index)
        if write.snapshot is not None:
            self._store_snapshot(write.snapshot, record, reset_log=write.reset_log)
        else:
            self._append(record)

    def close(self) -> None:
        """Close the files and release the lock."""
        self._files.close()

    def _append(self, record: Record) -> None:
        data = encode_record(self._log_records, record)
        with self._convert_errors("append to log"):
            try:
                self._files.append(LOG_NAME, data)
            except OSError:
                # The data may be partly written. Later records must not follow it.
                self._is_state_unknown = True
                self._files.truncate(LOG_NAME, self._log_bytes)
                self._is_state_unknown = False
                raise
        self._sync_log()
        self._log_bytes += len(data)
        self._log_records += 1

    def _sync_log(self) -> None:
        # After a failed sync the kernel may have discarded the dirty pages, so a later
        # sync that succeeds does not prove that the data is durable.
        self._is_state_unknown = True
        with self._convert_errors("sync log"):
            self._files.sync(LOG_NAME)
        self._is_state_unknown = False

    def _store_snapshot(
        self, snapshot: Snapshot, record: Record, *, reset_log: bool
    ) -> None:
        """Store a snapshot, then replace the log with one that starts after it.

        :param snapshot: the snapshot
        :param record: term, vote and entries of the write
        :param reset_log: drop all stored entries; otherwise those after the snapshot
            are kept
        """
        with self._convert_errors("store snapshot"):
            new_records: tuple[Record, ...] = (record,)
            if not reset_log:
                old, _ = decode_records(self._files.read(LOG_NAME), self._folder_path)
                new_records = (*old, record)
            index, term = snapshot.last_index, snapshot.last_term
            entries = replay_records(new_records, index, term, self._folder_path)
            self._write_durably(SNAPSHOT_NAME, self._encode_snapshot(snapshot))
            commit_index = highest_commit_index(new_records)
            self._replace_log(
                Record(record.term, record.voted_for, entries, commit_index)
            )

    def _replace_log(self, record: Record) -> None:
        data = encode_record(0, record)
        self._write_durably(LOG_NAME, data)
        self._log_bytes, self._log_records = len(data), 1

    def _write_durably(self, name: str, data: bytes) -> None:
        """Replace a file atomically: a crash leaves the old or the new content."""
        temporary = name + TEMPORARY_SUFFIX
        try:
            self._files.write(temporary, data)
        except OSError:
            with contextlib.suppress(OSError):
                self._files.remove(temporary)
            raise
        self._is_state_unknown = True
        self._files.sync(temporary)
        self._files.replace(temporary, name)
        self._files.sync_folder()
        self._is_state_unknown = False

    def _read_identity(self) -> None:
        with self._convert_errors("read identity"):
            names = self._files.names()
            if IDENTITY_NAME in names:
                self._identity = self._decode_identity(self._files.read(IDENTITY_NAME))
                return
            has_data = SNAPSHOT_NAME in names
            if LOG_NAME in names:
                records, _ = decode_records(
                    self._files.read(LOG_NAME), self._folder_path
                )
                has_data = has_data or any(r.term or r.entries for r in records)
        if has_data:
            raise self._corrupt("there is a log or a snapshot but no identity")

    def _decode_identity(self, data: bytes) -> tuple[ReplicaId, Membership]:
        try:
            document = json.loads(data)
            if document["format_version"] != FORMAT_VERSION:
                raise ValueError(f"format version {document['format_version']}")
            encoded = document["first_membership"].encode()
            membership, _ = Membership.from_bytes(encoded, self._folder_path)
            return ReplicaId(str(document["replica_id"])), membership
        except (
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
            MarjoramstepError,
        ) as error:
            raise self._corrupt(f"{IDENTITY_NAME} is not valid: {error}") from error

    def _encode_snapshot(self, snapshot: Snapshot) -> bytes:
        membership = snapshot.membership.to_bytes(snapshot.time_ms)
        body = membership + snapshot.data
        size = len(membership)
        index, term = snapshot.last_index, snapshot.last_term
        # The checksum covers the header fields as well as the body.
        fields = _SNAPSHOT_HEADER.pack(_SNAPSHOT_MAGIC, 0, index, term, size)
        crc = zlib.crc32(body, zlib.crc32(fields))
        return _SNAPSHOT_HEADER.pack(_SNAPSHOT_MAGIC, crc, index, term, size) + body

    def _decode_snapshot(self, data: bytes) -> Snapshot:
        if len(data) < _SNAPSHOT_HEADER.size:
            raise self._corrupt("the snapshot is shorter than its header")
        magic, crc, index, term, size = _SNAPSHOT_HEADER.unpack_from(data)
        body = data[_SNAPSHOT_HEADER.size :]
        fields = _SNAPSHOT_HEADER.pack(magic, 0, index, term, size)
        if magic != _SNAPSHOT_MAGIC or zlib.crc32(body, zlib.crc32(fields)) != crc:
            raise self._corrupt("the snapshot checksum does not match")
        membership, time_ms = Membership.from_bytes(body[:size], self._folder_path)
        return Snapshot(index, term, time_ms, membership, body[size:])

    def _require_identity(self) -> tuple[ReplicaId, Membership]:
        if self._identity is None:
            raise StorageError(
                "the data folder has no identity; call create first",
                step="read identity",
                peer=self._folder_path,
            )
        return self._identity

    def _corrupt(self, message: str) -> StoredDataDamagedError:
        return StoredDataDamagedError(
            f"{message}; remove this replica from the deployment, move its data folder"
            " away and admit a new one",
            step="read data folder",
            peer=self._folder_path,
        )

    @contextlib.contextmanager
    def _convert_errors(self, step: str) -> Iterator[None]:
        try:
            yield
        except OSError as error:
            self._raise_storage_error(step, error)

    def _raise_storage_error(self, step: str, error: OSError) -> NoReturn:
        cause = error.strerror or str(error)
        if error.errno in _FULL_ERRORS:
            raise DiskFullError(
                f"the disk is full: {cause}", step=step, peer=self._folder_path
            ) from error
        if error.errno in _READ_ONLY_ERRORS:
            raise FolderReadOnlyError(
                f"the data folder cannot be written: {cause}",
                step=step,
                peer=self._folder_path,
            ) from error
        raise StorageError(
            f"file operation failed: {cause}", step=step, peer=self._folder_path
        ) from error
