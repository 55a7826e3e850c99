"""Retry tokens of one root request, as held by one hop."""

from __future__ import annotations

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.registry import Registry


ALLOWANCES: Registry[type[RetryAllowance]] = Registry("retry allowance")


@ALLOWANCES.register("tokens")
class RetryAllowance:
    """Tokens that one hop holds; each retry at this hop or below costs one.

    Tokens held here plus tokens delegated and not yet returned never exceed the tokens
    received at the start, so the sum over the call chain never exceeds the row's value.

    :param tokens: tokens received with the call, or the row's ``retries`` at the entry
    :raises InvalidInputError: if the number is negative
    """

    __slots__ = ("_delegated", "_held")

    def __init__(self, tokens: int) -> None:
        _check_tokens(tokens)
        self._held = tokens
        self._delegated = 0

    @property
    def held(self) -> int:
        """Tokens held now; returned to the calling hop with the answer."""
        return self._held

    def take(self) -> bool:
        """Use one token for a retry at this hop.

        :return: whether there was one
        """
        if self._held == 0:
            return False
        self._held -= 1
        return True

    def delegate(self) -> int:
        """Split off the tokens that go along with a sub-call, keeping one if any.

        :return: tokens to put into the message
        """
        sent = max(0, self._held - 1)
        self._held -= sent
        self._delegated += sent
        return sent

    def give_back(self, tokens: int, *, delegated: int | None = None) -> None:
        """Take back unused tokens from the answer of a sub-call.

        A return above what was delegated is cut off. To be called once for each call.

        :param tokens: tokens on the answer
        :param delegated: tokens sent with that sub-call, a closer bound when there are
            parallel sub-calls
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
        """Drop the tokens held and refuse those still out."""
        self._held = 0
        self._delegated = 0


@ALLOWANCES.register("per-hop")
class PerHopAllowance(RetryAllowance):
    """Baseline: each hop and each sub-call has the full number of retries."""

    __slots__ = ()

    def delegate(self) -> int:
        """Send a copy of the tokens and keep all of them.

        :return: tokens to put into the message
        """
        return self._held

    def give_back(self, tokens: int, *, delegated: int | None = None) -> None:
        """Ignore returned tokens, because none were given away."""


def _check_tokens(tokens: int) -> None:
    if tokens < 0:
        raise InvalidInputError(
            f"retry tokens must not be negative, got {tokens}",
            step="count retry tokens",
        )
