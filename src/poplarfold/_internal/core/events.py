"""Events that the core handles, from the I/O layer and between its systems.

All times are in seconds of the node's monotonic clock. Events from I/O may be
late, duplicated or out of order, and the systems must handle that.
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

# Events from the front end.


class CallArrived(NamedTuple):
    """A caller's request was read and its account identified.

    ``prefixes`` are digests of the prompt's prefixes, one at the end of each block
    of PREFIX_BLOCK_TOKENS tokens. ``deadline`` is a time, not a duration.
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


class CallerDisconnected(NamedTuple):
    """The caller closed its connection."""

    call_id: str


# Events from the thread that runs an attempt.


class PrefillDone(NamedTuple):
    """The prefill engine finished the prefill of an attempt."""

    attempt_id: str
    tokens: int
    cached_tokens: int
    duration_s: float


class FirstOutput(NamedTuple):
    """The first output of an attempt was written to the caller's stream."""

    attempt_id: str


class AttemptEnded(NamedTuple):
    """The attempt has ended on this node.

    ``error`` is None if the endpoint completed the answer. ``sent`` is true if any
    byte of a service call may have reached the endpoint. ``outputs`` is the number
    of outputs forwarded to the caller in all attempts of the call.
    ``failed_endpoint`` is the endpoint that caused the error, if known.
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
    """The endpoint confirmed that it holds no resources for the attempt."""

    attempt_id: str
    address: str


class CancelFailed(NamedTuple):
    """A cancel was not confirmed.

    ``connection_refused`` means that no process listens there.
    """

    attempt_id: str
    address: str
    connection_refused: bool


# Events from the clients of endpoints and of the host list.


class WorkItem(NamedTuple):
    """One attempt for which an endpoint reports that it holds resources."""

    attempt_id: str
    owner: HostKey
    state: str


class EndpointReported(NamedTuple):
    """A load report of an endpoint, which may be out of date.

    ``leaving`` means that the endpoint is shutting down.
    ``rejects_stale_fencing`` means that it rejects outdated fencing numbers, and
    ``knows_operations`` that it recognises a repeated operation id. ``work`` lists
    the attempts that it holds.
    """

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
    rejects_stale_fencing: bool
    knows_operations: bool
    work: tuple[WorkItem, ...]
    cache_seq: int


class EndpointPollFailed(NamedTuple):
    """A poll of an endpoint failed on a new connection.

    ``connection_refused`` means that the connection was refused.
    """

    address: str
    connection_refused: bool


class CacheEvent(NamedTuple):
    """One prefix that an engine stored in its cache or evicted from it."""

    seq: int
    stored: bool
    prefix: str


class CacheEventsReceived(NamedTuple):
    """Cache events of one engine, which may be late and have gaps.

    ``oldest`` is the lowest sequence number that the engine retains.
    """

    address: str
    incarnation: int
    changes: tuple[CacheEvent, ...]
    oldest: int


class HostListRow(NamedTuple):
    """One row of the platform's host list."""

    host: str
    address: str
    kind: str
    domain: str
    service: str
    leaving: bool


class HostListReceived(NamedTuple):
    """The platform's host list, which may be out of date."""

    version: int
    hosts: tuple[HostListRow, ...]


class OrderAnswered(NamedTuple):
    """An endpoint answered an order.

    ``stale_fencing`` means that it rejected the order's fencing number as outdated.
    """

    order_id: str
    address: str
    accepted: bool
    stale_fencing: bool


# Events from the log client.


class LogRecord(NamedTuple):
    """One record of a log stream."""

    offset: int
    record_id: str
    data: bytes


class LogReadCompleted(NamedTuple):
    """The response to ReadLog.

    ``first`` is the lowest offset that the log retains. ``next_offset`` is the
    offset after the stream's last record.
    """

    stream: str
    start: int
    first: int
    next_offset: int
    records: tuple[LogRecord, ...]


class LogReadFailed(NamedTuple):
    """A read of the log failed.

    ``expired`` means that ``start`` is below ``first``, the lowest retained offset.
    """

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
    """An append failed. If ``unknown`` is true, it may still have taken effect."""

    stream: str
    record_id: str
    unknown: bool


# Events from the peer link.


class PeerReceived(NamedTuple):
    """A peer sent a message. The peer link has authenticated ``sender``."""

    sender: HostKey
    message: PeerMessage


class PeerConnectFailed(NamedTuple):
    """A connection to a peer failed.

    ``connection_refused`` means that it was refused: no process listens there.
    """

    host: str
    connection_refused: bool


# Events from operators.


class DrainRequested(NamedTuple):
    """A planned stop starts: reject new calls and finish the open ones."""


class EntryProposed(NamedTuple):
    """An operator publishes an entry (base revision -1) or amends one."""

    request_id: str
    operator: str
    base_revision: int
    entry_json: bytes


# Events between systems, handled within the step that posts them.


class ClaimRequested(NamedTuple):
    """A non-repeatable call needs a claim on its key."""

    call_id: str


class ClaimWon(NamedTuple):
    """The call holds the claim on its key.

    ``fencing`` is the log offset of the claim. ``may_have_run`` is set if the call
    takes over the operation of a dead node.
    """

    call_id: str
    operation_id: str
    fencing: int
    may_have_run: bool = False


class ClaimLost(NamedTuple):
    """An earlier claim on the key takes precedence.

    Either ``error`` or the recorded answer of the operation is set.
    """

    call_id: str
    error: PoplarfoldError | None
    answer_status: int = 0
    answer_body: bytes = b""


class ClaimFailed(NamedTuple):
    """The call has no claim and must not be sent to an endpoint.

    Either no claim could be made, or another node has taken over the operation.
    """

    call_id: str
    error: PoplarfoldError


class PlacementRequested(NamedTuple):
    """A call needs endpoints.

    ``excluded`` are addresses that must not be used again. ``only`` restricts the
    placement to one endpoint process: the one that may have run the operation.
    """

    call_id: str
    excluded: tuple[str, ...] = ()
    only: EndpointRef | None = None


class CallPlaced(NamedTuple):
    """Placement selected endpoints for a call."""

    call_id: str
    placement: Placement


class PlacementFailed(NamedTuple):
    """Placement rejected a call for good, for the reason in ``error``."""

    call_id: str
    error: PoplarfoldError


class AttemptClosed(NamedTuple):
    """The attempt holds no resources on this node, so its lease can be released."""

    call_id: str
    attempt_id: str
    placement: Placement
    error: PoplarfoldError | None


class CallEnded(NamedTuple):
    """The call has ended. ``error`` is None if its answer is complete.

    ``sent`` is true if a service call may have reached an endpoint.
    """

    call_id: str
    error: PoplarfoldError | None
    sent: bool
    answer_status: int = 0
    answer_body: bytes = b""


class MemberDeclaredDead(NamedTuple):
    """A node process was found to be dead.

    A process that is only unresponsive is not reported as dead.
    """

    member: HostKey


class NodePaused(NamedTuple):
    """This process was suspended for ``seconds``.

    In the meantime other nodes may have declared it dead.
    """

    seconds: float


class Checkpoint(NamedTuple):
    """The newest complete checkpoint of a stream, for all records below ``offset``."""

    offset: int
    bodies: tuple[bytes, ...]


class CheckpointsRead(NamedTuple):
    """The newest checkpoint of each stream, or None if there is no valid one."""

    catalogue: Checkpoint | None
    claims: Checkpoint | None


class OwnershipChanged(NamedTuple):
    """The live members of this node's domain changed.

    The ownership of cells may have changed with them.
    """


class EndpointLeaving(NamedTuple):
    """An endpoint gave its first sign of leaving.

    ``incarnation`` is 0 if the sign came from the host list.
    """

    address: str
    incarnation: int


class EntryRevisionApplied(NamedTuple):
    """A revision of an entry became current in this node's catalogue."""

    name: str
    revision: int


Event = NamedTuple
