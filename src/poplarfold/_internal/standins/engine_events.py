"""Events of a model engine, as returned by ``EngineModel.advance``."""

from typing import NamedTuple

from poplarfold._internal.standins.engine_types import KvExport

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
    """A prefill has finished. Its KV is kept until ``export.expires_at``."""

    at: float
    attempt: str
    export: KvExport
    cached_tokens: int
    queued_s: float


class PrefillWasted(NamedTuple):
    """Prefill work whose result was never imported.

    ``tokens`` does not include cached tokens.
    """

    at: float
    attempt: str
    tokens: int
    reason: str


class KvImported(NamedTuple):
    """A KV transfer has ended, so the source may free the result."""

    at: float
    attempt: str
    source: str
    handle: str


class FirstOutputMade(NamedTuple):
    """A stream made its first output."""

    at: float
    attempt: str


class DecodeFinished(NamedTuple):
    """A stream made its last output. ``outputs`` counts only this engine's."""

    at: float
    attempt: str
    outputs: int
    first_at: float
    mean_interval_s: float


class DecodeFailed(NamedTuple):
    """A decode failed with an error code of the endpoint protocol."""

    at: float
    attempt: str
    code: str


class LeaseExpired(NamedTuple):
    """The lease of a reserved slot expired before a decode used it."""

    at: float
    attempt: str


class MemoryFreed(NamedTuple):
    """Memory of an attempt was freed after ``held_s`` seconds."""

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
