"""Value types that several systems of the core share."""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "PIECE_TOKENS",
    "PREFIX_BLOCK_TOKENS",
    "CallClass",
    "CatalogueEntry",
    "EndpointRef",
    "EndpointRole",
    "EntryKind",
    "EntryLimits",
    "HostKey",
    "Identity",
    "LatencyTargets",
    "Placement",
]

# Engines allocate KV memory in pieces of this many tokens.
PIECE_TOKENS = 128
# A prefix digest is computed at the end of each block of this many prompt tokens.
PREFIX_BLOCK_TOKENS = 256


class CallClass(StrEnum):
    """How calls of an entry are scheduled and retried.

    Calls of the class NON_REPEATABLE run at most once.
    """

    INTERACTIVE = "interactive"
    PATIENT = "patient"
    NON_REPEATABLE = "non_repeatable"


class EntryKind(StrEnum):
    """The kind of endpoints that an entry routes to."""

    MODEL = "model"
    SERVICE = "service"


class EndpointRole(StrEnum):
    """The current role of an endpoint."""

    PREFILL = "prefill"
    DECODE = "decode"
    SERVICE = "service"


class HostKey(NamedTuple):
    """Identifies one process by its host and incarnation."""

    host: str
    incarnation: int


class Identity(NamedTuple):
    """What an endpoint serves.

    Services of different owners are different, even if their names are equal.
    """

    owner: str
    service: str
    version: str


class LatencyTargets(NamedTuple):
    """Latency targets of an entry, in seconds."""

    first_output_s: float
    between_outputs_s: float


class EntryLimits(NamedTuple):
    """Limits of one entry, summed over all nodes. Zero means no limit."""

    concurrency: int = 0
    cross_region_bytes_per_s: int = 0
    cost_per_minute: int = 0


class CatalogueEntry(NamedTuple):
    """One published routing target.

    ``revision`` is the log offset of the record that set this state. If
    ``accounts`` is empty, every account may use the entry. ``cost_per_call`` and
    ``cost_per_kilotoken`` are in a unit that the operators choose.
    """

    name: str
    kind: EntryKind
    identity: Identity
    call_class: CallClass
    targets: LatencyTargets
    limits: EntryLimits
    accounts: tuple[str, ...] = ()
    cost_per_call: int = 0
    cost_per_kilotoken: int = 0
    revision: int = -1
    retired: bool = False


class EndpointRef(NamedTuple):
    """Identifies one endpoint process.

    A restarted process at the same address has another incarnation.
    """

    address: str
    incarnation: int


class Placement(NamedTuple):
    """The endpoints, lease and start time of one attempt.

    ``prefill`` is None for plain services. ``start_at`` is the time at which the
    prefill should start, in seconds of this node's clock. ``fallback`` marks a
    placement in another region. ``knows_operations`` says whether the endpoint
    recognises a repeated operation id.
    """

    decode: EndpointRef
    prefill: EndpointRef | None
    lease_id: str
    start_at: float
    priority: int
    fallback: bool = False
    knows_operations: bool = False
