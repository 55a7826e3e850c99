"""Claim record of a request key."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from typing import Any

from marjoramstep_core.ids import AttemptId
from marjoramstep_core.ids import Fingerprint
from marjoramstep_core.ids import NodeId
from marjoramstep_core.ids import RowName

from ..answer import AnswerRecord
from ..fields import Fields


@unique
class ClaimState(Enum):
    """State of a key that has a record; a key without a record has no state."""

    CLAIMED = "claimed"
    DONE = "done"
    ABANDONED = "abandoned"
    CLOSED = "closed"


@dataclass
class ClaimRecord:
    """State of a request key.

    :param issued_ms: when the key was issued, in Unix milliseconds
    :param state: state of the key
    :param attempt_id: the attempt granted last; empty if none was granted
    :param node_id: node that runs this attempt
    :param row_name: table row that the request matched
    :param fingerprint: hash of the request's content; empty if no attempt
        was granted
    :param abandoned: attempts that must not be granted again
    :param answer: stored answer of a key that is done
    """

    issued_ms: int
    state: ClaimState
    attempt_id: AttemptId = AttemptId("")
    node_id: NodeId = NodeId("")
    row_name: RowName = RowName("")
    fingerprint: Fingerprint = Fingerprint("")
    abandoned: set[AttemptId] = field(default_factory=set)
    answer: AnswerRecord | None = None

    def to_json(self) -> dict[str, Any]:
        """Encode the record as JSON values."""
        return {
            **vars(self),
            "state": self.state.value,
            "abandoned": sorted(self.abandoned),
            "answer": self.answer.to_json() if self.answer else None,
        }

    @classmethod
    def from_json(cls, document: Any) -> ClaimRecord:
        """Decode a record; raises :class:`InvalidCommandError` or `ValueError`."""
        fields = Fields(document)
        answer = fields.value("answer")
        return cls(
            fields.integer("issued_ms"),
            ClaimState(fields.text("state")),
            AttemptId(fields.text("attempt_id")),
            NodeId(fields.text("node_id")),
            RowName(fields.text("row_name")),
            Fingerprint(fields.text("fingerprint")),
            set(map(AttemptId, fields.texts("abandoned"))),
            None if answer is None else AnswerRecord.from_json(answer),
        )
