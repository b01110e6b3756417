"""Row types that several systems of the core share."""

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

# Engines allocate memory in pieces of this many tokens.
PIECE_TOKENS = 128
# A digest of the prompt is made for each block of this many tokens.
PREFIX_BLOCK_TOKENS = 256


class CallClass(StrEnum):
    """How calls of an entry are treated."""

    INTERACTIVE = "interactive"
    PATIENT = "patient"
    NON_REPEATABLE = "non_repeatable"


class EntryKind(StrEnum):
    """What an entry routes to."""

    MODEL = "model"
    SERVICE = "service"


class EndpointRole(StrEnum):
    """What an endpoint does at present."""

    PREFILL = "prefill"
    DECODE = "decode"
    SERVICE = "service"


class HostKey(NamedTuple):
    """One process of the system: its host id and the incarnation."""

    host: str
    incarnation: int


class Identity(NamedTuple):
    """What an endpoint serves. Equal names of other owners are other services."""

    owner: str
    service: str
    version: str


class LatencyTargets(NamedTuple):
    """The targets of a class, in seconds."""

    first_output_s: float
    between_outputs_s: float


class EntryLimits(NamedTuple):
    """Limits of one entry over all nodes. Zero means that there is no limit."""

    concurrency: int = 0
    cross_region_bytes_per_s: int = 0
    cost_per_minute: int = 0


class CatalogueEntry(NamedTuple):
    """One published routing target.

    ``revision`` is the log offset of the record that made this state current.
    An empty ``accounts`` lets every account use the entry. ``cost_per_call``
    and ``cost_per_kilotoken`` are in the operators' own cost unit.
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
    """An endpoint process: a restart at the same address is another endpoint."""

    address: str
    incarnation: int


class Placement(NamedTuple):
    """Where one attempt runs.

    ``prefill`` is None for plain services. ``start_at`` is the time at which
    the prefill should start, in seconds of this node's clock. ``fallback``
    marks a placement in another region. ``knows_operations`` tells whether the
    endpoint recognises a repeated operation id.
    """

    decode: EndpointRef
    prefill: EndpointRef | None
    lease_id: str
    start_at: float
    priority: int
    fallback: bool = False
    knows_operations: bool = False
