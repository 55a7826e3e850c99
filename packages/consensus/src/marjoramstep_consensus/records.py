"""Encoding of the log file: one record for each durable write.

A record is a header and a body. The header holds the body's length, the record's
number, the body's CRC-32 and a CRC-32 of the header itself. Only one write is in
progress at a time, so a crash corrupts at most the last record.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from marjoramstep_core.ids import ReplicaId

from .entry import Entry
from .entry import EntryKind
from .storage_errors import StoredDataDamagedError


if TYPE_CHECKING:
    from collections.abc import Sequence

_MAGIC = b"MSLG"
_HEADER = struct.Struct("!4sQQI")
_HEADER_CRC = struct.Struct("!I")
_HEADER_BYTES = _HEADER.size + _HEADER_CRC.size
_BODY = struct.Struct("!qHI")
_ENTRY = struct.Struct("!qqqBI")
# Follows the entries. Records of earlier versions end without it.
_COMMIT_INDEX = struct.Struct("!q")
_KINDS = (EntryKind.NORMAL, EntryKind.MEMBERSHIP, EntryKind.NOOP)


@dataclass(frozen=True)
class Record:
    """One durable write.

    :param term: current term
    :param voted_for: candidate voted for in that term, if any
    :param entries: entries that replace stored ones from the first index on
    :param commit_index: highest index known to be committed, ``None`` in a record of an
        earlier version
    """

    term: int
    voted_for: ReplicaId | None
    entries: tuple[Entry, ...]
    commit_index: int | None


def encode_record(number: int, record: Record) -> bytes:
    """Encode a record.

    :param number: number of the record in its file, from 0
    :param record: the record
    :return: header and body
    """
    vote = (record.voted_for or "").encode()
    parts = [_BODY.pack(record.term, len(vote), len(record.entries)), vote]
    for entry in record.entries:
        kind = _KINDS.index(entry.kind)
        size = len(entry.payload)
        parts.append(_ENTRY.pack(entry.index, entry.term, entry.time_ms, kind, size))
        parts.append(entry.payload)
    if record.commit_index is not None:
        parts.append(_COMMIT_INDEX.pack(record.commit_index))
    body = b"".join(parts)
    header = _HEADER.pack(_MAGIC, len(body), number, zlib.crc32(body))
    return header + _HEADER_CRC.pack(zlib.crc32(header)) + body


def decode_records(data: bytes, path: str) -> tuple[list[Record], int]:
    """Decode a log file up to its end or up to a torn last record.

    :param data: content of the file
    :param path: path of the data folder, for the error message
    :return: the records, and the offset in bytes after the last complete one
    :raises StoredDataDamagedError: if a record other than the last one is corrupt
    """
    records: list[Record] = []
    offset = 0
    while offset < len(data):
        body = _body_at(data, offset, len(records))
        if body is None:
            _check_is_last(data, offset, len(records), path)
            break
        records.append(_decode_body(body, offset, path))
        offset += _HEADER_BYTES + len(body)
    return records, offset


def _body_at(data: bytes, offset: int, number: int) -> bytes | None:
    """Return the body of a record, or None if it is incomplete or corrupt."""
    header = _header_at(data, offset)
    if header is None or header[1] != number:
        return None
    length, _, crc = header
    start = offset + _HEADER_BYTES
    body = data[start : start + length]
    return body if len(body) == length and zlib.crc32(body) == crc else None


def _header_at(data: bytes, offset: int) -> tuple[int, int, int] | None:
    raw = data[offset : offset + _HEADER.size]
    stored = data[offset + _HEADER.size : offset + _HEADER_BYTES]
    if len(stored) < _HEADER_CRC.size:
        return None
    magic, length, number, crc = _HEADER.unpack(raw)
    if magic != _MAGIC or _HEADER_CRC.unpack(stored)[0] != zlib.crc32(raw):
        return None
    return length, number, crc


def _check_is_last(data: bytes, offset: int, number: int, path: str) -> None:
    """Raise an error if another record follows the corrupt record."""
    header = _header_at(data, offset)
    if header is not None and header[1] == number:
        end = offset + _HEADER_BYTES + header[0]
        if end >= len(data):
            return
        raise _corrupt(number, offset, f"{len(data) - end} bytes follow it", path)
    position = data.find(_MAGIC, offset + 1)
    while position >= 0:
        header = _header_at(data, position)
        if header is not None and header[1] > number:
            raise _corrupt(number, offset, f"record {header[1]} follows it", path)
        position = data.find(_MAGIC, position + 1)


def _corrupt(
    number: int, offset: int, reason: str, path: str
) -> StoredDataDamagedError:
    return StoredDataDamagedError(
        f"record {number} at byte {offset} is corrupt and {reason}; remove this replica"
        " from the deployment, move its data folder away and admit a new one",
        step="read log",
        peer=path,
    )


def _decode_body(body: bytes, offset: int, path: str) -> Record:
    try:
        term, vote_size, count = _BODY.unpack_from(body)
        position = _BODY.size + vote_size
        vote = body[_BODY.size : position].decode()
        entries = []
        for _ in range(count):
            index, entry_term, time_ms, kind, size = _ENTRY.unpack_from(body, position)
            position += _ENTRY.size
            payload = body[position : position + size]
            position += size
            entries.append(Entry(index, entry_term, _KINDS[kind], time_ms, payload))
        commit_index = None
        if position < len(body):
            (commit_index,) = _COMMIT_INDEX.unpack_from(body, position)
    except (struct.error, IndexError, UnicodeDecodeError) as error:
        raise StoredDataDamagedError(
            f"the record at byte {offset} has a valid checksum but invalid content"
            f" ({error}); remove this replica from the deployment, move its data folder"
            " away and admit a new one",
            step="read log",
            peer=path,
        ) from error
    voted_for = ReplicaId(vote) if vote else None
    return Record(term, voted_for, tuple(entries), commit_index)


def replay_records(
    records: Sequence[Record], snapshot_index: int, snapshot_term: int, path: str
) -> tuple[Entry, ...]:
    """Return the log entries that result from replaying a sequence of records.

    :param records: records in order
    :param snapshot_index: index of the stored snapshot; entries up to it are dropped
    :param snapshot_term: term of its last entry; a log that has another term at that
        index predates the snapshot and conflicts with it, so it is dropped entirely
    :param path: path of the data folder, for the error message
    :return: entries directly after the snapshot
    :raises StoredDataDamagedError: if an index is missing
    """
    entries: list[Entry] = []
    for record in records:
        for entry in record.entries:
            if entries and entry.index <= entries[-1].index:
                del entries[max(entry.index - entries[0].index, 0) :]
            if entries and entry.index != entries[-1].index + 1:
                raise _missing_entry(entries[-1].index + 1, entry.index, path)
            entries.append(entry)
    if entries and entries[0].index <= snapshot_index:
        snapshot_offset = snapshot_index - entries[0].index
        if (
            snapshot_offset >= len(entries)
            or entries[snapshot_offset].term != snapshot_term
        ):
            return ()
        del entries[: snapshot_offset + 1]
    if entries and entries[0].index != snapshot_index + 1:
        raise _missing_entry(snapshot_index + 1, entries[0].index, path)
    return tuple(entries)


def highest_commit_index(records: Sequence[Record]) -> int:
    """Return the highest index that any record knows to be committed.

    :param records: the records
    :return: the index, 0 if no record has one
    """
    return max(record.commit_index or 0 for record in records)


def _missing_entry(expected: int, next_index: int, path: str) -> StoredDataDamagedError:
    return StoredDataDamagedError(
        f"log entry {expected} is missing; the next one found is {next_index};"
        " remove this replica from the deployment, move its data folder away and admit"
        " a new one",
        step="read log",
        peer=path,
    )
