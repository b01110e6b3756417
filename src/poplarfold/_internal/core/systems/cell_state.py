"""Tables of a cell owner: waiting calls, leases and endpoint loads."""

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
from poplarfold._internal.core.predictors import LinearCost, MovingAverage
from poplarfold._internal.core.prefix_index import PrefixIndex
from poplarfold._internal.core.state import Table

__all__ = [
    "OUTPUT_INTERVAL_S",
    "AdmissionState",
    "FairQueueClock",
    "LeaseRow",
    "PatientQueueKey",
    "WaitRow",
    "decode_load_of",
    "prefill_load_of",
]

# Initial estimates until the first calls have been measured.
PREFILL_BASE_S = 0.005
PREFILL_PER_TOKEN_S = 1 / 40_000
OUTPUT_INTERVAL_S = 0.028

PatientQueueKey = tuple[Identity, str]


class WaitRow(NamedTuple):
    """A call that waits at the owner. Times are on the owner's clock."""

    request: PlaceWanted
    holder: HostKey
    entry: CatalogueEntry
    cell: Cell
    last_request_at: float
    first_output_due: float
    deadline: float


class LeaseRow(NamedTuple):
    """A granted lease. ``slot_until`` is the predicted end of its decode.

    ``ask`` is -1 if a new owner learned of the lease from its holder.
    ``missing_reports`` counts the successive reports without work for the lease.
    """

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
    prefill_done: bool = False
    missing_reports: int = 0


class PrefillLoad:
    """The prefills granted on one engine, in order, and their predicted cost."""

    def __init__(self, cost: LinearCost) -> None:
        self.cost = cost
        self.index = PrefixIndex()
        self.pending: dict[str, tuple[float, float]] = {}
        self.last_done_at = 0.0

    def free_at(self, now: float) -> float:
        """Return when the engine finishes all granted prefills."""
        at = self.last_done_at
        for start_at, duration_s in self.pending.values():
            at = max(at, start_at) + duration_s
        return max(now, at)


class DecodeLoad:
    """The slots granted on one decode or service endpoint.

    ``leases`` maps each lease to the predicted release of its slot. ``foreign``
    counts the work on the endpoint that belongs to none of this owner's leases.
    """

    def __init__(self) -> None:
        self.leases: dict[str, float] = {}
        self.pieces = 0
        self.non_repeatable = 0
        self.foreign = 0
        self.foreign_pieces = 0
        self.cancelled_slots_until: list[float] = []
        self.interval = MovingAverage(OUTPUT_INTERVAL_S)

    def used_slots(self, now: float) -> int:
        """Return the slots in use, including those of recently cancelled attempts."""
        self.cancelled_slots_until = [
            until for until in self.cancelled_slots_until if until > now
        ]
        return len(self.leases) + self.foreign + len(self.cancelled_slots_until)


class FairQueueClock:
    """Virtual service times of accounts, for start-time fair queueing.

    Source: Goyal, Vin and Cheng, "Start-time fair queueing", SIGCOMM 1996.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.finish_times: dict[str, float] = {}

    def start_time(self, account: str) -> float:
        """Return the virtual start time of the next call of an account."""
        return max(self.virtual_time, self.finish_times.get(account, 0.0))

    def charge(self, account: str, cost: float) -> None:
        """Charge an account for a served call."""
        start = self.start_time(account)
        self.virtual_time = start
        self.finish_times[account] = start + cost
        if len(self.finish_times) > 4096:
            self.finish_times = {
                name: at
                for name, at in self.finish_times.items()
                if at > self.virtual_time
            }


class AdmissionState:
    """Waiting calls, leases and loads of the cells that this node owns.

    ``waiting`` and ``granted`` are keyed by the host of the holder and the call id.
    ``backlog`` sums the prompt tokens and outputs of queued calls. ``released`` maps
    attempt ids to the time at which their lease was released. ``dirty`` holds the
    cells to plan in this step, and ``denied`` counts rejected calls.
    """

    def __init__(self) -> None:
        self.waiting: Table[tuple[str, str], WaitRow] = Table()
        # Both hold keys of ``waiting`` by cell. ``patient_queues`` holds those of
        # patient calls, also by identity and account, and ``deadline_queues`` the rest.
        self.deadline_queues: dict[Cell, dict[tuple[str, str], None]] = {}
        self.patient_queues: dict[
            Cell, dict[PatientQueueKey, dict[tuple[str, str], None]]
        ] = {}
        self.leases: Table[str, LeaseRow] = Table()
        self.backlog: dict[tuple[Cell, Identity], tuple[int, int]] = {}
        self.granted: dict[tuple[str, str], tuple[str, PlaceGranted]] = {}
        self.prefill_loads: dict[EndpointRef, PrefillLoad] = {}
        self.decode_loads: dict[EndpointRef, DecodeLoad] = {}
        self.costs: dict[Identity, LinearCost] = {}
        self.fair_clocks: dict[Cell, FairQueueClock] = {}
        self.released: dict[str, float] = {}
        self.dead_members: dict[HostKey, float] = {}
        self.dirty: dict[Cell, None] = {}
        self.wake_at: dict[Cell, float] = {}
        self.denied: dict[Cell, int] = {}
        # Endpoints of planned or sent orders. They get no new leases, so that their
        # work ends before the order.
        self.draining_for_order: set[EndpointRef] = set()


def decode_load_of(part: AdmissionState, ref: EndpointRef) -> DecodeLoad:
    """Return the load of a decode or service endpoint, created if new."""
    load = part.decode_loads.get(ref)
    if load is None:
        load = part.decode_loads[ref] = DecodeLoad()
    return load


def prefill_load_of(
    part: AdmissionState, ref: EndpointRef, identity: Identity
) -> PrefillLoad:
    """Return the load of a prefill engine.

    A new engine starts with the costs learned from engines of the same identity.
    """
    load = part.prefill_loads.get(ref)
    if load is None:
        learned = part.costs.get(identity)
        cost = learned.copy() if learned else None
        cost = cost or LinearCost(PREFILL_BASE_S, PREFILL_PER_TOKEN_S)
        load = part.prefill_loads[ref] = PrefillLoad(cost)
        part.costs.setdefault(identity, cost)
    return load
