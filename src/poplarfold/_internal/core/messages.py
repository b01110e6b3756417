"""Messages between nodes.

Each message is a NamedTuple with a ``type_code``, the ``t`` field on the
wire. The peer link encodes the fields by name as a CBOR map and ignores
fields that it does not know, so that two releases can talk to each other.
"""

from typing import NamedTuple

from poplarfold._internal.core.model import EndpointRef

PROTOCOL_VERSION = 1


class Hello(NamedTuple):
    """The first message on a connection, in both directions."""

    host: str
    incarnation: int
    domain: str


class Ping(NamedTuple):
    """A membership probe with piggybacked member updates.

    Each update is (host, incarnation, state, domain, address). ``revision`` is
    the sender's catalogue revision.
    """

    probe: int
    revision: int
    updates: tuple[tuple[str, int, str, str, str], ...]


class Ack(NamedTuple):
    """The answer to Ping."""

    probe: int
    revision: int
    updates: tuple[tuple[str, int, str, str, str], ...]


class PingRequest(NamedTuple):
    """Asks a member to probe ``target`` for the sender."""

    probe: int
    target: str


class DomainSummary(NamedTuple):
    """What a relay tells the relays of other domains, once a second.

    ``capacity`` rows are (owner, service, version, free slots, backlog ms).
    ``in_force`` is the lowest revision of the domain's live nodes. ``version``
    numbers the summaries of the relay ``origin``, as members pass them on.
    """

    domain: str
    members: tuple[tuple[str, int, str, str, str], ...]
    revision: int
    capacity: tuple[tuple[str, str, str, int, int], ...]
    in_force: int = -1
    origin: str = ""
    version: int = 0


class HostsWanted(NamedTuple):
    """Asks a peer for its host list, when the platform's does not answer."""

    domain: str


class HostsKnown(NamedTuple):
    """A peer's host list: the entry hosts, and the endpoints of one region.

    Each row is (host, address, kind, domain, service, leaving).
    """

    version: int
    hosts: tuple[tuple[str, str, str, str, str, bool], ...]


class CatalogueWanted(NamedTuple):
    """Asks a peer for its catalogue, when the log does not answer."""

    above_revision: int


class CatalogueState(NamedTuple):
    """A peer's catalogue as a checkpoint body, with the offset it covers."""

    offset: int
    body: bytes


class PlaceWanted(NamedTuple):
    """Asks a cell owner for a placement of one call.

    ``wait_s`` is the time left until the deadline, as clocks differ by host.
    ``ask`` numbers the placements of a call: a repeat of one number gets the
    same answer, and a higher one says that the lease of the last is over. Unless
    ``may_wait``, the owner answers at once. ``only`` names the one endpoint
    process that may be used. ``cell`` is the index of the cell.
    """

    call_id: str
    entry: str
    account: str
    prompt_tokens: int
    prompt_bytes: int
    prefixes: tuple[str, ...]
    max_outputs: int
    wait_s: float
    waited_s: float
    excluded: tuple[str, ...]
    is_retry: bool
    ask: int = 0
    may_wait: bool = True
    only: EndpointRef | None = None
    cell: int = 0


class PlaceGranted(NamedTuple):
    """A cell owner's answer. ``start_in_s`` counts from its receipt."""

    call_id: str
    lease_id: str
    prefill: EndpointRef | None
    decode: EndpointRef
    start_in_s: float
    priority: int
    ask: int = 0
    knows_operations: bool = False


class PlaceDenied(NamedTuple):
    """A cell owner's refusal, with the code of the error.

    The code ``queued`` confirms that the call waits at the owner. ``wait_ms``
    is the wait that the owner predicts.
    """

    call_id: str
    code: str
    detail: str
    ask: int = 0
    wait_ms: int = 0


class PlaceWithdrawn(NamedTuple):
    """The caller of a waiting call has gone, or it waits elsewhere."""

    call_id: str
    ask: int = 0


class LeaseReleased(NamedTuple):
    """The attempt under this lease is over."""

    lease_id: str
    error_code: str
    failed_endpoint: str
    mean_interval_s: float


class LeaseProgress(NamedTuple):
    """The prefill under this lease is done."""

    lease_id: str
    prefill_s: float


class LeasesHeld(NamedTuple):
    """Tells a new cell owner which leases this node still holds.

    Each row is (lease id, call id, decode address, decode incarnation).
    """

    leases: tuple[tuple[str, str, str, int], ...]


class CancelWanted(NamedTuple):
    """Asks a cell owner to see to the cancel of an attempt."""

    attempt_id: str
    address: str


PeerMessage = (
    Hello
    | Ping
    | Ack
    | PingRequest
    | DomainSummary
    | HostsWanted
    | HostsKnown
    | CatalogueWanted
    | CatalogueState
    | PlaceWanted
    | PlaceGranted
    | PlaceDenied
    | PlaceWithdrawn
    | LeaseReleased
    | LeaseProgress
    | LeasesHeld
    | CancelWanted
)

MESSAGE_TYPES: tuple[type, ...] = PeerMessage.__args__
