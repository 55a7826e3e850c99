"""Incremental encoding of a snapshot in steps that do not block the event loop."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import orjson


if TYPE_CHECKING:
    from marjoramstep_core.ids import LogIndex

    from .audit import AuditEntry
    from .claims.encoder import ClaimsEncoder

# Limits the time of a step, in which the event loop handles nothing else: about 10 ms.
AUDIT_ENTRIES_PER_STEP = 500


@dataclass
class SnapshotEncoder:
    """Encodes the state as of one log entry.

    :param index: index of the last applied entry
    :param head: fields that are small enough to be encoded in one step
    :param claims: encoder of the claims, which may change between steps
    :param audit_head: fields of the audit trail except its entries
    :param audit_entries: entries of the audit trail, which are immutable
    """

    index: LogIndex
    head: dict[str, Any]
    claims: ClaimsEncoder
    audit_head: dict[str, Any]
    audit_entries: tuple[AuditEntry, ...]
    _audit_encoded: list[orjson.Fragment] = field(default_factory=list)

    def step(self) -> bytes | None:
        """Encode the next part.

        :return: the whole snapshot once the last part is encoded, else ``None``
        """
        if len(self._audit_encoded) < len(self.audit_entries):
            first = len(self._audit_encoded)
            for entry in self.audit_entries[first : first + AUDIT_ENTRIES_PER_STEP]:
                data = orjson.dumps(entry.to_json(), option=orjson.OPT_SORT_KEYS)
                self._audit_encoded.append(orjson.Fragment(data))
            return None
        if not self.claims.step():
            return None
        document = {
            **self.head,
            "claims": self.claims.to_json(),
            "audit": {**self.audit_head, "entries": self._audit_encoded},
        }
        return orjson.dumps(document, option=orjson.OPT_SORT_KEYS)
