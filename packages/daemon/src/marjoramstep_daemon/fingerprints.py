"""Fingerprints of calls, and a cheaper content hash local to the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_policy.quarantine import fingerprint_request


if TYPE_CHECKING:
    from marjoramstep_core.ids import Fingerprint
    from marjoramstep_core.ids import ServiceName

    from .calls import Body
    from .calls import Call


def fingerprint_of(call: Call) -> Fingerprint:
    """Return the fingerprint of a call, which is the same at every node.

    :param call: the call; the fingerprint is cached in it; only the length and the
        first part of the body are hashed
    :return: the fingerprint
    """
    if call.fingerprint is None:
        length = None if call.body.length < 0 else call.body.length
        call.fingerprint = fingerprint_request(
            call.service, call.method, call.path, length, call.body.data
        )
    return call.fingerprint


def content_hash(service: ServiceName, method: str, path: str, body: Body) -> int:
    """Return a hash of a request that is comparable within this process only.

    :param service: called service
    :param method: HTTP method
    :param path: path with its query
    :param body: body; only its length and first part are hashed
    :return: a 64-bit hash
    """
    return hash((service, method, path, body.length, body.data))
