"""Messages between a relay and the nodes that subscribe to it.

Each message is one CBOR map; see ``core/message_codec``. A large one is compressed: a
configuration goes to all nodes of a region over the link of one relay.

    >>> unpack(pack(ClockProbe(7.5))).unwrap()
    ClockProbe(sent_at=7.5)
"""

import zlib
from collections.abc import Iterable
from typing import Any, NamedTuple

from result import Err, Result

from poplarfold._internal.core.fleet.keyed_view import TopicBatch, ViewRecord
from poplarfold._internal.core.fleet.prompt_suspects import EngineKey, PartState
from poplarfold._internal.core.message_codec import MESSAGE_MAX_BYTES, MessageCodec
from poplarfold._internal.exceptions import PeerProtocolError

__all__ = [
    "ClockProbe",
    "ClockReply",
    "CostReport",
    "FleetCost",
    "KnownTopic",
    "PartStates",
    "RegionSubscribe",
    "RegionUsage",
    "ReturnReading",
    "ReturnSeen",
    "Subscribe",
    "TopicRecords",
    "UsageLevels",
    "UsageReport",
    "pack",
    "unpack",
]

PROTOCOL_VERSION = 2
COMPRESSED_FROM_BYTES = 1_000
# The first byte of zlib data (RFC 1950) with the usual window, which no CBOR map has.
ZLIB_FIRST_BYTE = 0x78


class KnownTopic(NamedTuple):
    """A topic, and the offset before which the subscriber knows all of its records."""

    topic: str
    end: int


class Subscribe(NamedTuple):
    """Asks for all topics; the first message on a connection.

    ``relay`` is the host that the sender wants to reach. Another host may have taken
    over its address. For each topic in ``known``, only later records are sent, if its
    era in ``eras``, in the same order, is that of the relay. ``routes_version`` is that
    of the configuration in force, or -1 if it is unknown; a relay with a later one
    sends it anyway. The relay answers ``sent_at``, a time of the sender's clock, with a
    ClockReply.
    """

    host: str
    incarnation: int
    relay: str
    sent_at: float
    known: tuple[KnownTopic, ...] = ()
    eras: tuple[int, ...] = ()
    routes_version: int = -1


class ClockProbe(NamedTuple):
    """Asks for a ClockReply; ``sent_at`` is a time of the sender's clock."""

    sent_at: float


class ClockReply(NamedTuple):
    """What the relay's clock showed when it received a message of ``sent_at``."""

    sent_at: float
    relay_at: float


class TopicRecords(NamedTuple):
    """All changes of a topic from the offset ``start`` to before ``end``.

    A snapshot has all of its records instead. ``read_at`` is the time of the relay's
    clock at which all of these records were known. Without ``records``, the message
    says that nothing has changed. The offsets are those of an ``era`` of the store.
    """

    topic: str
    start: int
    end: int
    read_at: float
    is_snapshot: bool
    records: tuple[ViewRecord, ...]
    era: int = 0

    @classmethod
    def of_batch(cls, topic: str, batch: TopicBatch, read_at: float) -> "TopicRecords":
        """Return the message that carries a batch of a topic."""
        return cls(
            topic,
            batch.start,
            batch.end,
            read_at,
            batch.is_snapshot,
            batch.records,
            batch.era,
        )

    def batch(self) -> TopicBatch:
        """Return the batch of records that the message carries."""
        return TopicBatch(
            self.records, self.start, self.end, self.is_snapshot, self.era
        )


class PartRow(NamedTuple):
    """A ``PartState`` without its order.

    The rows of a message have a fixed number of columns in all releases.
    """

    part: str
    depth: int
    round: int
    blocks: int
    incidents: int
    crashes: tuple[EngineKey, ...]


class PartStates(NamedTuple):
    """Suspected parts of prompts, in either direction: all at first, then changes.

    ``sound`` are those of them that a stream was answered with before, and ``tested``
    those that a node has just begun to test. ``orders`` are those of the states, in the
    same sequence; earlier releases send none.
    """

    states: tuple[PartRow, ...]
    sound: tuple[str, ...] = ()
    tested: tuple[str, ...] = ()
    orders: tuple[int, ...] = ()

    @classmethod
    def of_states(
        cls,
        states: Iterable[PartState],
        sound: tuple[str, ...] = (),
        tested: tuple[str, ...] = (),
    ) -> "PartStates":
        """Return the message that carries some states."""
        rows = tuple(states)
        return cls(
            tuple(PartRow(*row[:-1]) for row in rows),
            sound,
            tested,
            tuple(row.order for row in rows),
        )

    def part_states(self) -> tuple[PartState, ...]:
        """Return the states that the message carries."""
        orders = self.orders or (0,) * len(self.states)
        rows = zip(self.states, orders, strict=False)
        return tuple(PartState(*row, order) for row, order in rows)


class ReturnSeen(NamedTuple):
    """A subscriber tells that the store has come back older, in an era."""

    era: int


class ReturnReading(NamedTuple):
    """A relay tells that it reads the store in an era, and repeats that meanwhile."""

    era: int


class CostReport(NamedTuple):
    """What the sender has learned about the cost of a stream.

    The last three fields are its recent waits for a slot, weighted by their age at the
    time of sending, see ``SlotWaits``.
    """

    prefill_count: int
    stream_count: int
    prompt_tokens: float
    prefill_tokens_per_s: float
    decode_s: float
    reserved_tokens: float
    prefill_wait_s: float = 0.0
    slot_wait_s: float = 0.0
    recent_waited_s: float = 0.0
    recent_placed: float = 0.0
    recent_refused: float = 0.0


class FleetCost(NamedTuple):
    """What all subscribers of a relay and the relay itself have learned."""

    cost: CostReport


class UsageReport(NamedTuple):
    """What a host has admitted and refused per account since its last report.

    ``rows`` are packed ``UsageRow``; see ``core/fleet/usage_rows``. For ``unknown_s``,
    calls of the host's former process may count that no report has told of.
    """

    rows: bytes
    unknown_s: float = 0.0


class UsageLevels(NamedTuple):
    """The room of accounts that have little left, at a time of the relay's clock.

    ``rows`` are packed ``LevelRow``.
    """

    sent_at: float
    rows: bytes


class RegionSubscribe(NamedTuple):
    """Asks a relay of another region for the usage of its region, and nothing else.

    The first message on such a connection. ``relay`` is the host that the sender wants
    to reach.
    """

    host: str
    region: str
    relay: str


class RegionUsage(NamedTuple):
    """What the hosts of a region have admitted and refused per account.

    ``hosts`` is the number of hosts that the relay hears. A snapshot has all use
    within the window, any other message that since the last one. ``rows`` are packed
    ``UsageRow``. The last two fields are an ``UnknownUse`` of the region.
    """

    hosts: int
    is_snapshot: bool
    rows: bytes
    unknown_hosts: int = 0
    unknown_s: float = 0.0


CODEC = MessageCodec(
    (
        Subscribe,
        ClockProbe,
        ClockReply,
        TopicRecords,
        PartStates,
        ReturnSeen,
        ReturnReading,
        CostReport,
        FleetCost,
        UsageReport,
        UsageLevels,
        RegionSubscribe,
        RegionUsage,
    ),
    PROTOCOL_VERSION,
)


def pack(message: Any) -> bytes:
    """Encode a message, and compress it if it is large."""
    data = CODEC.encode(message)
    return zlib.compress(data) if len(data) >= COMPRESSED_FROM_BYTES else data


def unpack(data: bytes) -> Result[Any, PeerProtocolError]:
    """Decode a message; one of an unknown type, of a later release, yields Ok(None)."""
    if data[:1] == bytes([ZLIB_FIRST_BYTE]):
        decompressor = zlib.decompressobj()
        try:
            data = decompressor.decompress(data, MESSAGE_MAX_BYTES)
        except zlib.error as error:
            return Err(PeerProtocolError(f"malformed compression: {error}"))
        if not decompressor.eof:
            return Err(PeerProtocolError("compressed message truncated or too large"))
    return CODEC.decode(data)
