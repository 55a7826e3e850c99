"""Fingerprint of the content of a request."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from marjoramstep_core.ids import Fingerprint


if TYPE_CHECKING:
    from marjoramstep_core.ids import ServiceName

FINGERPRINT_BODY_BYTES = 64 * 1024
_UNKNOWN_LENGTH = b"unknown"


class FingerprintBuilder:
    """Computes the fingerprint of a request whose body arrives in parts.

    The result does not depend on how the body is split.

    :param service: name of the service
    :param method: HTTP method
    :param path: path with query string
    :param body_length: total length of the body in bytes, ``None`` if unknown
    """

    def __init__(
        self, service: ServiceName, method: str, path: str, body_length: int | None
    ) -> None:
        self._hash = hashlib.sha256()
        self._remaining_bytes = FINGERPRINT_BODY_BYTES
        if body_length is not None:
            self._remaining_bytes = min(self._remaining_bytes, body_length)
        length = _UNKNOWN_LENGTH if body_length is None else str(body_length).encode()
        for field in (service.encode(), method.encode(), path.encode(), length):
            # The length prefix of each field distinguishes "ab" + "c" from "a" + "bc".
            self._hash.update(len(field).to_bytes(8, "big"))
            self._hash.update(field)

    @property
    def is_complete(self) -> bool:
        """Whether further parts of the body have no effect on the fingerprint."""
        return self._remaining_bytes == 0

    def add(self, part: bytes) -> None:
        """Add the next part of the body; bytes after the first 64 KiB are ignored.

        :param part: bytes of the body
        """
        used = part[: self._remaining_bytes]
        self._remaining_bytes -= len(used)
        self._hash.update(used)

    def value(self) -> Fingerprint:
        """Return the fingerprint of the parts added so far.

        :return: SHA-256 in hexadecimal
        """
        return Fingerprint(self._hash.hexdigest())


def fingerprint_request(
    service: ServiceName,
    method: str,
    path: str,
    body_length: int | None,
    body: bytes,
) -> Fingerprint:
    """Return the fingerprint of a request.

    :param service: name of the service
    :param method: HTTP method
    :param path: path with query string
    :param body_length: total length of the body in bytes, ``None`` if unknown
    :param body: the body, or at least its first 64 KiB
    :return: SHA-256 in hexadecimal
    """
    builder = FingerprintBuilder(service, method, path, body_length)
    builder.add(body)
    return builder.value()
