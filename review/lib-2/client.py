"""Clients of the stand-in deployment that the library for HTTP does not cover."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import dataclass

# The segment size of Ethernet. Over loopback a segment has 64 KB, and the kernel would
# hold megabytes of an answer that nobody has read.
SEGMENT_BYTES = 1460
RECEIVE_BUFFER_BYTES = 4096


@dataclass
class SlowAnswer:
    """What a slow reader got."""

    status: int
    body_bytes: int
    is_complete: bool
    seconds: float
    end: str


async def read_slowly(
    address: str, request: bytes, body_bytes: int, seconds: float
) -> SlowAnswer:
    """Send a request and read its answer evenly over some seconds.

    :param address: address of the node
    :param request: the whole request
    :param body_bytes: length of the body that the server sends
    :param seconds: time over which it is read
    """
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    host, _, port = address.rpartition(":")
    await loop.sock_connect(sock, (host, int(port)))
    await loop.sock_sendall(sock, request)
    started = time.monotonic()
    data = bytearray()
    end = "time-out of the test"
    try:
        while time.monotonic() - started < 4 * seconds:
            due = int((time.monotonic() - started) * body_bytes / seconds) - len(data)
            if due < 2000:
                await asyncio.sleep(0.01)
                continue
            try:
                part = await loop.sock_recv(sock, due)
            except OSError as error:
                end = f"reset ({error.strerror})"
                break
            if not part:
                end = "closed by the node"
                break
            data += part
            if _decode(bytes(data))[2]:
                end = "complete"
                break
    finally:
        sock.close()
    status, body, is_complete = _decode(bytes(data))
    return SlowAnswer(status, len(body), is_complete, time.monotonic() - started, end)


def _decode(data: bytes) -> tuple[int, bytes, bool]:
    """Return the status, the body so far, and whether the answer is complete."""
    head, found, rest = data.partition(b"\r\n\r\n")
    if not found:
        return 0, b"", False
    lines = head.decode("latin-1").lower().split("\r\n")
    status = int(lines[0].split(" ")[1])
    if "transfer-encoding: chunked" not in lines:
        length = next(
            int(x.split(":")[1]) for x in lines if x.startswith("content-length:")
        )
        return status, rest[:length], len(rest) >= length
    if not rest.endswith(b"0\r\n\r\n"):
        return status, rest, False
    body = bytearray()
    while True:
        size_text, _, rest = rest.partition(b"\r\n")
        size = int(size_text, 16)
        if size == 0:
            return status, bytes(body), rest == b"\r\n"
        if len(rest) < size + 2:
            return status, bytes(body), False
        body += rest[:size]
        rest = rest[size + 2 :]
