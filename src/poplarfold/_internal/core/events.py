"""The inbox of the core: what I/O reports and what systems tell each other.

All times are seconds of the node's monotonic clock. Events from I/O may come
late, twice or out of order; the systems must accept that.
"""

from typing import NamedTuple

from poplarfold._internal.core.messages import PeerMessage
from poplarfold._internal.core.model import (
    EndpointRef,
    EndpointRole,
    HostKey,
    Identity,
    Placement,
)
from poplarfold._internal.exceptions import PoplarfoldError

# From the front end.


class CallArrived(NamedTuple):
    """A caller's request was read and its account is known.

    ``prefixes`` are digests of the growing prefixes of the prompt, one for
    each block of PREFIX_BLOCK_TOKENS tokens. ``deadline`` is absolute.
    """

    call_id: str
    account: str
    entry: str
    is_model_call: bool
    prompt_tokens: int
    prompt_bytes: int
    prefixes: tuple[str, ...]
    max_outputs: int
    deadline: float
    idempotency_key: str | None = None
    idempotency_age_s: float | None = None
    body_digest: str = ""


class CallerGone(NamedTuple):
    """The caller closed its connection."""

    call_id: str


# From the thread that runs an attempt.


class PrefillDone(NamedTuple):
    """The prefill engine finished."""

    attempt_id: str
    tokens: int
    cached_tokens: int
    duration_s: float


class FirstOutput(NamedTuple):
    """The first output of the attempt reached the caller's stream."""

    attempt_id: str


class AttemptEnded(NamedTuple):
    """The attempt is over on this node's side.

    ``error`` is None when the endpoint finished the whole answer. ``sent`` is
    true if any byte of a service call may have reached the endpoint.
    ``outputs`` counts outputs passed on over all attempts of the call.
    ``failed_endpoint`` is the one that caused the error, if known.
    """

    attempt_id: str
    error: PoplarfoldError | None
    sent: bool
    outputs: int
    mean_interval_s: float = 0.0
    failed_endpoint: str | None = None
    answer_status: int = 0
    answer_body: bytes = b""


class CancelConfirmed(NamedTuple):
    """The endpoint confirmed that it holds nothing for the attempt."""

    attempt_id: str
    address: str


class CancelFailed(NamedTuple):
    """A cancel got no confirmation; ``refused`` means nobody listens there."""

    attempt_id: str
    address: str
    refused: bool


# From the clients of endpoints and the host list.


class WorkItem(NamedTuple):
    """One attempt that an endpoint reports to hold."""

    attempt_id: str
    owner: HostKey
    state: str


class EndpointReported(NamedTuple):
    """A load report of an endpoint. It lags behind the endpoint's true state."""

    address: str
    incarnation: int
    identity: Identity
    role: EndpointRole
    slots: int
    busy: int
    queued_tokens: int
    pieces_total: int
    pieces_free: int
    leaving: bool
    fences: bool
    knows_operations: bool
    work: tuple[WorkItem, ...]
    cache_seq: int


class EndpointPollFailed(NamedTuple):
    """A poll of an endpoint failed on a fresh connection."""

    address: str
    refused: bool


class CacheChange(NamedTuple):
    """One prefix that an engine stored or evicted."""

    seq: int
    stored: bool
    prefix: str


class CacheChanged(NamedTuple):
    """Cache events of one engine, late and perhaps with gaps.

    ``oldest`` is the lowest sequence number that the engine still keeps.
    """

    address: str
    incarnation: int
    changes: tuple[CacheChange, ...]
    oldest: int


class ListedHost(NamedTuple):
    """One row of the platform's host list."""

    host: str
    address: str
    kind: str
    domain: str
    service: str
    leaving: bool


class HostsListed(NamedTuple):
    """The platform's host list, which lags."""

    version: int
    hosts: tuple[ListedHost, ...]


class OrderAnswered(NamedTuple):
    """An endpoint answered an order."""

    order_id: str
    address: str
    accepted: bool
    stale_fencing: bool


# From the log client.


class LogRecord(NamedTuple):
    """One record of a stream."""

    offset: int
    record_id: str
    data: bytes


class LogRead(NamedTuple):
    """An answer to ReadLog. ``first`` is the lowest offset still kept.

    ``next_offset`` is the offset after the stream's last record.
    """

    stream: str
    start: int
    first: int
    next_offset: int
    records: tuple[LogRecord, ...]


class LogReadFailed(NamedTuple):
    """The log could not be read; ``expired`` if the start is below ``first``."""

    stream: str
    start: int
    expired: bool
    first: int


class LogAppended(NamedTuple):
    """The log confirmed an append."""

    stream: str
    record_id: str
    offset: int


class LogAppendFailed(NamedTuple):
    """An append failed. If ``unknown``, it may have taken effect all the same."""

    stream: str
    record_id: str
    unknown: bool


# From the peer link.


class PeerReceived(NamedTuple):
    """A peer sent a message. ``sender`` was authenticated by the link."""

    sender: HostKey
    message: PeerMessage


class PeerConnectFailed(NamedTuple):
    """No connection to a peer; ``refused`` means that no process listens."""

    host: str
    refused: bool


# From operators.


class DrainRequested(NamedTuple):
    """A planned stop begins: take no new calls and finish the open ones."""


class EntryProposed(NamedTuple):
    """An operator publishes (base -1) or amends an entry."""

    request_id: str
    operator: str
    base_revision: int
    entry_json: bytes


# Between systems, within one step.


class ClaimWanted(NamedTuple):
    """A non-repeatable call needs its claim."""

    call_id: str


class ClaimWon(NamedTuple):
    """The call holds the first claim; ``fencing`` is its log offset.

    ``may_have_run`` is set if the call continues the operation of a dead node.
    """

    call_id: str
    operation_id: str
    fencing: int
    may_have_run: bool = False


class ClaimLost(NamedTuple):
    """Another claim came first. Either ``error`` or the recorded answer is set."""

    call_id: str
    error: PoplarfoldError | None
    answer_status: int = 0
    answer_body: bytes = b""


class ClaimRefused(NamedTuple):
    """No claim could be made, and the call will never be sent."""

    call_id: str
    error: PoplarfoldError


class PlacementWanted(NamedTuple):
    """A call needs endpoints. ``excluded`` are addresses not to use again.

    ``only`` names the one endpoint process that may be asked again about an
    operation that it may have run.
    """

    call_id: str
    excluded: tuple[str, ...] = ()
    only: EndpointRef | None = None


class Placed(NamedTuple):
    """Placement found endpoints."""

    call_id: str
    placement: Placement


class PlacementRefused(NamedTuple):
    """Placement gives the call up."""

    call_id: str
    error: PoplarfoldError


class AttemptClosed(NamedTuple):
    """The attempt holds nothing any more on this node: release its lease."""

    call_id: str
    attempt_id: str
    placement: Placement
    error: PoplarfoldError | None


class CallEnded(NamedTuple):
    """The call is over; ``error`` is None if its answer is whole.

    ``sent`` is true if a service call may have reached an endpoint.
    """

    call_id: str
    error: PoplarfoldError | None
    sent: bool
    answer_status: int = 0
    answer_body: bytes = b""


class MemberDied(NamedTuple):
    """The verdict that a process of a host is dead (never only silent)."""

    member: HostKey


class NodePaused(NamedTuple):
    """This process did not run for ``seconds``; others may have given it up."""

    seconds: float


class Checkpoint(NamedTuple):
    """The newest whole checkpoint of a stream: all records below ``offset``."""

    offset: int
    bodies: tuple[bytes, ...]


class CheckpointsRead(NamedTuple):
    """The checkpoints that the log holds; None if there is no valid one."""

    catalogue: Checkpoint | None
    claims: Checkpoint | None


class OwnershipChanged(NamedTuple):
    """The live members of this node's domain changed."""


class EndpointLeft(NamedTuple):
    """An endpoint gave a first sign of leaving, or is gone."""

    address: str
    incarnation: int


class EntryInForce(NamedTuple):
    """The catalogue fold made this revision of an entry current."""

    name: str
    revision: int


Event = NamedTuple
