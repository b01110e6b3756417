"""The owner of a cell: who gets which endpoints, and when.

The owner knows all of its own grants and plans with them. Interactive calls
are served by earliest deadline and refused as soon as their target cannot be
met. Patient calls wait here without holding engine memory, and accounts share
the engines by start-time fair queueing. Service calls have endpoints of their
own and never wait behind streams.
"""

from functools import singledispatch
from typing import NamedTuple

from poplarfold._internal.core.cells import Cell, owner_of
from poplarfold._internal.core.commands import FetchCacheEvents, SendPeer
from poplarfold._internal.core.events import (
    CacheChanged,
    EndpointLeft,
    EndpointReported,
    HostsListed,
    MemberDied,
    OwnershipChanged,
    PeerReceived,
)
from poplarfold._internal.core.invariants import invariant
from poplarfold._internal.core.messages import (
    CancelWanted,
    LeaseProgress,
    LeaseReleased,
    LeasesHeld,
    PeerMessage,
    PlaceDenied,
    PlaceGranted,
    PlaceWanted,
    PlaceWithdrawn,
)
from poplarfold._internal.core.model import (
    PIECE_TOKENS,
    PREFIX_BLOCK_TOKENS,
    CallClass,
    CatalogueEntry,
    EndpointRef,
    EndpointRole,
    EntryKind,
    HostKey,
    Identity,
)
from poplarfold._internal.core.predictors import LinearCost, MovingMean
from poplarfold._internal.core.prefix_index import PrefixIndex
from poplarfold._internal.core.state import NodeState, Table
from poplarfold._internal.core.systems import calls, health, leaving
from poplarfold._internal.core.systems.health import HealthState
from poplarfold._internal.exceptions import (
    DeadlineExceededError,
    EndpointRefusedError,
    EntryNotFoundError,
    NoEndpointError,
    OverloadedError,
    PromptTooLargeError,
)

__all__ = [
    "AdmissionState",
    "LeaseRow",
    "cancel_lease",
    "demand",
    "next_wakeup",
    "on_event",
    "on_tick",
    "receive",
]

# Priors until the first calls have been measured.
PREFILL_BASE_S = 0.005
PREFILL_PER_TOKEN_S = 1 / 40_000
OUTPUT_INTERVAL_S = 0.028
# From the end of a prefill to the first output: KV transfer and one step.
HANDOVER_BASE_S = 0.035
HANDOVER_PER_TOKEN_S = 1 / 400_000
# The way between the node, the engine and the caller.
NETWORK_S = 0.012
# A prefill is sent this long before its engine is predicted to be free, so
# that the engine does not idle during the way of the messages.
PREFILL_LEAD_S = 0.025
# Prompts up to this sum run as one batch with one fixed cost.
BATCH_TOKENS = 8192
# The engine frees the slot of a cancelled attempt after one message.
CANCEL_SETTLE_S = 0.01
# A lease is reclaimed after this many reports that show nothing held for it,
# and not before this time after its planned start.
RECLAIM_REPORTS = 4
RECLAIM_AFTER_S = 2.0
# A waiting call whose node is silent for this long is dropped.
HOLDER_SILENT_S = 3.5
RELEASED_KEPT_S = 1.0
# Part of the service slots that non-repeatable calls leave to lookups.
LOOKUP_RESERVE_SHARE = 0.25
# Above this number of waiting calls their order by deadline is kept, as the
# search for the calls to give up grows with the square of the number.
REORDERED_MAX = 24
CANDIDATES_LOGGED_MAX = 20


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


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Plan the cells in which something has changed or is due."""
    part = state.part(AdmissionState)
    for cell, due in list(part.wake_at.items()):
        if due <= now:
            part.dirty[cell] = None
    dirty, part.dirty = part.dirty, {}
    for cell in dirty:
        plan_cell(state, now, cell)


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the earliest time at which a cell needs a new plan."""
    part = state.part(AdmissionState)
    if part.dirty:
        return now
    return min(part.wake_at.values(), default=None)


# Messages of the nodes that hold calls.


def answer(state: NodeState, now: float, host: HostKey, message: PeerMessage) -> None:
    """Send a message to a node, which may be this one."""
    if host == state.me:
        state.post(PeerReceived(state.me, message))
    else:
        state.emit(SendPeer(host.host, message))


@on_event.register
def _(event: PeerReceived, state: NodeState, now: float) -> None:
    receive(event.message, event.sender, state, now)


@singledispatch
def receive(
    message: PeerMessage, sender: HostKey, state: NodeState, now: float
) -> None:
    """Handle a message to the owner of a cell; others are ignored."""


@receive.register
def _(message: PlaceWanted, sender: HostKey, state: NodeState, now: float) -> None:
    part = state.part(AdmissionState)
    key = (sender.host, message.call_id)
    granted = part.granted.get(key)
    if granted is not None:
        lease_id, grant = granted
        if grant.ask == message.ask:
            lease = part.leases[lease_id]
            start_in_s = max(0.0, lease.start_at - now)
            answer(state, now, sender, grant._replace(start_in_s=start_in_s))
            return
        if grant.ask > message.ask:
            return
        release(state, now, lease_id, None)
    entry = state.entries.get(message.entry)
    if entry is None:
        deny(state, now, sender, message, EntryNotFoundError.code, "unknown entry")
        return
    cell = Cell(state.settings.domain, entry.identity.service, message.cell)
    if owner_of(state, cell) != state.me.host:
        deny(state, now, sender, message, "not_owner", "another node owns the cell")
        return
    old = part.waiting.get(key)
    if old is not None and old.request.ask == message.ask:
        part.waiting.put(key, old._replace(heard_at=now))
        answer(state, now, sender, queued(message))
        return
    first_by = now + entry.targets.first_output_s - message.waited_s
    row = WaitRow(
        message, sender, entry, cell, now, first_by, now + max(0.0, message.wait_s)
    )
    drop_waiting(part, key)
    part.waiting.put(key, row)
    queue_of(part, row)[key] = None
    count_backlog(part, row, 1)
    plan_cell(state, now, cell)
    if key not in part.waiting:
        return
    if not message.may_wait:
        wait_s = patient_wait_s(state, now, row)
        refuse(state, now, key, "busy", "calls wait already", wait_s)
    elif sender != state.me:
        answer(state, now, sender, queued(message))


def queued(request: PlaceWanted) -> PlaceDenied:
    """Return the message that confirms that a call waits here."""
    return PlaceDenied(request.call_id, "queued", "", request.ask)


def count_backlog(part: AdmissionState, row: WaitRow, sign: int) -> None:
    """Add a waiting call to the sums of its cell, or take it from them."""
    if row.request.may_wait:
        key = (row.cell, row.entry.identity)
        tokens, outputs = part.backlog.get(key, (0, 0))
        part.backlog[key] = (
            tokens + sign * row.request.prompt_tokens,
            outputs + sign * row.request.max_outputs,
        )


@receive.register
def _(message: PlaceWithdrawn, sender: HostKey, state: NodeState, now: float) -> None:
    part = state.part(AdmissionState)
    key = (sender.host, message.call_id)
    row = part.waiting.get(key)
    if row is not None and row.request.ask <= message.ask:
        drop_waiting(part, key)
    granted = part.granted.get(key)
    if granted is not None and granted[1].ask <= message.ask:
        # The grant crossed the withdrawal, and the node will not use it.
        release(state, now, granted[0], None)


@receive.register
def _(message: LeaseReleased, sender: HostKey, state: NodeState, now: float) -> None:
    part = state.part(AdmissionState)
    lease = part.leases.get(message.lease_id)
    if lease is not None and lease.holder.host == sender.host:
        release(state, now, message.lease_id, message)


@receive.register
def _(message: LeaseProgress, sender: HostKey, state: NodeState, now: float) -> None:
    part = state.part(AdmissionState)
    lease = part.leases.get(message.lease_id)
    if lease is None or lease.prefill is None or lease.prefilled:
        return
    part.leases.put(message.lease_id, lease._replace(prefilled=True))
    load = part.prefill_loads.get(lease.prefill)
    if load is None or message.lease_id not in load.pending:
        return
    began_at = max(lease.start_at, load.last_done_at)
    duration_s = min(message.prefill_s, max(0.001, now - began_at))
    load.cost.add(lease.prefill_tokens, duration_s)
    del load.pending[message.lease_id]
    load.last_done_at = now
    part.dirty[lease.cell] = None


@receive.register
def _(message: LeasesHeld, sender: HostKey, state: NodeState, now: float) -> None:
    part = state.part(AdmissionState)
    endpoints = state.part(HealthState).endpoints
    for lease_id, call_id, address, incarnation in message.leases:
        endpoint = endpoints.get(address)
        attempt_id = calls.attempt_of_lease(lease_id)
        if lease_id in part.leases or endpoint is None or attempt_id in part.released:
            continue
        if owner_of(state, endpoint.cell) != state.me.host:
            continue
        lease = LeaseRow(
            call_id,
            -1,
            sender,
            endpoint.cell,
            None,
            EndpointRef(address, incarnation),
            0,
            0,
            now,
            now,
            now,
            CallClass.INTERACTIVE,
        )
        add_lease(state, now, lease_id, lease)


@receive.register
def _(message: CancelWanted, sender: HostKey, state: NodeState, now: float) -> None:
    row = state.part(HealthState).endpoints.get(message.address)
    if row is not None and row.report is not None:
        ref = EndpointRef(message.address, row.report.incarnation)
        calls.request_cancel(state, now, message.attempt_id, ref)


def deny(
    state: NodeState,
    now: float,
    holder: HostKey,
    request: PlaceWanted,
    code: str,
    detail: str,
    wait_s: float = 0.0,
) -> None:
    """Refuse a request."""
    wait_ms = int(min(wait_s, 3600.0) * 1000)
    answer(
        state,
        now,
        holder,
        PlaceDenied(request.call_id, code, detail, request.ask, wait_ms),
    )


def is_patient(entry: CatalogueEntry) -> bool:
    """Return whether calls of an entry wait by account and not by deadline."""
    return entry.kind is EntryKind.MODEL and entry.call_class is CallClass.PATIENT


def patient_queue(row: WaitRow) -> PatientQueue:
    """Return the name of the queue of a patient call."""
    return row.entry.identity, row.request.account


def queue_of(part: AdmissionState, row: WaitRow) -> dict[tuple[str, str], None]:
    """Return the queue that a waiting call belongs to."""
    if is_patient(row.entry):
        queues = part.patient.setdefault(row.cell, {})
        return queues.setdefault(patient_queue(row), {})
    return part.urgent.setdefault(row.cell, {})


def drop_waiting(part: AdmissionState, key: tuple[str, str]) -> None:
    """Forget a waiting call."""
    row = part.waiting.pop(key, None)
    if row is not None:
        queue = queue_of(part, row)
        queue.pop(key, None)
        if not queue and is_patient(row.entry):
            del part.patient[row.cell][patient_queue(row)]
        count_backlog(part, row, -1)


# Leases.


def add_lease(state: NodeState, now: float, lease_id: str, lease: LeaseRow) -> None:
    """Book a lease on its endpoints."""
    part = state.part(AdmissionState)
    part.leases.put(lease_id, lease)
    for ref in (lease.prefill, lease.decode):
        if ref is not None:
            health.note_lease(state, now, ref)
    load = decode_load(part, lease.decode)
    load.leases[lease_id] = lease.slot_until
    load.pieces += lease.pieces
    load.repeat_unsafe += lease.call_class is CallClass.NON_REPEATABLE


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


def release(
    state: NodeState, now: float, lease_id: str, message: LeaseReleased | None
) -> None:
    """Free a lease. ``message`` says how its attempt ended, if one ran."""
    part = state.part(AdmissionState)
    lease = part.leases.pop(lease_id, None)
    if lease is None:
        return
    for ref in (lease.prefill, lease.decode):
        if ref is not None:
            health.note_lease_end(state, ref)
    part.dirty[lease.cell] = None
    key = (lease.holder.host, lease.call_id)
    if part.granted.get(key, ("",))[0] == lease_id:
        del part.granted[key]
    part.released[calls.attempt_of_lease(lease_id)] = now
    while part.released:
        oldest = next(iter(part.released))
        if now - part.released[oldest] <= 2 * RELEASED_KEPT_S:
            break
        del part.released[oldest]
    load = decode_load(part, lease.decode)
    load.leases.pop(lease_id, None)
    load.pieces -= lease.pieces
    load.repeat_unsafe -= lease.call_class is CallClass.NON_REPEATABLE
    if lease.prefill is not None:
        prefill = part.prefill_loads.get(lease.prefill)
        if prefill is not None and lease_id in prefill.pending:
            del prefill.pending[lease_id]
            prefill.last_done_at = now
    if message is None:
        return
    if message.error_code and lease.prefill is not None:
        load.settling.append(now + CANCEL_SETTLE_S)
    if message.mean_interval_s > 0.0:
        load.interval.add(message.mean_interval_s)
    for ref in (lease.prefill, lease.decode):
        if ref is None:
            continue
        blamed = message.failed_endpoint == ref.address
        if blamed and message.error_code == EndpointRefusedError.code:
            leaving.note_refusal(state, now, ref)
        elif blamed or not message.error_code:
            interval_s = message.mean_interval_s if ref == lease.decode else 0.0
            health.note_outcome(state, now, ref, message.error_code, interval_s)


def cancel_lease(state: NodeState, now: float, lease_id: str, reason: str) -> None:
    """Cancel the work under a lease whose holder is dead, and free it."""
    lease = state.part(AdmissionState).leases[lease_id]
    attempt_id = calls.attempt_of_lease(lease_id)
    for ref in (lease.prefill, lease.decode):
        if ref is not None and lease.prefill is not None:
            calls.request_cancel(state, now, attempt_id, ref)
    state.log("PF3004", lease.call_id, lease=lease_id, reason=reason)
    release(state, now, lease_id, None)


# What endpoints and the membership say.


@on_event.register
def _(event: EndpointReported, state: NodeState, now: float) -> None:
    part = state.part(AdmissionState)
    row = state.part(HealthState).endpoints.get(event.address)
    if row is None or row.report is not event:
        return
    ref = EndpointRef(event.address, event.incarnation)
    forget_other_processes(state, now, ref)
    if owner_of(state, row.cell) != state.me.host:
        return
    if event.role is EndpointRole.PREFILL:
        load = prefill_load(part, ref, event.identity)
        if event.cache_seq > load.index.seq:
            state.emit(FetchCacheEvents(event.address, load.index.seq))
    reconcile(state, now, ref, event)
    part.dirty[row.cell] = None


def forget_other_processes(state: NodeState, now: float, ref: EndpointRef) -> None:
    """Drop the loads and leases of earlier processes at an address."""
    part = state.part(AdmissionState)
    gone = [
        lease_id
        for lease_id, lease in part.leases.items()
        for used in (lease.prefill, lease.decode)
        if used is not None
        and used.address == ref.address
        and used.incarnation < ref.incarnation
    ]
    for lease_id in gone:
        release(state, now, lease_id, None)
    for old in [r for r in part.prefill_loads if r.address == ref.address]:
        if old != ref:
            del part.prefill_loads[old]
    for old in [r for r in part.decode_loads if r.address == ref.address]:
        if old != ref and not part.decode_loads[old].leases:
            del part.decode_loads[old]


def reconcile(
    state: NodeState, now: float, ref: EndpointRef, report: EndpointReported
) -> None:
    """Compare the work that an endpoint reports with the leases on it."""
    part = state.part(AdmissionState)
    load = decode_load(part, ref)
    own = {calls.attempt_of_lease(lease_id) for lease_id in load.leases}
    shown = set()
    foreign = 0
    for item in report.work:
        shown.add(item.attempt_id)
        if item.owner in part.dead:
            calls.request_cancel(state, now, item.attempt_id, ref)
        released_at = part.released.get(item.attempt_id)
        recent = released_at is not None and now - released_at < RELEASED_KEPT_S
        if item.attempt_id not in own and not recent:
            foreign += 1
    load.foreign = foreign if report.role is EndpointRole.DECODE else 0
    # Memory of foreign work is what is missing beyond that of our own leases.
    held = report.pieces_total - report.pieces_free
    own_shown = sum(
        part.leases[lease_id].pieces
        for lease_id in load.leases
        if calls.attempt_of_lease(lease_id) in shown
    )
    load.foreign_pieces = max(0, held - own_shown) if foreign else 0
    for lease_id in list(load.leases):
        lease = part.leases[lease_id]
        if now < lease.start_at + RECLAIM_AFTER_S:
            continue
        if calls.attempt_of_lease(lease_id) in shown:
            if lease.missing:
                part.leases.put(lease_id, lease._replace(missing=0))
            continue
        if lease.prefill is None and lease.ask >= 0 and now < lease.deadline:
            continue  # Services do not report each call that they run.
        lease = part.leases.put(lease_id, lease._replace(missing=lease.missing + 1))
        if lease.missing >= RECLAIM_REPORTS:
            state.log("PF3003", lease.call_id, lease=lease_id, endpoint=ref.address)
            release(state, now, lease_id, None)


@on_event.register
def _(event: CacheChanged, state: NodeState, now: float) -> None:
    ref = EndpointRef(event.address, event.incarnation)
    load = state.part(AdmissionState).prefill_loads.get(ref)
    if load is not None:
        load.index.apply(now, event.changes, event.oldest)


@on_event.register
def _(event: MemberDied, state: NodeState, now: float) -> None:
    part = state.part(AdmissionState)
    part.dead[event.member] = now
    for key, row in part.waiting.rows():
        if row.holder == event.member:
            drop_waiting(part, key)
    for lease_id, lease in part.leases.rows():
        if lease.holder == event.member:
            cancel_lease(state, now, lease_id, "its node is dead")


@on_event.register
def _(event: EndpointLeft, state: NodeState, now: float) -> None:
    row = state.part(HealthState).endpoints.get(event.address)
    if row is not None:
        state.part(AdmissionState).dirty[row.cell] = None


@on_event.register
def _(event: OwnershipChanged, state: NodeState, now: float) -> None:
    drop_foreign_cells(state, now)


@on_event.register
def _(event: HostsListed, state: NodeState, now: float) -> None:
    drop_foreign_cells(state, now)


def drop_foreign_cells(state: NodeState, now: float) -> None:
    """Forget the waiting calls and leases of cells that others own now.

    The nodes that hold them turn to the new owner, which hears of the leases
    from them and from the engines' reports.
    """
    part = state.part(AdmissionState)
    endpoints = state.part(HealthState).endpoints
    for key, row in part.waiting.rows():
        if owner_of(state, row.cell) != state.me.host:
            drop_waiting(part, key)
            deny(state, now, row.holder, row.request, "not_owner", "the owner changed")
    for lease_id, lease in part.leases.rows():
        endpoint = endpoints.get(lease.decode.address)
        if endpoint is None or owner_of(state, endpoint.cell) != state.me.host:
            release(state, now, lease_id, None)
    for cell in list(part.wake_at):
        if owner_of(state, cell) != state.me.host:
            del part.wake_at[cell]


# Planning.


class Candidate(NamedTuple):
    """An endpoint that may get work, with its load."""

    ref: EndpointRef
    report: EndpointReported


class Pool:
    """The usable endpoints of one identity in a cell, while a plan is made.

    ``free_at`` holds the planned end of each prefill engine's work, and
    ``slots`` the free slots and pieces of each decode or service endpoint.
    ``releases`` are the predicted times at which further slots become free.
    """

    def __init__(self) -> None:
        self.prefills: list[Candidate] = []
        self.decodes: list[Candidate] = []
        self.services: list[Candidate] = []
        self.free_at: dict[EndpointRef, float] = {}
        self.slots: dict[EndpointRef, int] = {}
        self.pieces: dict[EndpointRef, int] = {}
        self.releases: list[float] = []
        self.skipped: list[tuple[str, str]] = []

    def copy(self) -> "Pool":
        """Return a copy on which reservations may be tried."""
        other = Pool()
        other.prefills, other.decodes = self.prefills, self.decodes
        other.free_at = dict(self.free_at)
        other.slots = dict(self.slots)
        other.pieces = dict(self.pieces)
        other.releases = list(self.releases)
        return other


class Forecast(NamedTuple):
    """What a model call would get. ``decode`` is None if no slot is free now."""

    decode: Candidate | None
    prefill: Candidate
    pieces: int
    tokens: int
    slot_at: float
    start_at: float
    done_at: float
    first_at: float
    options: list[tuple[float, float, int, Candidate]]

    def reserve(self, pool: Pool) -> None:
        """Book the forecast in a plan."""
        pool.free_at[self.prefill.ref] = self.done_at
        if self.decode is not None:
            pool.slots[self.decode.ref] -= 1
            pool.pieces[self.decode.ref] -= self.pieces
        elif pool.releases:
            pool.releases.pop(0)


def pool_for(state: NodeState, now: float, cell: Cell, identity: Identity) -> Pool:
    """Return the endpoints of a cell that serve exactly ``identity``."""
    part = state.part(AdmissionState)
    endpoints = state.part(HealthState)
    pool = Pool()
    for address in endpoints.cells.get(cell, ()):
        row = endpoints.endpoints[address]
        report, reason = health.usable_report(state, now, row)
        if report is None:
            pool.skipped.append((address, reason))
            continue
        if report.identity != identity:
            pool.skipped.append((address, "other identity"))
            continue
        ref = EndpointRef(address, report.incarnation)
        if leaving.is_leaving(state, now, ref):
            pool.skipped.append((address, "leaving"))
            continue
        if ref in part.held_back:
            pool.skipped.append((address, "emptied for an order"))
            continue
        candidate = Candidate(ref, report)
        probation = health.is_on_probation(state, ref)
        if report.role is EndpointRole.PREFILL:
            load = prefill_load(part, ref, identity)
            if probation and load.pending:
                pool.skipped.append((address, "on probation and in use"))
                continue
            pool.free_at[ref] = load.free_at(now)
            pool.prefills.append(candidate)
            continue
        decode = decode_load(part, ref)
        slots = 1 if probation else report.slots
        pool.slots[ref] = slots - decode.used(now)
        pool.pieces[ref] = report.pieces_total - decode.pieces - decode.foreign_pieces
        if report.role is EndpointRole.DECODE:
            pool.decodes.append(candidate)
            pool.releases.extend(max(now, at) for at in decode.leases.values())
        else:
            pool.services.append(candidate)
    pool.releases.sort()
    return pool


def plan_cell(state: NodeState, now: float, cell: Cell) -> None:
    """Grant, keep or refuse each waiting call of a cell."""
    part = state.part(AdmissionState)
    part.dirty.pop(cell, None)
    part.wake_at.pop(cell, None)
    pools: dict[Identity, Pool] = {}
    wakes: list[float] = []
    urgent: list[tuple[float, int, tuple[str, str]]] = []
    for number, key in enumerate(list(part.urgent.get(cell, ()))):
        if is_waiting_still(state, now, key, pools):
            urgent.append((part.waiting[key].first_by, number, key))
    by_deadline = [key for _, _, key in sorted(urgent)]
    for key in order_of(part, now, by_deadline, pools):
        row = part.waiting[key]
        pool = pools[row.entry.identity]
        if row.entry.kind is EntryKind.SERVICE:
            wake = plan_service(state, now, key, row, pool)
        else:
            wake = plan_model(state, now, key, row, pool)
        if wake is not None:
            wakes.append(wake)
    wakes.extend(plan_patient(state, now, cell, pools))
    if wakes:
        part.wake_at[cell] = max(min(wakes), now + 0.001)


def is_waiting_still(
    state: NodeState, now: float, key: tuple[str, str], pools: dict[Identity, Pool]
) -> bool:
    """Drop a call that is out of time or whose node is silent.

    The endpoints for the others are put into ``pools``.
    """
    part = state.part(AdmissionState)
    row = part.waiting[key]
    if row.holder != state.me and now - row.heard_at > HOLDER_SILENT_S:
        drop_waiting(part, key)
        return False
    if now >= row.deadline:
        refuse(state, now, key, DeadlineExceededError.code, "deadline passed")
        return False
    identity = row.entry.identity
    if identity not in pools:
        pools[identity] = pool_for(state, now, row.cell, identity)
    return True


def plan_patient(
    state: NodeState, now: float, cell: Cell, pools: dict[Identity, Pool]
) -> list[float]:
    """Serve the accounts in turn until the engines of each identity are in use.

    Only the first call of each account is looked at, so that a long queue costs
    no more than a short one. Returns when to look again.
    """
    part = state.part(AdmissionState)
    fair = part.fair.setdefault(cell, FairClock())
    queues = part.patient.get(cell, {})
    wakes: dict[Identity, float] = {}
    while True:
        open_queues = [name for name in queues if name[0] not in wakes]
        if not open_queues:
            return list(wakes.values())
        name = min(open_queues, key=lambda q: (fair.start_of(q[1]), q[1]))
        key = next(iter(queues[name]))
        if not is_waiting_still(state, now, key, pools):
            continue
        # Later patient calls must not overtake the one that waits.
        wake = plan_model(state, now, key, part.waiting[key], pools[name[0]])
        if wake is not None:
            wakes[name[0]] = wake


def patient_wait_s(state: NodeState, now: float, row: WaitRow) -> float:
    """Return the predicted wait of one more patient call in a cell."""
    part = state.part(AdmissionState)
    pool = pool_for(state, now, row.cell, row.entry.identity)
    if not pool.prefills or not pool.decodes:
        return 3600.0
    slots = sum(candidate.report.slots for candidate in pool.decodes)
    tokens, outputs = part.backlog.get((row.cell, row.entry.identity), (0, 0))
    cost = part.prefill_loads[pool.prefills[0].ref].cost
    prefill_s = tokens * cost.per_token_s
    free_at = min(pool.free_at.values()) - now
    slot_s = prefill_s + outputs * OUTPUT_INTERVAL_S
    return max(free_at + prefill_s / len(pool.prefills), slot_s / slots)


def is_allowed(request: PlaceWanted, ref: EndpointRef) -> bool:
    """Return whether the request does not exclude an endpoint."""
    if request.only is not None:
        return ref == request.only
    return ref.address not in request.excluded


def plan_service(
    state: NodeState, now: float, key: tuple[str, str], row: WaitRow, pool: Pool
) -> float | None:
    """Grant the service endpoint with the fewest outstanding calls.

    Returns when to look again if the call waits.
    """
    part = state.part(AdmissionState)
    request = row.request
    unsafe = row.entry.call_class is CallClass.NON_REPEATABLE
    best: tuple[int, Candidate] | None = None
    considered: list[tuple[str, str]] = list(pool.skipped)
    allowed = 0
    for candidate in pool.services:
        if not is_allowed(request, candidate.ref):
            considered.append((candidate.ref.address, "excluded"))
            continue
        allowed += 1
        load = decode_load(part, candidate.ref)
        reserve = int(candidate.report.slots * LOOKUP_RESERVE_SHARE)
        unsafe_max = max(1, candidate.report.slots - reserve)
        if pool.slots[candidate.ref] <= 0:
            considered.append((candidate.ref.address, "full"))
        elif unsafe and load.repeat_unsafe >= unsafe_max:
            considered.append((candidate.ref.address, "slots reserved for lookups"))
        else:
            used = load.used(now)
            considered.append((candidate.ref.address, f"{used} outstanding"))
            if best is None or used < best[0]:
                best = (used, candidate)
    if best is None:
        if not allowed:
            refuse(state, now, key, NoEndpointError.code, "no usable endpoint")
            return None
        if not request.may_wait:
            refuse(state, now, key, "busy", "all slots are in use", 0.05)
            return None
        if now >= row.first_by:
            refuse(state, now, key, OverloadedError.code, "the target has passed")
            return None
        return row.first_by
    ref = best[1].ref
    pool.slots[ref] -= 1
    lease = LeaseRow(
        call_id=request.call_id,
        ask=request.ask,
        holder=row.holder,
        cell=row.cell,
        prefill=None,
        decode=ref,
        pieces=0,
        prefill_tokens=0,
        start_at=now,
        slot_until=now + 0.05,
        deadline=row.deadline,
        call_class=row.entry.call_class,
    )
    grant(state, now, key, lease, best[1].report.knows_operations, considered)
    return None


def pieces_of(request: PlaceWanted) -> int:
    """Return the engine memory that a call needs while it decodes."""
    return -(-(request.prompt_tokens + request.max_outputs) // PIECE_TOKENS)


def forecast(
    part: AdmissionState,
    now: float,
    request: PlaceWanted,
    pool: Pool,
    prefills: list[Candidate],
    decodes: list[Candidate],
) -> Forecast:
    """Return the pair of engines with the earliest end of the prefill."""
    pieces = pieces_of(request)
    fitting = [
        c for c in decodes if pool.slots[c.ref] > 0 and pool.pieces[c.ref] >= pieces
    ]
    decode = max(
        fitting, key=lambda c: (pool.slots[c.ref], pool.pieces[c.ref]), default=None
    )
    slot_at = now
    if decode is None:
        slot_at = pool.releases[0] if pool.releases else now + 0.05
    options = []
    for candidate in prefills:
        load = part.prefill_loads[candidate.ref]
        blocks = load.index.cached_blocks(request.prefixes, now)
        tokens = max(1, request.prompt_tokens - blocks * PREFIX_BLOCK_TOKENS)
        start_at = max(pool.free_at[candidate.ref], slot_at)
        done_at = start_at + load.cost.predict(tokens)
        options.append((done_at, start_at, tokens, candidate))
    done_at, start_at, tokens, prefill = min(options, key=lambda o: o[:3])
    handover_s = HANDOVER_BASE_S + request.prompt_tokens * HANDOVER_PER_TOKEN_S
    return Forecast(
        decode,
        prefill,
        pieces,
        tokens,
        slot_at,
        start_at,
        done_at,
        done_at + handover_s + NETWORK_S,
        options,
    )


def order_of(
    part: AdmissionState,
    now: float,
    keys: list[tuple[str, str]],
    pools: dict[Identity, Pool],
) -> list[tuple[str, str]]:
    """Order calls by deadline, with those to give up for the others last.

    Moore and Hodgson's rule: when a call would be late, the one among those
    before it that holds its slot longest is put last, since most others can
    be answered instead of it.
    """
    if len(keys) > REORDERED_MAX:
        return keys
    kept: list[tuple[str, str]] = []
    last: list[tuple[str, str]] = []
    for key in keys:
        kept.append(key)
        while kept and not all_in_time(part, now, kept, pools):
            victim = max(kept, key=lambda k: part.waiting[k].request.max_outputs)
            kept.remove(victim)
            last.append(victim)
    return kept + last


def all_in_time(
    part: AdmissionState,
    now: float,
    keys: list[tuple[str, str]],
    pools: dict[Identity, Pool],
) -> bool:
    """Return whether calls planned in this order all meet their targets."""
    copies: dict[Identity, Pool] = {}
    for key in keys:
        row = part.waiting[key]
        if row.entry.kind is EntryKind.SERVICE:
            continue
        identity = row.entry.identity
        pool = copies.get(identity)
        if pool is None:
            pool = copies[identity] = pools[identity].copy()
        decodes = [c for c in pool.decodes if is_allowed(row.request, c.ref)]
        prefills = [c for c in pool.prefills if is_allowed(row.request, c.ref)]
        if not decodes or not prefills:
            continue
        plan = forecast(part, now, row.request, pool, prefills, decodes)
        if plan.first_at > row.first_by:
            return False
        plan.reserve(pool)
    return True


def plan_model(
    state: NodeState, now: float, key: tuple[str, str], row: WaitRow, pool: Pool
) -> float | None:
    """Grant a slot and a prefill that will be ready together, or refuse.

    Returns when to look again if the call waits. The plan reserves what the
    call will probably get, so that calls behind it see the later times.
    """
    part = state.part(AdmissionState)
    request = row.request
    decodes = [c for c in pool.decodes if is_allowed(request, c.ref)]
    prefills = [c for c in pool.prefills if is_allowed(request, c.ref)]
    if not decodes or not prefills:
        refuse(state, now, key, NoEndpointError.code, "no usable endpoint pair")
        return None
    pieces = pieces_of(request)
    if all(pieces > c.report.pieces_total for c in decodes):
        refuse(state, now, key, PromptTooLargeError.code, f"{pieces} pieces")
        return None
    plan = forecast(part, now, request, pool, prefills, decodes)
    decode, prefill, start_at, first_at = (
        plan.decode,
        plan.prefill,
        plan.start_at,
        plan.first_at,
    )
    if first_at > row.first_by or first_at > row.deadline:
        late_s = first_at - min(row.first_by, row.deadline)
        detail = f"the first output would be {late_s:.3f} s late"
        if request.may_wait or all(option[1] <= now for option in plan.options):
            refuse(state, now, key, OverloadedError.code, detail, start_at - now)
        else:
            refuse(state, now, key, "busy", detail, start_at - now)
        return None
    if decode is None or start_at > now + PREFILL_LEAD_S:
        if not request.may_wait:
            refuse(state, now, key, "busy", "engines are in use", start_at - now)
            return None
        plan.reserve(pool)
        return start_at - PREFILL_LEAD_S if decode is not None else plan.slot_at
    plan.reserve(pool)
    interval_s = part.decode_loads[decode.ref].interval.value
    lease = LeaseRow(
        call_id=request.call_id,
        ask=request.ask,
        holder=row.holder,
        cell=row.cell,
        prefill=prefill.ref,
        decode=decode.ref,
        pieces=pieces,
        prefill_tokens=plan.tokens,
        start_at=max(now, start_at - PREFILL_LEAD_S / 2),
        slot_until=first_at + request.max_outputs * interval_s,
        deadline=row.deadline,
        call_class=row.entry.call_class,
    )
    considered = list(pool.skipped)
    considered.extend(
        (c.ref.address, f"done in {at - now:.3f} s") for at, _, _, c in plan.options
    )
    considered.extend(
        (c.ref.address, f"{pool.slots[c.ref]} slots left") for c in decodes
    )
    lease_id = grant(state, now, key, lease, False, considered)
    load = part.prefill_loads[prefill.ref]
    load.pending[lease_id] = (lease.start_at, plan.done_at - start_at)
    load.index.expect(now, request.prefixes)
    if row.entry.call_class is CallClass.PATIENT:
        cost = plan.done_at - start_at + request.max_outputs * interval_s / 20
        part.fair[row.cell].charge(request.account, cost)
    return None


def grant(
    state: NodeState,
    now: float,
    key: tuple[str, str],
    lease: LeaseRow,
    knows_operations: bool,
    considered: list[tuple[str, str]],
) -> str:
    """Book a lease, tell its holder and return its id."""
    part = state.part(AdmissionState)
    lease_id = state.new_id("l")
    drop_waiting(part, key)
    add_lease(state, now, lease_id, lease)
    priority = 1 if lease.call_class is CallClass.PATIENT else 0
    message = PlaceGranted(
        lease.call_id,
        lease_id,
        lease.prefill,
        lease.decode,
        max(0.0, lease.start_at - now),
        priority,
        lease.ask,
        knows_operations,
    )
    part.granted[key] = (lease_id, message)
    answer(state, now, lease.holder, message)
    state.log(
        "PF3001",
        lease.call_id,
        lease=lease_id,
        prefill=lease.prefill.address if lease.prefill else None,
        decode=lease.decode.address,
        start_in_s=lease.start_at - now,
        considered=considered[:CANDIDATES_LOGGED_MAX],
    )
    return lease_id


def refuse(
    state: NodeState,
    now: float,
    key: tuple[str, str],
    code: str,
    detail: str,
    wait_s: float = 0.0,
) -> None:
    """Refuse a waiting call."""
    part = state.part(AdmissionState)
    row = part.waiting[key]
    drop_waiting(part, key)
    part.denied[row.cell] = part.denied.get(row.cell, 0) + 1
    deny(state, now, row.holder, row.request, code, detail, wait_s)
    state.log(
        "PF3002", row.request.call_id, code=code, detail=detail, cell=row.cell.key
    )


def demand(state: NodeState, cell: Cell) -> int:
    """Return the number of calls that wait in a cell, for the orders system."""
    part = state.part(AdmissionState)
    patient = sum(len(queue) for queue in part.patient.get(cell, {}).values())
    return patient + len(part.urgent.get(cell, ()))


@invariant("one-lease-per-slot")
def check_loads(state: NodeState, now: float) -> str | None:
    """Check that the owner's books agree: each lease is on its endpoint once."""
    part = state.parts.get(AdmissionState)
    if not isinstance(part, AdmissionState):
        return None
    booked = sum(len(load.leases) for load in part.decode_loads.values())
    if booked != len(part.leases):
        return f"{booked} leases are booked of {len(part.leases)}"
    if len(part.granted) > len(part.leases):
        return f"{len(part.granted)} grants for {len(part.leases)} leases"
    return None
