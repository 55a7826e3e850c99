"""Mutual authentication of two processes with the shared key of the deployment."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import TYPE_CHECKING

from marjoramstep_core.errors import ProtocolError

from .codec import encode_struct
from .messages import Hello
from .messages import HelloProof
from .messages import Message


if TYPE_CHECKING:
    from marjoramstep_core.ids import ZoneName
    from marjoramstep_core.states import ConnectionClass
    from marjoramstep_core.states import Role

PROTOCOL_VERSION = 2
NONCE_BYTES = 32


def make_hello(
    process_id: str,
    role: Role,
    zone: ZoneName,
    table_version: int,
    connection_class: ConnectionClass,
) -> Hello:
    """Build a hello message with a new nonce.

    :param process_id: node id or replica id of the sender
    :param role: role of the sender
    :param zone: availability zone of the sender
    :param table_version: version of the table in force at the sender
    :param connection_class: traffic class of the connection
    :return: the message
    """
    return Hello(
        protocol_version=PROTOCOL_VERSION,
        process_id=process_id,
        role=role.value,
        nonce=secrets.token_bytes(NONCE_BYTES),
        table_version=table_version,
        connection_class=connection_class.value,
        zone=zone,
    )


class Handshake:
    """State machine of one side of the handshake; performs no I/O.

    The proof is a MAC over both hello messages, so that neither identity nor nonce can
    be replaced, and over its sender's side (client or server), so that it cannot be
    reflected.

    :param key: the deployment's key
    :param hello: hello message of this process
    :param is_client: whether this process opened the connection
    :param peer: address of the peer, for errors
    """

    def __init__(self, key: bytes, hello: Hello, is_client: bool, peer: str) -> None:
        self._key = key
        self._hello = hello
        self._is_client = is_client
        self._peer = peer
        self.peer_hello: Hello | None = None
        self.is_complete = False

    def start(self) -> list[Message]:
        """Return the messages to send when the connection opens.

        :return: the client's hello, nothing for the server
        """
        return [self._hello] if self._is_client else []

    def receive(self, message: Message) -> list[Message]:
        """Process a message of the peer.

        :param message: the message received
        :return: messages to send in reply
        :raises ProtocolError: if the message is unexpected or not valid
        """
        if isinstance(message, Hello) and self.peer_hello is None:
            return self._receive_hello(message)
        if isinstance(message, HelloProof) and self.peer_hello is not None:
            return self._receive_proof(message)
        raise self._error("unexpected message before the end of the handshake")

    def _receive_hello(self, message: Hello) -> list[Message]:
        if message.protocol_version != PROTOCOL_VERSION:
            raise self._error(
                f"protocol version {message.protocol_version} is not supported"
            )
        if len(message.nonce) != NONCE_BYTES:
            raise self._error("the nonce has the wrong length")
        self.peer_hello = message
        if self._is_client:
            return []
        return [self._hello, HelloProof(mac=self._mac(by_client=False))]

    def _receive_proof(self, message: HelloProof) -> list[Message]:
        expected = self._mac(by_client=not self._is_client)
        if not hmac.compare_digest(expected, message.mac):
            raise self._error(
                "the peer's proof is not valid; it may have another deployment key"
            )
        self.is_complete = True
        if self._is_client:
            return [HelloProof(mac=self._mac(by_client=True))]
        return []

    def _mac(self, by_client: bool) -> bytes:
        if self.peer_hello is None:
            raise self._error("cannot compute a proof before the peer's hello message")
        client, server = self._hello, self.peer_hello
        if not self._is_client:
            client, server = server, client
        side = b"client" if by_client else b"server"
        text = side + encode_struct(client) + encode_struct(server)
        return hmac.new(self._key, text, hashlib.sha256).digest()

    def _error(self, message: str) -> ProtocolError:
        return ProtocolError(message, step="handshake", peer=self._peer)
