"""Stored answer of a non-idempotent request."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import Any

from marjoramstep_wire.messages import Header
from marjoramstep_wire.messages import StoredAnswer

from .errors import InvalidCommandError
from .fields import Fields
from .fields import encode_base64


@dataclass(frozen=True)
class AnswerRecord:
    """An HTTP response kept under its request key.

    :param status: HTTP status
    :param headers: name and value pairs
    :param body: empty if ``body_stored`` is false
    :param body_stored: whether the body is kept
    :param body_length_bytes: length of the complete body
    :param body_sha256: SHA-256 of the complete body in hexadecimal
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    body_stored: bool
    body_length_bytes: int
    body_sha256: str

    @property
    def size_bytes(self) -> int:
        """Size in bytes that counts towards the limits on stored answers."""
        return len(self.body) + sum(len(n) + len(v) for n, v in self.headers)

    def without_content(self) -> AnswerRecord:
        """Drop the headers and the body.

        :return: a copy that keeps status, body length and body hash
        """
        return replace(self, headers=(), body=b"", body_stored=False)

    def to_json(self) -> dict[str, Any]:
        """Encode the answer as JSON values.

        :return: the fields, with the body in base64
        """
        return {
            "status": self.status,
            "headers": [list(pair) for pair in self.headers],
            "body": encode_base64(self.body),
            "body_stored": self.body_stored,
            "body_length_bytes": self.body_length_bytes,
            "body_sha256": self.body_sha256,
        }

    @classmethod
    def from_json(cls, document: Any) -> AnswerRecord:
        """Decode an answer from JSON values.

        :param document: as returned by :meth:`to_json`
        :return: the answer
        :raises InvalidCommandError: if a field is not valid
        """
        fields = Fields(document)
        headers = []
        for pair in fields.list_field("headers"):
            if not isinstance(pair, list) or [type(part) for part in pair] != [str] * 2:
                raise InvalidCommandError("headers: expected pairs of strings")
            headers.append((pair[0], pair[1]))
        return cls(
            fields.integer("status"),
            tuple(headers),
            fields.base64_bytes("body"),
            fields.flag("body_stored"),
            fields.integer("body_length_bytes"),
            fields.text("body_sha256"),
        )

    def to_message(self) -> StoredAnswer:
        """Convert the answer to a thrift message.

        :return: the message for a node
        """
        return StoredAnswer(
            status=self.status,
            headers=[Header(name=name, value=value) for name, value in self.headers],
            body=self.body,
            body_stored=self.body_stored,
            body_length=self.body_length_bytes,
            body_sha256=self.body_sha256,
        )

    @classmethod
    def from_message(cls, message: StoredAnswer) -> AnswerRecord:
        """Convert a thrift message to an answer.

        :param message: sent by a node in ``ClaimEnd``
        :return: the answer
        """
        return cls(
            message.status,
            tuple((header.name, header.value) for header in message.headers),
            message.body,
            message.body_stored,
            message.body_length,
            message.body_sha256,
        )
