"""Encodes messages to frames and decodes them.

A frame is a 4-byte big-endian length of what follows, a 1-byte type code and a thrift
struct in the binary protocol.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from marjoramstep_core.errors import ProtocolError
from thrift.protocol import fastbinary
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from .messages import MESSAGE_TYPES
from .messages import TYPE_CODES


if TYPE_CHECKING:
    from collections.abc import Iterator

    from .messages import Message

HEADER = struct.Struct("!IB")
FRAME_LIMIT_BYTES = 2 * 1024 * 1024
# The accelerated decoder raises built-in errors on malformed lengths and text.
DECODE_ERRORS = (
    TException,
    EOFError,
    ValueError,
    TypeError,
    OverflowError,
    MemoryError,
    RecursionError,
)
_PROTOCOL = TBinaryProtocolAccelerated(TMemoryBuffer())
_SPECS = {cls: [cls, cls.thrift_spec] for cls in TYPE_CODES}


def encode_struct(message: Message) -> bytes:
    """Encode a thrift struct without a frame around it.

    :param message: a generated struct
    :return: the struct's bytes
    """
    spec = _SPECS.get(type(message)) or [type(message), message.thrift_spec]
    return bytes(fastbinary.encode_binary(message, spec))


def decode_struct(message_type: type[Message], data: bytes, peer: str) -> Message:
    """Decode a thrift struct and check that its required fields are there.

    :param message_type: class of the generated struct
    :param data: the struct's bytes
    :param peer: who sent it, for the error
    :return: the decoded struct
    :raises ProtocolError: if the bytes do not hold such a struct
    """
    message = message_type()
    # The decoder is not entered again while it runs, so all calls share one protocol
    # object; building one for each message took a third of the decoding time.
    _PROTOCOL.trans = TMemoryBuffer(data)
    try:
        message.read(_PROTOCOL)
        message.validate()
    except DECODE_ERRORS as error:
        raise ProtocolError(
            f"cannot decode {message_type.__name__}: {error}",
            step="decode message",
            peer=peer,
        ) from error
    return message


def encode_frame(message: Message) -> bytes:
    """Encode a message as one frame.

    :param message: one of the registered messages
    :return: the frame's bytes
    """
    cls = type(message)
    payload = fastbinary.encode_binary(message, _SPECS[cls])
    return HEADER.pack(len(payload) + 1, TYPE_CODES[cls]) + bytes(payload)


class FrameDecoder:
    """Splits a byte stream into messages.

    :param peer: who sends the stream, for errors
    """

    def __init__(self, peer: str) -> None:
        self._peer = peer
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Message]:
        """Take received bytes and yield the messages that are complete.

        :param data: bytes in the order of the stream
        :return: messages in order
        :raises ProtocolError: on a bad length, type code or struct
        """
        buffer = self._buffer
        buffer += data
        offset = 0
        try:
            while len(buffer) - offset >= HEADER.size:
                length, code = HEADER.unpack_from(buffer, offset)
                self._check_header(length, code)
                end = offset + 4 + length
                if len(buffer) < end:
                    break
                payload = bytes(memoryview(buffer)[offset + HEADER.size : end])
                offset = end
                yield decode_struct(MESSAGE_TYPES[code], payload, self._peer)
        finally:
            del buffer[:offset]

    def _check_header(self, length: int, code: int) -> None:
        if not 1 <= length <= FRAME_LIMIT_BYTES:
            raise ProtocolError(
                f"frame length {length} is not in 1..{FRAME_LIMIT_BYTES}",
                step="read frame",
                peer=self._peer,
            )
        if code not in MESSAGE_TYPES:
            raise ProtocolError(
                f"unknown message type {code}", step="read frame", peer=self._peer
            )
