"""Encoding of answers that the replicas store."""

from __future__ import annotations

import hashlib

from marjoramstep_core.states import Reason
from marjoramstep_wire.codec import decode_struct
from marjoramstep_wire.codec import encode_struct
from marjoramstep_wire.messages import Header
from marjoramstep_wire.messages import StoredAnswer

from ..calls import Answer
from ..calls import Body


HTTP_OK = 200


def encode_stored_answer(answer: Answer, limit_bytes: int) -> bytes:
    """Encode a complete answer for the replicas.

    :param answer: the answer
    :param limit_bytes: maximum length of a stored body; of a longer one only the length
        and the hash are stored
    :return: encoded ``StoredAnswer``
    """
    data = answer.body.data
    is_stored = len(data) <= limit_bytes
    stored = StoredAnswer(
        status=answer.status,
        headers=[Header(name=name, value=value) for name, value in answer.headers],
        body=data if is_stored else b"",
        body_stored=is_stored,
        body_length=len(data),
        body_sha256=hashlib.sha256(data).hexdigest(),
    )
    return encode_struct(stored)


def decode_stored_answer(data: bytes) -> Answer:
    """Decode an answer that the replicas stored.

    :param data: encoded ``StoredAnswer``
    :return: the stored answer, or one with status 200 and no body if the body was too
        long to be stored
    :raises ProtocolError: if the data is not a valid ``StoredAnswer``
    """
    stored = decode_struct(StoredAnswer, data, "claim")
    if not stored.body_stored:
        return Answer(HTTP_OK, [], Body(), reason=Reason.ANSWER_NOT_STORED)
    headers = [(header.name, header.value) for header in stored.headers]
    return Answer(stored.status, headers, Body(stored.body, length=stored.body_length))
