"""Tables of the claims system: the fold, this node's claims and its batches."""

from hashlib import blake2b
from typing import NamedTuple

from poplarfold._internal.core.claims_codec import (
    Claim,
    ClaimRow,
    Done,
    Operation,
    TakeOver,
    Unknown,
)
from poplarfold._internal.core.events import CallArrived
from poplarfold._internal.core.log_reader import StreamReader
from poplarfold._internal.core.model import Identity
from poplarfold._internal.core.state import Table

__all__ = [
    "INTERVAL_MIN_S",
    "STREAM",
    "AppendRow",
    "Claims",
    "Follower",
    "HeldClaim",
    "PendingClaim",
    "digest_of",
    "drop_pending",
    "is_claim_of",
]

STREAM = "claims"
READ_WAIT_S = 10.0
INTERVAL_MIN_S = 0.002


class PendingClaim(NamedTuple):
    """A call that waits for the fate of its claim."""

    call_id: str
    operation_id: str
    body_digest: str
    since: float
    takes_over: int | None = None


class Follower(NamedTuple):
    """A call that waits for the outcome of another call with its key."""

    digest: bytes
    since: float


class HeldClaim(NamedTuple):
    """A claim that this node has won for a call in progress."""

    digest: bytes
    claim: int


class AppendRow(NamedTuple):
    """A batch on its way into the log; ``doubt_since`` after a lost answer."""

    operations: tuple[Operation, ...]
    sent_at: float
    offset: int = -1
    doubt_since: float | None = None


class Claims:
    """The fold, this node's claims, and its batches."""

    def __init__(self) -> None:
        self.reader = StreamReader(STREAM, READ_WAIT_S)
        self.rows: Table[bytes, ClaimRow] = Table()
        self.expired_below = 0
        self.pending: Table[bytes, PendingClaim] = Table()
        self.followers: Table[str, Follower] = Table()
        self.held: Table[str, HeldClaim] = Table()
        # Outcomes of this node that it has not read back yet, by digest.
        self.outcomes: dict[bytes, Done | Unknown] = {}
        self.queue: list[Operation] = []
        self.appends: Table[str, AppendRow] = Table()
        self.append_at = 0.0
        self.interval_s = INTERVAL_MIN_S
        self.rules: dict[str, tuple[Identity, bool]] = {}
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
    """Forget a waiting call and its claim, if that is still in the queue."""
    del part.pending[digest]
    part.queue = [o for o in part.queue if not is_claim_of(o, digest, pending)]


def is_claim_of(operation: Operation, digest: bytes, pending: PendingClaim) -> bool:
    if isinstance(operation, Claim):
        return operation.operation_id == pending.operation_id
    if isinstance(operation, TakeOver):
        return operation.digest == digest and operation.call_id == pending.call_id
    return False
