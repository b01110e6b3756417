"""Tables of a cell's owner: waiting calls, leases and loads of endpoints."""

from typing import NamedTuple

from poplarfold._internal.core.cells import Cell
from poplarfold._internal.core.messages import PlaceGranted, PlaceWanted
from poplarfold._internal.core.model import (
    CallClass,
    CatalogueEntry,
    EndpointRef,
    HostKey,
    Identity,
)
from poplarfold._internal.core.predictors import LinearCost, MovingMean
from poplarfold._internal.core.prefix_index import PrefixIndex
from poplarfold._internal.core.state import Table

__all__ = [
    "OUTPUT_INTERVAL_S",
    "AdmissionState",
    "FairClock",
    "LeaseRow",
    "PatientQueue",
    "WaitRow",
    "decode_load",
    "prefill_load",
]

# Priors until the first calls have been measured.
PREFILL_BASE_S = 0.005
PREFILL_PER_TOKEN_S = 1 / 40_000
OUTPUT_INTERVAL_S = 0.028

PatientQueue = tuple[Identity, str]


class WaitRow(NamedTuple):
    """A call that waits at the owner. Times are of the owner's clock."""

    request: PlaceWanted
    holder: HostKey
    entry: CatalogueEntry
    cell: Cell
    heard_at: float
    first_by: float
    deadline: float


class LeaseRow(NamedTuple):
    """One grant. ``slot_until`` is the predicted end of its decode."""

    call_id: str
    ask: int
    holder: HostKey
    cell: Cell
    prefill: EndpointRef | None
    decode: EndpointRef
    pieces: int
    prefill_tokens: int
    start_at: float
    slot_until: float
    deadline: float
    call_class: CallClass
    prefilled: bool = False
    missing: int = 0


class PrefillLoad:
    """The prefills granted on one engine, in order, and what they cost."""

    def __init__(self, cost: LinearCost) -> None:
        self.cost = cost
        self.index = PrefixIndex()
        self.pending: dict[str, tuple[float, float]] = {}
        self.last_done_at = 0.0

    def free_at(self, now: float) -> float:
        """Return when the engine has done all granted prefills."""
        at = self.last_done_at
        for start_at, duration_s in self.pending.values():
            at = max(at, start_at) + duration_s
        return max(now, at)


class DecodeLoad:
    """The slots granted on one decode or service endpoint."""

    def __init__(self) -> None:
        self.leases: dict[str, float] = {}
        self.pieces = 0
        self.repeat_unsafe = 0
        self.foreign = 0
        self.foreign_pieces = 0
        self.settling: list[float] = []
        self.interval = MovingMean(OUTPUT_INTERVAL_S)

    def used(self, now: float) -> int:
        """Return the slots in use, with those of cancels on their way."""
        self.settling = [until for until in self.settling if until > now]
        return len(self.leases) + self.foreign + len(self.settling)


class FairClock:
    """Virtual service times of accounts, for start-time fair queueing.

    Source: Goyal, Vin and Cheng, "Start-time fair queueing", SIGCOMM 1996.
    """

    def __init__(self) -> None:
        self.virtual = 0.0
        self.finish: dict[str, float] = {}

    def start_of(self, account: str) -> float:
        """Return the virtual start time of the next call of an account."""
        return max(self.virtual, self.finish.get(account, 0.0))

    def charge(self, account: str, cost: float) -> None:
        """Note that a call of an account was served."""
        start = self.start_of(account)
        self.virtual = start
        self.finish[account] = start + cost
        if len(self.finish) > 4096:
            self.finish = {
                name: at for name, at in self.finish.items() if at > self.virtual
            }


class AdmissionState:
    """Waiting calls, leases and loads of the cells that this node owns."""

    def __init__(self) -> None:
        self.waiting: Table[tuple[str, str], WaitRow] = Table()
        # Keys of ``waiting`` by cell; patient ones by cell, identity and account.
        self.urgent: dict[Cell, dict[tuple[str, str], None]] = {}
        self.patient: dict[Cell, dict[PatientQueue, dict[tuple[str, str], None]]] = {}
        self.leases: Table[str, LeaseRow] = Table()
        self.backlog: dict[tuple[Cell, Identity], tuple[int, int]] = {}
        self.granted: dict[tuple[str, str], tuple[str, PlaceGranted]] = {}
        self.prefill_loads: dict[EndpointRef, PrefillLoad] = {}
        self.decode_loads: dict[EndpointRef, DecodeLoad] = {}
        self.costs: dict[Identity, LinearCost] = {}
        self.fair: dict[Cell, FairClock] = {}
        self.released: dict[str, float] = {}
        self.dead: dict[HostKey, float] = {}
        self.dirty: dict[Cell, None] = {}
        self.wake_at: dict[Cell, float] = {}
        self.denied: dict[Cell, int] = {}
        # Endpoints that the orders system empties before an order.
        self.held_back: set[EndpointRef] = set()


def decode_load(part: AdmissionState, ref: EndpointRef) -> DecodeLoad:
    """Return the load of a decode or service endpoint."""
    load = part.decode_loads.get(ref)
    if load is None:
        load = part.decode_loads[ref] = DecodeLoad()
    return load


def prefill_load(
    part: AdmissionState, ref: EndpointRef, identity: Identity
) -> PrefillLoad:
    """Return the load of a prefill engine, with costs learned from its peers."""
    load = part.prefill_loads.get(ref)
    if load is None:
        learned = part.costs.get(identity)
        cost = learned.copy() if learned else None
        cost = cost or LinearCost(PREFILL_BASE_S, PREFILL_PER_TOKEN_S)
        load = part.prefill_loads[ref] = PrefillLoad(cost)
        part.costs.setdefault(identity, cost)
    return load
