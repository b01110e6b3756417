"""Commands from the core to the I/O layer.

Every command that can fail results in an event that reports the outcome.
"""

from typing import NamedTuple

from poplarfold._internal.core.messages import PeerMessage
from poplarfold._internal.core.model import Identity, Placement
from poplarfold._internal.exceptions import PoplarfoldError


class StartAttempt(NamedTuple):
    """Run one attempt of a call, in the thread that serves the caller.

    ``resume_from`` is the sequence number of the next output to send to the
    caller. ``operation_id`` and the fencing number ``fencing`` are set for
    non-repeatable calls.
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
    """End a call and unblock the thread that serves its caller.

    Either ``error`` or the recorded answer of a non-repeatable call is set.
    Neither is set if the attempt has already forwarded the complete answer.
    """

    call_id: str
    error: PoplarfoldError | None
    answer_status: int = 0
    answer_body: bytes = b""


class AbortAttempt(NamedTuple):
    """Close the connections of an attempt, which unblocks its thread."""

    attempt_id: str


class CancelWork(NamedTuple):
    """Ask an endpoint to release all resources of an attempt.

    Results in CancelConfirmed or CancelFailed. The core retries failed cancels.
    """

    attempt_id: str
    address: str


class PollEndpoint(NamedTuple):
    """Fetch a load report. Results in EndpointReported or EndpointPollFailed."""

    address: str


class FetchCacheEvents(NamedTuple):
    """Fetch cache events with sequence numbers above ``after``.

    Results in CacheEventsReceived.
    """

    address: str
    after: int


class SendOrder(NamedTuple):
    """Order an endpoint to load a version or change its role."""

    order_id: str
    address: str
    kind: str
    identity: Identity
    role: str
    fencing: int


class ReadLog(NamedTuple):
    """Read at most ``limit`` records of a log stream from offset ``start``.

    The log waits up to ``wait_s`` for new records if there are none.
    """

    stream: str
    start: int
    limit: int
    wait_s: float


class AppendLog(NamedTuple):
    """Append a record to a log stream. Results in LogAppended or LogAppendFailed."""

    stream: str
    record_id: str
    data: bytes


class SendPeer(NamedTuple):
    """Send a message to a node. Delivery is not guaranteed."""

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
    """End the process, after a drain has completed."""


Command = NamedTuple
