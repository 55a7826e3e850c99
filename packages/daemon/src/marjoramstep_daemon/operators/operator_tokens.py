"""Authenticates operators by their tokens."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from marjoramstep_core.ids import OperatorName


if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..settings import OperatorSettings

BEARER = "Bearer "


class OperatorTokens:
    """Authenticates operators by the hashes of their tokens.

    :param operators: names and token hashes from the settings
    """

    def __init__(self, operators: Iterable[OperatorSettings]) -> None:
        self._operators = tuple(operators)

    def authenticate(self, authorization: str) -> OperatorName | None:
        """Find the operator of a request.

        All hashes are compared in constant time, so that timing reveals nothing.

        :param authorization: value of the header ``Authorization``
        :return: the operator, or None if the token is not known
        """
        token = authorization.removeprefix(BEARER).strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = None
        for operator in self._operators:
            if hmac.compare_digest(operator.token_sha256, digest):
                found = OperatorName(operator.name)
        return found if authorization.startswith(BEARER) else None
