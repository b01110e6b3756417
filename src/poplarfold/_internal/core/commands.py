"""The outbox of the core: what I/O is asked to do.

Every command that can fail leads to an event that says how it went.
"""

from typing import NamedTuple

from poplarfold._internal.core.messages import PeerMessage
from poplarfold._internal.core.model import Identity, Placement
from poplarfold._internal.exceptions import PoplarfoldError


class StartAttempt(NamedTuple):
    """Run one attempt of a call in the thread that waits for it.

    ``resume_from`` is the sequence number of the next output that the caller
    needs. ``operation_id`` and ``fencing`` are set for non-repeatable calls.
    """

    call_id: str
    attempt_id: str
    placement: Placement
    identity: Identity
    resume_from: int
    max_outputs: int
    operation_id: str | None
    fencing: int


class FinishCall(NamedTuple):
    """Release the waiting caller.

    Either ``error`` is set, or the recorded answer of a non-repeatable call,
    or neither when the attempt has already passed the whole answer on.
    """

    call_id: str
    error: PoplarfoldError | None
    answer_status: int = 0
    answer_body: bytes = b""


class AbortAttempt(NamedTuple):
    """Close the attempt's connections, so that its thread stops waiting."""

    attempt_id: str


class CancelWork(NamedTuple):
    """Ask an endpoint to drop all it holds for an attempt.

    Leads to CancelConfirmed or CancelFailed; the core repeats it.
    """

    attempt_id: str
    address: str


class PollEndpoint(NamedTuple):
    """Fetch a load report. Leads to EndpointReported or EndpointPollFailed."""

    address: str


class FetchCacheEvents(NamedTuple):
    """Fetch cache events after ``after``. Leads to CacheChanged."""

    address: str
    after: int


class SendOrder(NamedTuple):
    """Order an endpoint to load a version or change role."""

    order_id: str
    address: str
    kind: str
    identity: Identity
    role: str
    fencing: int


class ReadLog(NamedTuple):
    """Read a stream from ``start``, waiting up to ``wait_s`` for new records."""

    stream: str
    start: int
    limit: int
    wait_s: float


class AppendLog(NamedTuple):
    """Append a record. Leads to LogAppended or LogAppendFailed."""

    stream: str
    record_id: str
    data: bytes


class SendPeer(NamedTuple):
    """Send a message to a node; it may be lost."""

    host: str
    message: PeerMessage


class AnswerOperator(NamedTuple):
    """Answer an operator's request."""

    request_id: str
    error: PoplarfoldError | None
    body: bytes


class Log(NamedTuple):
    """Write a numbered event. ``fields`` are JSON values."""

    number: str
    call_id: str | None
    fields: dict[str, object]


class Stop(NamedTuple):
    """Everything is finished after a drain: the process may end."""


Command = NamedTuple
