"""Encoding of peer messages as CBOR.

>>> decode(encode(Ack(1, 2, ()))).unwrap()
Ack(probe=1, revision=2, updates=())
"""

from result import Result

from poplarfold._internal.core.message_codec import MESSAGE_MAX_BYTES, MessageCodec
from poplarfold._internal.core.messages import (
    MESSAGE_TYPES,
    PROTOCOL_VERSION,
    Ack,
    PeerMessage,
)
from poplarfold._internal.exceptions import PeerProtocolError

__all__ = ["MESSAGE_MAX_BYTES", "Ack", "decode", "encode"]

CODEC = MessageCodec(MESSAGE_TYPES, PROTOCOL_VERSION)


def encode(message: PeerMessage) -> bytes:
    """Encode a message as one CBOR map."""
    return CODEC.encode(message)


def decode(data: bytes) -> Result[PeerMessage | None, PeerProtocolError]:
    """Decode a message. An unknown type, of a later release, yields Ok(None)."""
    return CODEC.decode(data)
