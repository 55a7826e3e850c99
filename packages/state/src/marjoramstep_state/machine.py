"""State machine that applies the replicated log."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import orjson
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import LogIndex
from marjoramstep_core.table.diff import diff_tables

from .audit import AuditTrail
from .claims.store import ClaimStore
from .commands import AdvanceTime
from .commands import Claim
from .commands import EndClaim
from .commands import LookUpClaim
from .commands import RecordReplicaChange
from .commands import ReportCrash
from .commands import decode_command
from .edit_commands import EditTable
from .edit_commands import ReplaceTable
from .edit_store import EditStore
from .errors import InvalidCommandError
from .errors import InvalidSnapshotError
from .fields import Fields
from .limits import StateLimits
from .quarantine import CrashQuarantine
from .results import AdvanceResult
from .results import ApplyResult
from .results import EditResult
from .results import EditVerdict
from .results import ReplicaChangeResult
from .snapshot_encoder import SnapshotEncoder


if TYPE_CHECKING:
    from marjoramstep_core.ids import EditKey
    from marjoramstep_core.ids import RequestKey
    from marjoramstep_core.ids import TableVersion
    from marjoramstep_core.table import Table

    from .audit import AuditEntry
    from .audit import AuditFilter
    from .audit import AuditInconsistency
    from .command import Command
    from .quarantine import QuarantineEntry
    from .results import ClaimResult
    from .results import CommandResult

SNAPSHOT_FORMAT = 1

# An audit entry with the cells of more rows would take tens of megabytes. It names the
# rows and has the digest of the new content as its edit key.
AUDITED_ROWS_LIMIT = 2_500


class StateMachine:
    """Table, claims, quarantine and audit trail.

    It is deterministic: its state depends only on the applied entries. It has no
    clock; time comes from the entries.

    :param limits: limits of the state, equal on all replicas
    """

    def __init__(self, limits: StateLimits | None = None) -> None:
        self._limits = limits or StateLimits()
        self._applied_index = LogIndex(0)
        self._watermark_ms = 0
        self._invalid_count = 0
        self._edits = EditStore(self._limits)
        self._claims = ClaimStore(self._limits)
        self._quarantine = CrashQuarantine(self._limits)
        self._audit = AuditTrail(self._limits)

    @property
    def applied_index(self) -> LogIndex:
        """Index of the last applied entry; 0 if there is none."""
        return self._applied_index

    @property
    def watermark_ms(self) -> int:
        """Highest applied log time in Unix milliseconds; never decreases."""
        return self._watermark_ms

    @property
    def invalid_count(self) -> int:
        """Number of applied entries whose payload was not a valid command."""
        return self._invalid_count

    @property
    def claim_count(self) -> int:
        """Number of records of request keys."""
        return len(self._claims)

    @property
    def answers_bytes(self) -> int:
        """Size of all stored answers in bytes."""
        return self._claims.answers_bytes

    @property
    def table(self) -> Table:
        """The current table."""
        return self._edits.table

    @property
    def revision(self) -> int:
        """Revision of the last accepted table replacement; 0 if there is none."""
        return self._edits.revision

    @property
    def source(self) -> str:
        """Source of the last accepted replacement; empty if there is none."""
        return self._edits.source

    def table_version(self, version: TableVersion) -> Table | None:
        """Return a recent version of the table.

        :param version: the version
        :return: the table, ``None`` if the version is not retained or does not exist
        """
        return self._edits.table_at(version)

    def find_edit_result(self, edit_key: EditKey) -> EditResult | None:
        """Return the first result of an edit key.

        :param edit_key: the key
        :return: the result, ``None`` if the key is unknown or expired
        """
        return self._edits.find_result(edit_key, self._watermark_ms)

    def look_up_claim(self, key: RequestKey) -> ClaimResult:
        """Return the state of a request key without a log entry.

        :param key: the key
        :return: the state as of the last applied entry
        """
        return self._claims.look_up(key, self._watermark_ms)

    def quarantined(self) -> list[QuarantineEntry]:
        """Return the quarantined fingerprints at the current log time.

        :return: entries ordered by service and fingerprint
        """
        return self._quarantine.entries(self._watermark_ms)

    def audit_entries(
        self, after: int = 0, limit: int = 100, audit_filter: AuditFilter | None = None
    ) -> list[AuditEntry]:
        """Return entries of the audit trail in order.

        :param after: return only entries with a higher sequence number
        :param limit: maximum number of entries
        :param audit_filter: selects the entries; all by default
        :return: the entries
        """
        return self._audit.entries(after, limit, audit_filter)

    def verify_audit(self) -> AuditInconsistency | None:
        """Verify the retained entries of the audit trail.

        :return: the first inconsistency, ``None`` if there is none
        """
        return self._audit.verify()

    def apply(self, index: LogIndex, payload: bytes) -> ApplyResult:
        """Apply a committed entry.

        A payload that is not a valid command changes only the applied index and a
        counter, so that an entry from a faulty leader does not stop all replicas.

        :param index: index of the entry, higher than that of the last applied entry
        :param payload: the command as JSON
        :return: the result, or why the payload is not valid
        :raises ValueError: if the index is not higher than that of the last applied
            entry
        """
        if index <= self._applied_index:
            raise ValueError(f"entry {index} applied after {self._applied_index}")
        self._applied_index = index
        try:
            command = decode_command(payload)
        except InvalidCommandError as error:
            self._invalid_count += 1
            return ApplyResult(index, fault=error.message)
        self._watermark_ms = max(self._watermark_ms, command.log_time_ms)
        result = self._dispatch(command)
        self._edits.prune(self._watermark_ms)
        self._claims.prune(self._watermark_ms)
        self._quarantine.prune(self._watermark_ms)
        return ApplyResult(index, result)

    def _dispatch(self, command: Command) -> CommandResult:
        if isinstance(command, (Claim, EndClaim, LookUpClaim)):
            return self._claims.apply(command, self._watermark_ms)
        if isinstance(command, EditTable):
            return self._apply_edit(command)
        if isinstance(command, ReplaceTable):
            return self._replace_table(command)
        if isinstance(command, ReportCrash):
            return self._quarantine.apply(command, self._watermark_ms)
        if isinstance(command, RecordReplicaChange):
            return self._record_replica_change(command)
        if isinstance(command, AdvanceTime):
            return AdvanceResult(self._watermark_ms)
        raise TypeError(f"no handler for command {command.kind!r}")

    def _apply_edit(self, command: EditTable) -> EditResult:
        before_table = self._edits.table
        result, repeated = self._edits.apply(command, self._watermark_ms)
        if repeated:
            return result
        refused: dict[str, Any] = {
            "base_version": command.base_version,
            "refused": [operation.to_json() for operation in command.operations],
        }
        self._audit_edit(command, before_table, result, refused)
        return result

    def _replace_table(self, command: ReplaceTable) -> EditResult:
        before_table = self._edits.table
        result, repeated = self._edits.replace(command, self._watermark_ms)
        if not repeated:
            refused = {
                "base_revision": command.base_revision,
                "revision": command.revision,
            }
            self._audit_edit(command, before_table, result, refused)
        return result

    def _audit_edit(
        self,
        command: EditTable | ReplaceTable,
        before_table: Table,
        result: EditResult,
        refused: dict[str, Any],
    ) -> None:
        before: dict[str, Any] = {"version": before_table.version}
        after: dict[str, Any] = {"version": result.version}
        if result.verdict is EditVerdict.ACCEPTED:
            _add_changes(before, after, before_table, self._edits.table)
        else:
            after |= refused
            after["faults"] = result.to_json()["faults"]
            after["winner"] = result.to_json()["winner"]
        after["edit_key"] = command.edit_key
        self._audit.append(
            time_ms=self._watermark_ms,
            operator=command.operator,
            origin=command.origin,
            kind="edit",
            verdict=result.verdict.value,
            before=before,
            after=after,
        )

    def _record_replica_change(
        self, command: RecordReplicaChange
    ) -> ReplicaChangeResult:
        after: dict[str, Any] = {
            "replicas": list(command.after),
            "action": command.action.value,
            "replica_id": command.replica_id,
            "detail": command.detail,
        }
        entry = self._audit.append(
            time_ms=self._watermark_ms,
            operator=command.operator,
            origin=command.origin,
            kind="replica",
            verdict=command.verdict.value,
            before={"replicas": list(command.before)},
            after=after,
        )
        return ReplicaChangeResult(entry.sequence)

    def begin_snapshot(self) -> SnapshotEncoder:
        """Begin an incremental snapshot of the current state.

        Commands may be applied between its steps. A snapshot begun earlier, or before
        :meth:`restore`, must not be continued.

        :return: the encoder of the snapshot
        """
        audit_head, audit_entries = self._audit.snapshot_parts()
        head = {
            "format": SNAPSHOT_FORMAT,
            "applied_index": self._applied_index,
            "watermark_ms": self._watermark_ms,
            "invalid_count": self._invalid_count,
            "edits": self._edits.to_json(),
            "quarantine": self._quarantine.to_json(),
        }
        claims = self._claims.begin_encoding()
        return SnapshotEncoder(
            self._applied_index, head, claims, audit_head, audit_entries
        )

    def end_snapshot(self) -> None:
        """End the snapshot, complete or not."""
        self._claims.end_encoding()

    def snapshot(self) -> bytes:
        """Encode the whole state at once; equal states give equal bytes.

        :return: the snapshot as JSON
        """
        encoder = self.begin_snapshot()
        while (data := encoder.step()) is None:
            pass
        self.end_snapshot()
        return data

    def restore(self, data: bytes) -> None:
        """Replace the whole state; an error leaves the state unchanged.

        :param data: as returned by :meth:`snapshot`
        :raises InvalidSnapshotError: if the data is damaged or has another format
        """
        try:
            document = orjson.loads(data)
            fields = Fields(document)
            if fields.integer("format") != SNAPSHOT_FORMAT:
                raise InvalidSnapshotError(f"expected format {SNAPSHOT_FORMAT}")
            applied_index = LogIndex(fields.integer("applied_index"))
            watermark_ms = fields.integer("watermark_ms")
            invalid_count = fields.integer("invalid_count")
            edits = EditStore.from_json(document["edits"], self._limits)
            claims = ClaimStore.from_json(document["claims"], self._limits)
            quarantine = CrashQuarantine.from_json(document["quarantine"], self._limits)
            audit = AuditTrail.from_json(document["audit"], self._limits)
        except InvalidSnapshotError:
            raise
        except (
            InvalidInputError,
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
        ) as error:
            detail = str(error)[:200]
            raise InvalidSnapshotError(f"damaged snapshot: {detail}") from error
        self._applied_index = applied_index
        self._watermark_ms = watermark_ms
        self._invalid_count = invalid_count
        self._edits, self._claims = edits, claims
        self._quarantine, self._audit = quarantine, audit


def _add_changes(
    before: dict[str, Any], after: dict[str, Any], old: Table, new: Table
) -> None:
    """Add the changed cells to an audit entry, or the changed rows if they are many."""
    names = old.rows.keys() | new.rows.keys()
    changed = sorted(name for name in names if old.rows.get(name) != new.rows.get(name))
    if len(changed) > AUDITED_ROWS_LIMIT:
        before["rows"] = [name for name in changed if name in old.rows]
        after["rows"] = [name for name in changed if name in new.rows]
        return
    changes = diff_tables(old, new)
    before["cells"] = [[c.row, c.column, c.before] for c in changes]
    after["cells"] = [[c.row, c.column, c.after] for c in changes]
