"""Tables of claims: the fold, this node's claims, and its batches to append."""

from hashlib import blake2b
from typing import NamedTuple

from poplarfold._internal.core.claims_codec import (
    Claim,
    ClaimRow,
    Done,
    Operation,
    OutcomeUnknown,
    TakeOver,
)
from poplarfold._internal.core.events import CallArrived
from poplarfold._internal.core.log_reader import StreamReader
from poplarfold._internal.core.model import Identity
from poplarfold._internal.core.state import Table

__all__ = [
    "APPEND_INTERVAL_MIN_S",
    "STREAM",
    "AppendRow",
    "Claims",
    "HeldClaim",
    "OutcomeWaiter",
    "PendingClaim",
    "digest_of",
    "drop_pending",
    "is_claim_of",
]

STREAM = "claims"
READ_WAIT_S = 10.0
APPEND_INTERVAL_MIN_S = 0.002


class PendingClaim(NamedTuple):
    """A call that waits for the decision on its claim.

    ``takes_over`` is the offset of the claim that it tries to take over.
    """

    call_id: str
    operation_id: str
    body_digest: str
    since: float
    takes_over: int | None = None


class OutcomeWaiter(NamedTuple):
    """A call that waits for the outcome of another call with the same key."""

    digest: bytes
    since: float


class HeldClaim(NamedTuple):
    """A claim that this node holds for a call in progress."""

    digest: bytes
    claim: int


class AppendRow(NamedTuple):
    """A batch being appended to the log.

    ``offset`` is -1 until the log confirms the append. ``unknown_since`` is set if
    the response was lost, so that the append may or may not have taken effect.
    """

    operations: tuple[Operation, ...]
    sent_at: float
    offset: int = -1
    unknown_since: float | None = None


class Claims:
    """The fold of the stream ``claims``, this node's claims and its batches."""

    def __init__(self) -> None:
        self.reader = StreamReader(STREAM, READ_WAIT_S)
        self.rows: Table[bytes, ClaimRow] = Table()
        self.expired_below = 0
        self.pending: Table[bytes, PendingClaim] = Table()
        self.waiters: Table[str, OutcomeWaiter] = Table()
        self.held: Table[str, HeldClaim] = Table()
        # Outcomes recorded by this node but not read back from the log, by digest.
        self.outcomes: dict[bytes, Done | OutcomeUnknown] = {}
        self.queue: list[Operation] = []
        self.appends: Table[str, AppendRow] = Table()
        self.append_at = 0.0
        self.interval_s = APPEND_INTERVAL_MIN_S
        # The identity of each endpoint, by address, and whether it knows operations.
        self.operation_support: dict[str, tuple[Identity, bool]] = {}
        self.stop_at: float | None = None


def key_digest(entry: str, account: str, key: str) -> bytes:
    """Return the digest of (entry, account, key) that claims are keyed by."""
    digest = blake2b(digest_size=16)
    for text in (entry, account, key):
        data = text.encode()
        digest.update(len(data).to_bytes(4, "big") + data)
    return digest.digest()


def digest_of(arrival: CallArrived) -> bytes:
    return key_digest(arrival.entry, arrival.account, arrival.idempotency_key or "")


def drop_pending(part: Claims, digest: bytes, pending: PendingClaim) -> None:
    """Remove a waiting call, and its claim if that is still queued."""
    del part.pending[digest]
    part.queue = [o for o in part.queue if not is_claim_of(o, digest, pending)]


def is_claim_of(operation: Operation, digest: bytes, pending: PendingClaim) -> bool:
    if isinstance(operation, Claim):
        return operation.operation_id == pending.operation_id
    if isinstance(operation, TakeOver):
        return operation.digest == digest and operation.call_id == pending.call_id
    return False
