"""Encoding of messages to frames and decoding of frames.

A frame is a 4-byte big-endian length of what follows, a 1-byte type code and a thrift
struct in the binary protocol. If the type code has ``DEFLATED_FLAG`` set, the struct is
replaced by a 4-byte length, the deflated struct without its body, and the plain body.
"""

from __future__ import annotations

import struct
import zlib
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

FRAME_HEADER = struct.Struct("!IB")
DEFLATED_FLAG = 0x80
DEFLATED_LENGTH = struct.Struct("!I")
# Names and most headers recur within 4 KiB of the messages of one connection. A larger
# window costs memory per connection and saves no more bytes.
DEFLATE_LEVEL = 1
DEFLATE_WINDOW_BITS = -12
DEFLATE_MEMORY_LEVEL = 5
# Trailer of each sync flush. It is constant, so the sender strips it and the receiver
# appends it again.
FLUSH_MARKER = b"\x00\x00\xff\xff"
FRAME_LIMIT_BYTES = 2 * 1024 * 1024
# The accelerated decoder also raises built-in exceptions on malformed lengths and text.
DECODE_ERRORS = (
    TException,
    EOFError,
    ValueError,
    TypeError,
    OverflowError,
    MemoryError,
    RecursionError,
)
ENCODE_ERRORS = (ValueError, TypeError, OverflowError)
_PROTOCOL = TBinaryProtocolAccelerated(TMemoryBuffer())
_SPECS = {cls: [cls, cls.thrift_spec] for cls in TYPE_CODES}


def encode_struct(message: Message) -> bytes:
    """Encode a thrift struct without a frame.

    :param message: a generated struct
    :return: the struct's bytes
    """
    spec = _SPECS.get(type(message)) or [type(message), message.thrift_spec]
    return bytes(fastbinary.encode_binary(message, spec))


def decode_struct(message_type: type[Message], data: bytes, peer: str) -> Message:
    """Decode a thrift struct and check that its required fields are present.

    :param message_type: class of the generated struct
    :param data: the struct's bytes
    :param peer: origin of the bytes, for the error
    :return: the decoded struct
    :raises ProtocolError: if the bytes are not a valid struct of this type
    """
    message = message_type()
    # The decoder is not re-entered, so all calls share one protocol object;
    # creating one for each message takes a third of the decoding time.
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
    :raises ProtocolError: if a field is out of range
    """
    cls = type(message)
    try:
        payload = fastbinary.encode_binary(message, _SPECS[cls])
    except ENCODE_ERRORS as error:
        raise ProtocolError(
            f"cannot encode {cls.__name__}: {error}", step="encode message"
        ) from error
    return FRAME_HEADER.pack(len(payload) + 1, TYPE_CODES[cls]) + bytes(payload)


class DeflatingEncoder:
    """Encodes the messages of one connection as one deflate stream.

    Bodies are not deflated: most are incompressible, and long ones take much processor
    time. The compressor is created with the first message, since many connections never
    carry one.
    """

    def __init__(self) -> None:
        self._deflater: zlib._Compress | None = None

    def encode(self, message: Message) -> bytes:
        """Encode a message as one frame.

        :param message: one of the registered messages
        :return: the frame's bytes
        """
        cls = type(message)
        body = getattr(message, "body", b"")
        if body:
            message.body = b""
        deflater = self._deflater
        if deflater is None:
            deflater = self._deflater = zlib.compressobj(
                DEFLATE_LEVEL, zlib.DEFLATED, DEFLATE_WINDOW_BITS, DEFLATE_MEMORY_LEVEL
            )
        data = deflater.compress(fastbinary.encode_binary(message, _SPECS[cls]))
        data += deflater.flush(zlib.Z_SYNC_FLUSH)[: -len(FLUSH_MARKER)]
        if body:
            message.body = body
        length = 1 + DEFLATED_LENGTH.size + len(data) + len(body)
        return b"".join(
            (
                FRAME_HEADER.pack(length, TYPE_CODES[cls] | DEFLATED_FLAG),
                DEFLATED_LENGTH.pack(len(data)),
                data,
                body,
            )
        )


class FrameDecoder:
    """Decodes the messages of a byte stream.

    :param peer: address of the sender, for errors
    """

    def __init__(self, peer: str) -> None:
        self._peer = peer
        self._buffer = bytearray()
        self._inflater: zlib._Decompress | None = None
        # Set after the handshake has authenticated the peer.
        self.accepts_deflated = False

    def feed(self, data: bytes) -> Iterator[Message]:
        """Add received bytes and yield the messages that are complete.

        :param data: next bytes of the stream
        :return: messages in order
        :raises ProtocolError: on a bad length, type code or struct
        """
        buffer = self._buffer
        buffer += data
        offset = 0
        try:
            while len(buffer) - offset >= FRAME_HEADER.size:
                length, code = FRAME_HEADER.unpack_from(buffer, offset)
                self._check_header(length, code)
                end = offset + 4 + length
                if len(buffer) < end:
                    break
                payload = bytes(memoryview(buffer)[offset + FRAME_HEADER.size : end])
                offset = end
                if code & DEFLATED_FLAG:
                    yield self._decode_deflated(code & ~DEFLATED_FLAG, payload)
                else:
                    yield decode_struct(MESSAGE_TYPES[code], payload, self._peer)
        finally:
            del buffer[:offset]

    def _check_header(self, length: int, code: int) -> None:
        if not 1 <= length <= FRAME_LIMIT_BYTES:
            raise self._error(f"frame length {length} is not in 1..{FRAME_LIMIT_BYTES}")
        if code & DEFLATED_FLAG and not self.accepts_deflated:
            raise self._error("deflated frame before the end of the handshake")
        if code & ~DEFLATED_FLAG not in MESSAGE_TYPES:
            raise self._error(f"unknown message type {code}")

    def _decode_deflated(self, code: int, payload: bytes) -> Message:
        if len(payload) < DEFLATED_LENGTH.size:
            raise self._error("deflated frame without a length")
        (size,) = DEFLATED_LENGTH.unpack_from(payload)
        end = DEFLATED_LENGTH.size + size
        if end > len(payload):
            raise self._error("deflated struct exceeds its frame")
        data = payload[DEFLATED_LENGTH.size : end] + FLUSH_MARKER
        inflater = self._inflater
        if inflater is None:
            inflater = self._inflater = zlib.decompressobj(DEFLATE_WINDOW_BITS)
        try:
            plain = inflater.decompress(data, FRAME_LIMIT_BYTES)
        except zlib.error as error:
            raise self._error(f"cannot inflate: {error}") from error
        if inflater.unconsumed_tail or inflater.eof:
            raise self._error(
                "deflated struct is too long or follows the end of stream"
            )
        message = decode_struct(MESSAGE_TYPES[code], plain, self._peer)
        if end < len(payload):
            if not hasattr(message, "body"):
                raise self._error("deflated frame has a body but its type has none")
            message.body = payload[end:]
        return message

    def _error(self, text: str) -> ProtocolError:
        return ProtocolError(text, step="read frame", peer=self._peer)
