"""The messages with which a node asks a peer for a connection to an endpoint.

Each message is one CBOR map, see ``core/message_codec``, after its length in four
bytes. Once a tunnel is open, the node sends the bytes for the endpoint as they are. The
peer sends those of the endpoint in frames, each after its length in four bytes. A frame
of length 0 says that the endpoint has ended the connection in order; without it, the
end of the tunnel is a broken connection.
"""

import struct
from enum import StrEnum
from typing import Any, NamedTuple

from result import Result

from poplarfold._internal.core.message_codec import MessageCodec
from poplarfold._internal.exceptions import PeerProtocolError

__all__ = [
    "FRAME_LENGTH",
    "MESSAGE_LIMIT_BYTES",
    "OpenTunnel",
    "TunnelOutcome",
    "TunnelReply",
    "pack",
    "unpack",
]

PROTOCOL_VERSION = 1
FRAME_LENGTH = struct.Struct(">I")
MESSAGE_LIMIT_BYTES = 4_096


class TunnelOutcome(StrEnum):
    """What a peer answers to the question for a tunnel."""

    OPEN = "open"
    # The peer does not reach the endpoint either, or reaches it through others only.
    UNREACHABLE = "unreachable"
    CUT_OFF = "cut_off"
    # The endpoint leaves, or wants no calls from the peer, by what it told the peer.
    AWAY = "away"
    # The peer does not know the endpoint, or serves no tunnel at the moment.
    UNKNOWN = "unknown"
    BUSY = "busy"


class OpenTunnel(NamedTuple):
    """Asks for a connection to an incarnation of an endpoint.

    ``host`` is the node that asks, and ``peer`` the one that it wants to reach. Another
    node may have taken over its address. The request is over after ``time_left_s``; 0
    if that is not known, as in earlier releases.
    """

    host: str
    peer: str
    endpoint_id: str
    incarnation: int
    time_left_s: float = 0.0


class TunnelReply(NamedTuple):
    """The answer: one of ``TunnelOutcome``, or a word of a later release."""

    outcome: str


CODEC = MessageCodec((OpenTunnel, TunnelReply), PROTOCOL_VERSION)


def pack(message: Any) -> bytes:
    """Return a message with its length."""
    data = CODEC.encode(message)
    return FRAME_LENGTH.pack(len(data)) + data


def unpack(data: bytes) -> Result[Any, PeerProtocolError]:
    """Decode a message without its length."""
    return CODEC.decode(data)
