"""Results of commands."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_core.ids import EditKey
from marjoramstep_core.ids import OperatorName
from marjoramstep_core.ids import TableVersion
from marjoramstep_core.table.row import CellFault

from .fields import Fields


if TYPE_CHECKING:
    from marjoramstep_core.ids import LogIndex

    from .answer import AnswerRecord


@unique
class EditVerdict(Enum):
    """Outcome of an edit."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    CONFLICT = "conflict"


@unique
class ClaimVerdict(Enum):
    """Outcome of a command on a request key.

    - ``GRANTED``: the attempt holds the key
    - ``RUNNING``: another attempt holds the key, or any attempt if it is looked up
    - ``DONE``: an attempt has completed the request
    - ``ABANDONED``: this attempt, or the last one of a looked-up key, is abandoned
    - ``CLOSED``: the key refuses every later claim
    - ``NONE``: the key has no record
    - ``RECORDED``: the end of the attempt is recorded or needs no record
    - ``NOT_HOLDER``: the attempt holds no claim, or is done and cannot be abandoned
    - ``EXPIRED``: the lifetime of the key has passed
    - ``BAD_KEY``: the key is malformed or was issued too far ahead of the log time
    - ``KEY_REUSED``: the key was used for other content
    - ``UNAVAILABLE``: the key has no record and its partition is full
    """

    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"
    ABANDONED = "abandoned"
    CLOSED = "closed"
    NONE = "none"
    RECORDED = "recorded"
    NOT_HOLDER = "not-holder"
    EXPIRED = "expired"
    BAD_KEY = "bad-key"
    KEY_REUSED = "key-reused"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True)
class EditWinner:
    """The accepted edit that produced a version of the table.

    :param edit_key: key of the edit
    :param operator: operator who made the edit
    :param version: version that the edit produced
    :param time_ms: log time in Unix milliseconds
    """

    edit_key: EditKey
    operator: OperatorName
    version: TableVersion
    time_ms: int

    def to_json(self) -> dict[str, Any]:
        """Encode the fields as JSON values."""
        return dict(vars(self))

    @classmethod
    def from_json(cls, document: Any) -> EditWinner:
        """Decode the winning edit; raises :class:`InvalidCommandError`."""
        fields = Fields(document)
        return cls(
            EditKey(fields.edit_key("edit_key")),
            OperatorName(fields.non_empty_text("operator")),
            TableVersion(fields.integer("version")),
            fields.integer("time_ms"),
        )


@dataclass(frozen=True)
class EditResult:
    """Result of an edit.

    :param verdict: the outcome
    :param version: version of the table after the edit
    :param faults: all invalid cells of a refused edit
    :param winner: the edit that won a conflict, or the latest edit if that one is no
        longer stored
    """

    verdict: EditVerdict
    version: TableVersion
    faults: tuple[CellFault, ...] = ()
    winner: EditWinner | None = None

    def to_json(self) -> dict[str, Any]:
        """Encode the result as the body of the reply to an operator."""
        return {
            "verdict": self.verdict.value,
            "version": self.version,
            "faults": [dict(vars(fault)) for fault in self.faults],
            "winner": self.winner.to_json() if self.winner else None,
        }

    @classmethod
    def from_json(cls, document: Any) -> EditResult:
        """Decode the result; raises :class:`InvalidCommandError` or `ValueError`."""
        fields = Fields(document)
        winner = fields.value("winner")
        faults = map(Fields, fields.list_field("faults"))
        return cls(
            EditVerdict(fields.text("verdict")),
            TableVersion(fields.integer("version")),
            tuple(
                CellFault(*(f.text(n) for n in ("row", "column", "value", "problem")))
                for f in faults
            ),
            None if winner is None else EditWinner.from_json(winner),
        )


@dataclass(frozen=True)
class ClaimResult:
    """Result of a command on a request key.

    :param verdict: the outcome; ``EXPIRED`` means that the key can no longer be
        claimed, not that its request never ran
    :param detail: reason for a refusal, else empty
    :param answer: stored answer if the key is done
    """

    verdict: ClaimVerdict
    detail: str = ""
    answer: AnswerRecord | None = None


@dataclass(frozen=True)
class CrashReportResult:
    """State of a fingerprint after a crash report.

    :param reports: number of distinct reports that count
    :param remaining_ms: remaining time of the quarantine in milliseconds of log time,
        0 if the fingerprint is not quarantined
    """

    reports: int
    remaining_ms: int


@dataclass(frozen=True)
class ReplicaChangeResult:
    """A replica change was recorded in the audit trail.

    :param sequence: sequence number of the audit entry
    """

    sequence: int


@dataclass(frozen=True)
class AdvanceResult:
    """The log time was advanced.

    :param log_time_ms: highest applied log time in Unix milliseconds
    """

    log_time_ms: int


CommandResult = (
    EditResult | ClaimResult | CrashReportResult | ReplicaChangeResult | AdvanceResult
)


@dataclass(frozen=True)
class ApplyResult:
    """Result of applying a log entry.

    :param index: index of the entry
    :param result: result of the command, ``None`` if the payload is not valid
    :param fault: why the payload is not valid, else empty
    """

    index: LogIndex
    result: CommandResult | None = None
    fault: str = field(default="")
