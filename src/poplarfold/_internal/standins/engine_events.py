"""What happens inside a model engine, as rows that ``advance`` returns."""

from typing import NamedTuple

from poplarfold._internal.standins.engine_rows import KvExport

__all__ = [
    "DecodeFailed",
    "DecodeFinished",
    "EngineEvent",
    "FirstOutputMade",
    "KvImported",
    "LeaseExpired",
    "MemoryFreed",
    "PrefillFinished",
    "PrefillWasted",
]


class PrefillFinished(NamedTuple):
    """A prefill is done; its KV is kept until ``export.expires_at``."""

    at: float
    attempt: str
    export: KvExport
    cached_tokens: int
    queued_s: float


class PrefillWasted(NamedTuple):
    """Prefill work whose result was never imported. Cached tokens don't count."""

    at: float
    attempt: str
    tokens: int
    reason: str


class KvImported(NamedTuple):
    """A transfer has ended; the source may free the result."""

    at: float
    attempt: str
    source: str
    handle: str


class FirstOutputMade(NamedTuple):
    """A stream made its first output."""

    at: float
    attempt: str


class DecodeFinished(NamedTuple):
    """A stream made its last output. ``outputs`` counts those of this engine."""

    at: float
    attempt: str
    outputs: int
    first_at: float
    mean_interval_s: float


class DecodeFailed(NamedTuple):
    """A decode ended with an error of the protocol."""

    at: float
    attempt: str
    code: str


class LeaseExpired(NamedTuple):
    """A reserved slot was not used in time."""

    at: float
    attempt: str


class MemoryFreed(NamedTuple):
    """An attempt holds no memory on this engine any more."""

    at: float
    attempt: str
    pieces: int
    held_s: float


EngineEvent = (
    PrefillFinished
    | PrefillWasted
    | KvImported
    | FirstOutputMade
    | DecodeFinished
    | DecodeFailed
    | LeaseExpired
    | MemoryFreed
)
