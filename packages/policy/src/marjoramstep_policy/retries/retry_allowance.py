"""Retry tokens of one root request that are held by one hop."""

from __future__ import annotations

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.registry import Registry


RETRY_ALLOWANCES: Registry[type[RetryAllowance]] = Registry("retry allowance")


@RETRY_ALLOWANCES.register("tokens")
class RetryAllowance:
    """Retry tokens of one hop; each retry at this hop or downstream costs one.

    Tokens held here plus tokens delegated and not yet returned never exceed the tokens
    received at the start, so the sum over the call chain never exceeds the ``retries``
    of the row.

    :param tokens: tokens received with the call, or the row's ``retries`` at the entry
        node
    :raises InvalidInputError: if the number is negative
    """

    __slots__ = ("_delegated", "_held")

    def __init__(self, tokens: int) -> None:
        _check_tokens(tokens)
        self._held = tokens
        self._delegated = 0

    @property
    def held(self) -> int:
        """Tokens currently held; returned to the calling hop with the answer."""
        return self._held

    def take(self) -> bool:
        """Use one token for a retry at this hop.

        :return: whether a token was available
        """
        if self._held == 0:
            return False
        self._held -= 1
        return True

    def delegate(self) -> int:
        """Split off tokens for a sub-call; one stays here, if there is any.

        :return: tokens to send with the sub-call
        """
        sent = max(0, self._held - 1)
        self._held -= sent
        self._delegated += sent
        return sent

    def reclaim(self, tokens: int, *, delegated: int | None = None) -> None:
        """Take back unused tokens from the answer of a sub-call.

        Tokens beyond those delegated are ignored. Must be called at most once for each
        sub-call; the tokens of a lost answer stay lost.

        :param tokens: tokens returned with the answer
        :param delegated: tokens sent with that sub-call; without it, the limit is the
            number delegated to all sub-calls and not yet returned
        :raises InvalidInputError: if the number is negative
        """
        _check_tokens(tokens)
        limit = self._delegated
        if delegated is not None:
            limit = min(limit, delegated)
        accepted = min(tokens, limit)
        self._delegated -= accepted
        self._held += accepted

    def close(self) -> None:
        """Discard the tokens held and accept no delegated tokens back."""
        self._held = 0
        self._delegated = 0


@RETRY_ALLOWANCES.register("per-hop")
class PerHopRetryAllowance(RetryAllowance):
    """Baseline for comparison: each hop and sub-call has the full number of retries."""

    __slots__ = ()

    def delegate(self) -> int:
        """Send a copy of the tokens and keep all of them.

        :return: tokens to send with the sub-call
        """
        return self._held

    def reclaim(self, tokens: int, *, delegated: int | None = None) -> None:
        """Ignore returned tokens, because none were split off."""


def _check_tokens(tokens: int) -> None:
    if tokens < 0:
        raise InvalidInputError(
            f"retry tokens must not be negative, got {tokens}",
            step="check retry tokens",
        )
