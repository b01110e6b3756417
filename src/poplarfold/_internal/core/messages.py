"""Messages between nodes.

Each message is a NamedTuple. Its class name is the ``t`` field on the wire. The
peer link encodes the fields by name as a CBOR map and ignores unknown fields, so
that nodes of different releases can communicate.
"""

from typing import NamedTuple

from poplarfold._internal.core.model import EndpointRef

PROTOCOL_VERSION = 1


class Hello(NamedTuple):
    """The handshake: the first message on a connection, in both directions."""

    host: str
    incarnation: int
    domain: str


class Ping(NamedTuple):
    """A membership probe with piggybacked member updates.

    ``probe`` is the number of the probe. Each update is (host, incarnation,
    state, domain, address). ``revision`` is the sender's catalogue revision.
    """

    probe: int
    revision: int
    updates: tuple[tuple[str, int, str, str, str], ...]


class Ack(NamedTuple):
    """The response to Ping, with the same probe number."""

    probe: int
    revision: int
    updates: tuple[tuple[str, int, str, str, str], ...]


class PingRequest(NamedTuple):
    """A request to probe ``target`` for the sender (an indirect probe)."""

    probe: int
    target: str


class DomainSummary(NamedTuple):
    """The state of a domain, sent by its relay once a second.

    The recipients are the relays of other domains. ``capacity`` rows are (owner,
    service, version, free slots, backlog ms). ``in_force`` is the lowest catalogue
    revision of the domain's live nodes. Members forward summaries: ``origin`` is
    the relay that created the summary, and ``version`` numbers its summaries.
    """

    domain: str
    members: tuple[tuple[str, int, str, str, str], ...]
    revision: int
    capacity: tuple[tuple[str, str, str, int, int], ...]
    in_force: int = -1
    origin: str = ""
    version: int = 0


class HostsWanted(NamedTuple):
    """A request for a peer's host list, while the platform's is unavailable."""

    domain: str


class HostsKnown(NamedTuple):
    """A peer's host list, with the entry hosts and the endpoints of one region.

    Each row is (host, address, kind, domain, service, leaving).
    """

    version: int
    hosts: tuple[tuple[str, str, str, str, str, bool], ...]


class CatalogueWanted(NamedTuple):
    """A request for a peer's catalogue, while the log is unavailable.

    The response contains the entries whose revision is above ``above_revision``.
    """

    above_revision: int


class CatalogueState(NamedTuple):
    """A peer's catalogue as a checkpoint body that covers the log below ``offset``."""

    offset: int
    body: bytes


class PlaceWanted(NamedTuple):
    """A request to a cell owner to place one call.

    ``wait_s`` is the time left until the deadline. It is relative because clocks
    differ between hosts. ``ask`` numbers the placement requests of a call: a
    repeated number gets the same answer, and a higher number means that the lease
    of the previous placement has ended. If ``may_wait`` is false, the owner answers
    at once instead of queueing the call. ``only`` restricts the placement to one
    endpoint process. ``cell`` is the index of the cell.
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
    """A lease granted by a cell owner, in answer to PlaceWanted.

    The prefill should start ``start_in_s`` seconds after receipt.
    """

    call_id: str
    lease_id: str
    prefill: EndpointRef | None
    decode: EndpointRef
    start_in_s: float
    priority: int
    ask: int = 0
    knows_operations: bool = False


class PlaceDenied(NamedTuple):
    """A cell owner's answer to PlaceWanted that grants no place.

    ``code`` is the error code of a rejection, or ``queued`` if the call waits in
    the owner's queue. ``wait_ms`` is the wait that the owner predicts.
    """

    call_id: str
    code: str
    detail: str
    ask: int = 0
    wait_ms: int = 0


class PlaceWithdrawn(NamedTuple):
    """Withdraws PlaceWanted.

    The caller disconnected, or the call waits at another owner.
    """

    call_id: str
    ask: int = 0


class LeaseReleased(NamedTuple):
    """Tells a cell owner that the attempt under this lease has ended."""

    lease_id: str
    error_code: str
    failed_endpoint: str
    mean_interval_s: float


class LeaseProgress(NamedTuple):
    """Tells a cell owner that the prefill under this lease has finished."""

    lease_id: str
    prefill_s: float


class LeasesHeld(NamedTuple):
    """Tells a new cell owner which leases the sender still holds.

    Each row is (lease id, call id, decode address, decode incarnation).
    """

    leases: tuple[tuple[str, str, str, int], ...]


class CancelWanted(NamedTuple):
    """Asks a cell owner to cancel an attempt at an endpoint."""

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
