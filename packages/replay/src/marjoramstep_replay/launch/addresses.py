"""Free addresses on loopback for processes whose port must be known in advance."""

from __future__ import annotations

import random
import socket
from pathlib import Path


LOOPBACK = "127.0.0.1"
ANY_PORT = f"{LOOPBACK}:0"
PORT_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
LOWEST_PORT = 10_000
ATTEMPTS = 1_000


def lowest_ephemeral_port() -> int:
    """Return the lowest port that the kernel gives to outgoing connections.

    :return: port number
    """
    return int(PORT_RANGE_FILE.read_text(encoding="ascii").split()[0])


def reserve_addresses(count: int) -> list[str]:
    """Choose free ports.

    Replicas need to know each other's addresses before they start, so their ports
    cannot be read from their logs. A port that the kernel chooses could be given to an
    outgoing connection before the replica binds it, so they are below that range.

    :param count: number of addresses
    :return: ``ip:port`` texts, different from each other
    :raises OSError: if too few ports are free
    """
    highest_port = lowest_ephemeral_port() - 1
    sockets: list[socket.socket] = []
    try:
        while len(sockets) < count:
            sockets.append(_bind_random_port(highest_port))
        return [f"{LOOPBACK}:{sock.getsockname()[1]}" for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def _bind_random_port(highest_port: int) -> socket.socket:
    for _ in range(ATTEMPTS):
        sock = socket.socket()
        try:
            sock.bind((LOOPBACK, random.randint(LOWEST_PORT, highest_port)))
        except OSError:
            # Another process uses the port; the next one is tried.
            sock.close()
            continue
        return sock
    raise OSError(f"no free port from {LOWEST_PORT} to {highest_port}")
