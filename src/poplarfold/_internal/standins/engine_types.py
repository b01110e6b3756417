"""Data types of a model engine: configuration, work, prefills and streams."""

from typing import NamedTuple

from poplarfold._internal.core.model import EndpointRole, HostKey, Identity

__all__ = [
    "EngineConfig",
    "FinishedStream",
    "HeldResult",
    "KvExport",
    "PrefillJob",
    "Stream",
    "Work",
    "pieces_for",
]

PIECE_TOKENS = 128
PREFIX_BLOCK_TOKENS = 256


class EngineConfig(NamedTuple):
    """Capacities, speeds and behaviour of one engine.

    With the default step times a step of a full batch of 20 takes 28 ms, and a
    prefill of 4,000 tokens costs as much engine time as 75 outputs. An engine with
    ``rejects_stale_fencing`` rejects orders whose fencing number is below the highest
    it has seen. An engine without ``checks_identity`` serves its loaded model to
    every request.
    """

    address: str
    identity: Identity
    role: EndpointRole
    incarnation: int = 1
    slots: int = 20
    pieces_total: int = 2000
    piece_tokens: int = PIECE_TOKENS
    prefill_tokens_per_s: float = 40_000.0
    prefill_overhead_s: float = 0.005
    prefill_batch_tokens: int = 8192
    prefill_batch_size: int = 8
    kv_lifetime_s: float = 0.8
    step_base_s: float = 0.012
    step_per_request_s: float = 0.0008
    import_tokens_per_s: float = 400_000.0
    import_base_s: float = 0.002
    lease_s: float = 3.0
    cache_blocks: int = 2000
    block_tokens: int = PREFIX_BLOCK_TOKENS
    report_lag_s: float = 0.2
    cache_lag_s: float = 0.5
    cache_gap_share: float = 0.0
    load_duration_s: float = 2.0
    rejects_stale_fencing: bool = True
    checks_identity: bool = True


class Work(NamedTuple):
    """A request for work: the attempt, its node and the pinned identity.

    Prefills with a lower ``priority`` number run first.
    """

    attempt: str
    owner: HostKey
    identity: Identity
    priority: int = 0


class KvExport(NamedTuple):
    """A prefill result that a decode engine may import until ``expires_at``."""

    source: str
    handle: str
    tokens: int
    key: str
    expires_at: float


def pieces_for(tokens: int, piece_tokens: int = PIECE_TOKENS) -> int:
    """Return the number of memory pieces that ``tokens`` need."""
    return max(1, -(-tokens // piece_tokens))


class PrefillJob:
    """A prefill that is queued, running or held as a result."""

    __slots__ = (
        "arrived_at",
        "cached",
        "key",
        "pieces",
        "prefixes",
        "started_at",
        "state",
        "tokens",
        "work",
    )

    def __init__(
        self, work: Work, tokens: int, key: str, prefixes: tuple[str, ...], now: float
    ) -> None:
        self.work = work
        self.tokens = tokens
        self.key = key
        self.prefixes = prefixes
        self.arrived_at = now
        self.started_at = 0.0
        self.cached = 0
        self.pieces = 0
        self.state = "queued"


class HeldResult(NamedTuple):
    """A prefill result held in memory."""

    job: PrefillJob
    export: KvExport


class Stream:
    """A decode slot, from its reservation to the last output."""

    __slots__ = (
        "first_at",
        "held_since",
        "join_step",
        "key",
        "lease_until",
        "pieces",
        "resume_from",
        "state",
        "total",
        "work",
    )

    def __init__(self, work: Work, pieces: int, now: float, lease_until: float) -> None:
        self.work = work
        self.pieces = pieces
        self.held_since = now
        self.lease_until = lease_until
        self.state = "reserved"
        self.key = ""
        self.resume_from = 0
        self.total = 0
        self.join_step = 0
        self.first_at = 0.0


class FinishedStream(NamedTuple):
    """Record of an ended decode, from which a reader can still read outputs."""

    key: str
    resume_from: int
    total: int
