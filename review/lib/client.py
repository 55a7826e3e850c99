"""HTTP/1.1 client on plain sockets."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass
class Answer:
    """A received answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encode a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer; raises EOFError if it is not complete."""
    head = (await _until_blank_line(reader)).decode("latin-1")
    lines = head.split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return Answer(status, headers, body)
            body += data[:-2]
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif status in (204, 304):
        body = b""
    else:
        body = await reader.read()
    return Answer(status, headers, body)


async def _until_blank_line(reader: asyncio.StreamReader) -> bytes:
    return (await reader.readuntil(b"\r\n\r\n"))[:-4]


async def fetch(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send a request on a new connection and return its answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(encode_request(method, path, headers, body))
            return await read_answer(reader)
        finally:
            writer.close()
