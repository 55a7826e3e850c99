"""Addresses of processes."""

from __future__ import annotations


# IP address and port.
Address = tuple[str, int]


def split_address(text: str) -> Address:
    """Split ``ip:port`` without validating it.

    :param text: address that was validated before
    :return: IP address and port
    :raises ValueError: if the port is not a number
    """
    host, _, port = text.rpartition(":")
    return host, int(port)
