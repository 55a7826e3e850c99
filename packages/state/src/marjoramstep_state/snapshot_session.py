"""Encodes a snapshot in steps, so that no step holds up the event loop for long."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import orjson


if TYPE_CHECKING:
    from marjoramstep_core.ids import LogIndex

    from .audit import AuditEntry
    from .claims.encoding import ClaimsEncoding

# About as long as one partition of 400 claims, 10 ms.
AUDIT_ENTRIES_PER_STEP = 500


@dataclass
class SnapshotSession:
    """The state after one entry of the log.

    :param index: the entry
    :param head: the parts that are small enough to be encoded at once
    :param claims: the claims, which may change meanwhile
    :param audit_head: fields of the audit trail but its entries
    :param audit_entries: entries of the audit trail, which never change
    """

    index: LogIndex
    head: dict[str, Any]
    claims: ClaimsEncoding
    audit_head: dict[str, Any]
    audit_entries: tuple[AuditEntry, ...]
    _audit_encoded: list[orjson.Fragment] = field(default_factory=list)

    def step(self) -> bytes | None:
        """Encode a bounded part.

        :return: the whole snapshot when the last part is encoded, else None
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
