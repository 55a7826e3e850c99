"""Connects a command with the replicas that its options name."""

from __future__ import annotations

import os
import re
from pathlib import Path
from typing import TYPE_CHECKING
from typing import TypeVar

import uvloop

from .client import ControlClient
from .errors import UsageError


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

T = TypeVar("T")

CONTROL_VARIABLE = "MARJORAMSTEP_CONTROL"
TOKEN_FILE_VARIABLE = "MARJORAMSTEP_TOKEN_FILE"
DEFAULT_TIMEOUT_MS = 3_000
ADDRESS_PATTERN = re.compile(r"([A-Za-z0-9.-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})")
TOKEN_PATTERN = re.compile(r"[A-Za-z0-9._~+/=-]{1,512}")
LARGEST_PORT = 65_535


def run_session(
    action: Callable[[ControlClient], Awaitable[T]],
    *,
    control: str | None,
    token_file: str | None,
    timeout_ms: int,
) -> T:
    """Run an action with a client of the replicas.

    :param action: called with the client
    :param control: addresses given as an option
    :param token_file: path given as an option
    :param timeout_ms: longest wait for one answer in milliseconds
    :return: the result of the action
    :raises UsageError: if an option or environment variable is missing or not valid
    """
    if timeout_ms <= 0:
        raise UsageError(
            f"--timeout-ms must be above 0, found {timeout_ms}", step="read arguments"
        )
    addresses = read_addresses(control or os.environ.get(CONTROL_VARIABLE, ""))
    token = read_token(token_file or os.environ.get(TOKEN_FILE_VARIABLE, ""))

    async def run() -> T:
        async with ControlClient(addresses, token, timeout_ms) as client:
            return await action(client)

    result: T = uvloop.run(run())
    return result


def read_addresses(text: str) -> list[str]:
    """Read the replicas' operator addresses.

    :param text: addresses of the form ``ip:port``, separated by commas
    :return: the addresses, at least one
    :raises UsageError: names the address that is not valid
    """
    addresses = [part.strip() for part in text.split(",") if part.strip()]
    if not addresses:
        raise UsageError(
            f"no address of a replica; use --control or {CONTROL_VARIABLE}",
            step="read arguments",
        )
    for address in addresses:
        match = ADDRESS_PATTERN.fullmatch(address)
        if match is None or not 0 < int(match.group(2)) <= LARGEST_PORT:
            raise UsageError(
                f"expected the form ip:port, found {address!r}", step="read arguments"
            )
    return addresses


def read_token(path: str) -> str:
    """Read the operator's token; it never appears in an error.

    :param path: path of the file with the token
    :return: the token
    :raises UsageError: if the file cannot be read or holds no token
    """
    if not path:
        raise UsageError(
            f"no token; use --token-file or {TOKEN_FILE_VARIABLE}",
            step="read arguments",
        )
    try:
        token = Path(path).read_text(encoding="ascii").strip()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "not ASCII text"
        raise UsageError(
            f"cannot read the token: {reason}", step="read token", peer=path
        ) from None
    if not TOKEN_PATTERN.fullmatch(token):
        raise UsageError(
            "expected one token of 1 to 512 letters, digits or '._~+/=-'",
            step="read token",
            peer=path,
        )
    return token
