"""Commands of the replicated log and their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import Any
from typing import ClassVar
from typing import TypeVar

import orjson
from marjoramstep_core.ids import AttemptId
from marjoramstep_core.ids import Fingerprint
from marjoramstep_core.ids import NodeId
from marjoramstep_core.ids import OperatorName
from marjoramstep_core.ids import ReplicaId
from marjoramstep_core.ids import RequestKey
from marjoramstep_core.ids import RowName
from marjoramstep_core.ids import ServiceName

from .answer import AnswerRecord
from .command import COMMANDS
from .command import Command
from .errors import InvalidCommandError
from .fields import Fields
from .limits import COMMAND_LIMIT_BYTES


E = TypeVar("E", bound=Enum)


@unique
class AttemptOutcome(Enum):
    """Outcome of an attempt."""

    DONE = "done"
    ABANDONED = "abandoned"


@unique
class ReplicaAction(Enum):
    """A change of the set of replicas."""

    ADMIT = "admit"
    REMOVE = "remove"


@unique
class ReplicaChangeVerdict(Enum):
    """Outcome of a change of the set of replicas."""

    ACCEPTED = "accepted"
    REFUSED = "refused"


@COMMANDS.register("claim")
@dataclass(frozen=True)
class Claim:
    """Request for permission to start a non-idempotent request.

    :param log_time_ms: time of the log entry
    :param request_key: idempotency key given by the caller
    :param attempt_id: unique id of an attempt by a serving node
    :param node_id: node that serves the request
    :param row_name: table row that the request matched
    :param fingerprint: hash of the request's content
    """

    kind: ClassVar[str] = "claim"
    log_time_ms: int
    request_key: RequestKey
    attempt_id: AttemptId
    node_id: NodeId
    row_name: RowName
    fingerprint: Fingerprint

    def to_json(self) -> dict[str, Any]:
        """Encode the fields as JSON values."""
        return dict(vars(self))

    @classmethod
    def from_json(cls, fields: Fields) -> Claim:
        """Decode the command; raises :class:`InvalidCommandError`."""
        return cls(
            fields.time_ms("log_time_ms"),
            RequestKey(fields.text("request_key")),
            AttemptId(fields.non_empty_text("attempt_id")),
            NodeId(fields.non_empty_text("node_id")),
            RowName(fields.non_empty_text("row_name")),
            Fingerprint(fields.non_empty_text("fingerprint")),
        )


@COMMANDS.register("end-claim")
@dataclass(frozen=True)
class EndClaim:
    """End of an attempt.

    :param log_time_ms: time of the log entry
    :param request_key: idempotency key given by the caller
    :param attempt_id: the attempt that ended
    :param end_state: ``ABANDONED`` only if the request provably did not start
    :param answer: answer to the request if it is done, else ``None``
    """

    kind: ClassVar[str] = "end-claim"
    log_time_ms: int
    request_key: RequestKey
    attempt_id: AttemptId
    end_state: AttemptOutcome
    answer: AnswerRecord | None = None

    def to_json(self) -> dict[str, Any]:
        """Encode the fields as JSON values."""
        return {
            **vars(self),
            "end_state": self.end_state.value,
            "answer": self.answer.to_json() if self.answer else None,
        }

    @classmethod
    def from_json(cls, fields: Fields) -> EndClaim:
        """Decode the command; raises :class:`InvalidCommandError`."""
        end_state = _read_enum(AttemptOutcome, fields, "end_state")
        document = fields.value("answer")
        if (document is not None) != (end_state is AttemptOutcome.DONE):
            raise InvalidCommandError(
                "answer: required if and only if end_state is 'done'"
            )
        return cls(
            fields.time_ms("log_time_ms"),
            RequestKey(fields.text("request_key")),
            AttemptId(fields.non_empty_text("attempt_id")),
            end_state,
            None if document is None else AnswerRecord.from_json(document),
        )


@COMMANDS.register("look-up-claim")
@dataclass(frozen=True)
class LookUpClaim:
    """Query of a key that can also close it against later claims.

    :param log_time_ms: time of the log entry
    :param request_key: idempotency key given by the caller
    :param close: whether to close the key if its request did not run
    """

    kind: ClassVar[str] = "look-up-claim"
    log_time_ms: int
    request_key: RequestKey
    close: bool

    def to_json(self) -> dict[str, Any]:
        """Encode the fields as JSON values."""
        return dict(vars(self))

    @classmethod
    def from_json(cls, fields: Fields) -> LookUpClaim:
        """Decode the command; raises :class:`InvalidCommandError`."""
        return cls(
            fields.time_ms("log_time_ms"),
            RequestKey(fields.text("request_key")),
            fields.flag("close"),
        )


@COMMANDS.register("report-crash")
@dataclass(frozen=True)
class ReportCrash:
    """Report that a request was in flight when a backend server crashed.

    :param log_time_ms: time of the log entry
    :param service_name: service of the backend server
    :param fingerprint: hash of the request's content
    :param report_id: unique id of the crash; the same in a resend
    """

    kind: ClassVar[str] = "report-crash"
    log_time_ms: int
    service_name: ServiceName
    fingerprint: Fingerprint
    report_id: str

    def to_json(self) -> dict[str, Any]:
        """Encode the fields as JSON values."""
        return dict(vars(self))

    @classmethod
    def from_json(cls, fields: Fields) -> ReportCrash:
        """Decode the command; raises :class:`InvalidCommandError`."""
        return cls(
            fields.time_ms("log_time_ms"),
            ServiceName(fields.non_empty_text("service_name")),
            Fingerprint(fields.non_empty_text("fingerprint")),
            fields.non_empty_text("report_id"),
        )


@COMMANDS.register("record-replica-change")
@dataclass(frozen=True)
class RecordReplicaChange:
    """Audit record of a requested change of the set of replicas.

    :param log_time_ms: time of the log entry
    :param operator: operator who requested the change
    :param origin: address that the request came from
    :param action: the requested change
    :param replica_id: the replica to admit or remove
    :param verdict: outcome of the change
    :param before: ids of the replicas before the change
    :param after: ids of the replicas after the change
    :param detail: reason for a refusal, else empty
    """

    kind: ClassVar[str] = "record-replica-change"
    log_time_ms: int
    operator: OperatorName
    origin: str
    action: ReplicaAction
    replica_id: ReplicaId
    verdict: ReplicaChangeVerdict
    before: tuple[str, ...]
    after: tuple[str, ...]
    detail: str = ""

    def to_json(self) -> dict[str, Any]:
        """Encode the fields as JSON values."""
        verdict = self.verdict.value
        return {**vars(self), "action": self.action.value, "verdict": verdict}

    @classmethod
    def from_json(cls, fields: Fields) -> RecordReplicaChange:
        """Decode the command; raises :class:`InvalidCommandError`."""
        return cls(
            fields.time_ms("log_time_ms"),
            OperatorName(fields.non_empty_text("operator")),
            fields.text("origin"),
            _read_enum(ReplicaAction, fields, "action"),
            ReplicaId(fields.non_empty_text("replica_id")),
            _read_enum(ReplicaChangeVerdict, fields, "verdict"),
            fields.texts("before"),
            fields.texts("after"),
            fields.text("detail"),
        )


@COMMANDS.register("advance-time")
@dataclass(frozen=True)
class AdvanceTime:
    """Advances the log time and prunes expired records in an idle log.

    :param log_time_ms: time of the log entry
    """

    kind: ClassVar[str] = "advance-time"
    log_time_ms: int

    def to_json(self) -> dict[str, Any]:
        """Encode the fields as JSON values."""
        return dict(vars(self))

    @classmethod
    def from_json(cls, fields: Fields) -> AdvanceTime:
        """Decode the command; raises :class:`InvalidCommandError`."""
        return cls(fields.time_ms("log_time_ms"))


def _read_enum(enum: type[E], fields: Fields, name: str) -> E:
    text = fields.text(name)
    try:
        return enum(text)
    except ValueError:
        known = ", ".join(str(member.value) for member in enum)
        raise InvalidCommandError(
            f"{name}: expected one of {known}, found {text[:80]!r}"
        ) from None


def encode_command(command: Command) -> bytes:
    """Encode a command as the payload of a log entry, and check that it decodes.

    :param command: the command
    :return: the command as JSON
    :raises InvalidCommandError: if a field is not valid or the payload is too large
    """
    document = {"kind": command.kind, **command.to_json()}
    try:
        payload = orjson.dumps(document, option=orjson.OPT_SORT_KEYS)
    except (TypeError, ValueError) as error:
        raise InvalidCommandError(
            f"the command cannot be encoded as JSON: {error}"
        ) from error
    decode_command(payload)
    return payload


def decode_command(payload: bytes) -> Command:
    """Decode a command from the payload of a log entry.

    :param payload: as returned by :func:`encode_command`
    :return: the command
    :raises InvalidCommandError: if the payload is too large or not JSON, the kind is
        unknown or a field is not valid
    """
    if len(payload) > COMMAND_LIMIT_BYTES:
        raise InvalidCommandError(
            f"a command has at most {COMMAND_LIMIT_BYTES} bytes, found {len(payload)}"
        )
    try:
        document = orjson.loads(payload)
    except orjson.JSONDecodeError as error:
        raise InvalidCommandError(f"not JSON: {error}") from error
    fields = Fields(document)
    kind = fields.text("kind")
    if kind not in COMMANDS:
        known = ", ".join(COMMANDS)
        raise InvalidCommandError(f"unknown kind {kind[:80]!r}; known are: {known}")
    return COMMANDS.get(kind).from_json(fields)
