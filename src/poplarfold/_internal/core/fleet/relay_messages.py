"""Messages between a relay and the nodes that subscribe to it.

Each message is one CBOR map; see ``core/message_codec``.

    >>> CODEC.decode(CODEC.encode(Subscribe("a", 1, "b"))).unwrap()
    Subscribe(host='a', incarnation=1, relay='b', known=())
"""

from typing import NamedTuple

from poplarfold._internal.core.fleet.keyed_view import ViewRecord
from poplarfold._internal.core.message_codec import MessageCodec

__all__ = [
    "CODEC",
    "CostReport",
    "FleetCost",
    "KnownTopic",
    "Subscribe",
    "TopicRecords",
]

PROTOCOL_VERSION = 1


class KnownTopic(NamedTuple):
    """A topic, and the offset before which the subscriber knows all of its records."""

    topic: str
    end: int


class Subscribe(NamedTuple):
    """Asks for all topics; the first message on a connection.

    ``relay`` is the host that the sender wants to reach. Another host may have taken
    over its address. For each topic in ``known``, only later records are sent.
    """

    host: str
    incarnation: int
    relay: str
    known: tuple[KnownTopic, ...] = ()


class TopicRecords(NamedTuple):
    """The changes of a topic up to ``end``, or all of its records if it is a snapshot.

    ``age_s`` is the time between the relay's read of the store and this message.
    Without ``records``, the message says that nothing has changed.
    """

    topic: str
    end: int
    age_s: float
    is_snapshot: bool
    records: tuple[ViewRecord, ...]


class CostReport(NamedTuple):
    """What the sender has learned about the cost of a stream."""

    prefill_count: int
    stream_count: int
    prompt_tokens: float
    prefill_tokens_per_s: float
    decode_s: float
    reserved_tokens: float
    prefill_wait_s: float = 0.0
    slot_wait_s: float = 0.0


class FleetCost(NamedTuple):
    """What all subscribers of a relay and the relay itself have learned."""

    cost: CostReport


CODEC = MessageCodec((Subscribe, TopicRecords, CostReport, FleetCost), PROTOCOL_VERSION)
