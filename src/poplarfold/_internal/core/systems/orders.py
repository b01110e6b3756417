"""Orders to endpoints: which version they load and which role they have.

The owner of a cell gives them, once it holds the cell's lease record in the
log stream ``leases``. A record names the offset of the one that it replaces
and is void if that one is not current, so that of two nodes that race only one
holds the lease. The offset is the fencing number. A node that has not read the
stream lately gives no orders.
"""

import json
from functools import singledispatch
from typing import NamedTuple

from poplarfold._internal.core.cells import Cell, owner_of
from poplarfold._internal.core.commands import AppendLog, ReadLog, SendOrder
from poplarfold._internal.core.events import (
    EndpointReported,
    LogAppended,
    LogAppendFailed,
    LogRead,
    LogReadFailed,
    OrderAnswered,
)
from poplarfold._internal.core.model import EndpointRef, EndpointRole, Identity
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import health, leaving
from poplarfold._internal.core.systems.admission import AdmissionState
from poplarfold._internal.core.systems.health import EndpointRow, HealthState

__all__ = ["OrderState", "next_wakeup", "on_event", "on_tick"]

STREAM = "leases"
READ_WAIT_S = 5.0
READ_LIMIT = 500
READ_RETRY_S = 1.0
# The log counts as read while the last answer is younger than one long read
# and some delay.
READ_FRESH_S = 8.0
LOOK_PERIOD_S = 1.0
CLAIM_RETRY_S = 3.0
ORDER_REPEAT_S = 3.0
# An endpoint that has not changed by then is passed over for a while.
ORDER_GIVE_UP_S = 120.0
# The weight store is rate-limited: one load per cell at a time, and each starts
# after a random pause so that the cells of a fleet don't load all at once.
LOAD_JITTER_S = 3.0
# A role changes only if its pool is nearly full over about 20 s while the other
# pool would still have room with one engine less, and not again for a minute.
ROLE_HOLD_S = 60.0
BUSY_HIGH = 0.9
BUSY_LOW = 0.7
BUSY_WEIGHT = 0.05


class LeaseRecord(NamedTuple):
    """The valid lease record of a cell; ``offset`` is the fencing number."""

    host: str
    incarnation: int
    offset: int


class OpenOrder(NamedTuple):
    """An order that an endpoint has not carried out yet."""

    order_id: str
    kind: str
    ref: EndpointRef
    identity: Identity
    role: EndpointRole
    since: float
    next_at: float


class CellOrders:
    """What this node knows of one cell that it gives orders to."""

    def __init__(self) -> None:
        self.order: OpenOrder | None = None
        self.claimed_at = float("-inf")
        self.role_changed_at = float("-inf")
        self.busy: dict[EndpointRole, float] = {}
        self.passed_over: dict[EndpointRef, float] = {}


class OrderState:
    """The fold over the stream, and the orders of owned cells."""

    def __init__(self) -> None:
        self.leases: dict[str, LeaseRecord] = {}
        self.next_offset = 0
        self.reading = False
        self.read_at = float("-inf")
        self.retry_at = 0.0
        self.look_at = 0.0
        self.cells: dict[Cell, CellOrders] = {}


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Read the stream, and look at the cells once a second."""
    part = state.part(OrderState)
    if not part.reading and part.retry_at <= now:
        part.reading = True
        state.emit(ReadLog(STREAM, part.next_offset, READ_LIMIT, READ_WAIT_S))
    if part.look_at <= now:
        part.look_at = now + LOOK_PERIOD_S
        for cell in state.part(HealthState).cells:
            if owner_of(state, cell) == state.me.host and not state.draining:
                look_at_cell(state, now, cell)
            elif cell in part.cells:
                stop_order(state, part.cells.pop(cell))


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the time of the next look or read."""
    part = state.part(OrderState)
    return part.look_at if part.reading else min(part.look_at, part.retry_at)


@on_event.register
def _(event: LogRead, state: NodeState, now: float) -> None:
    if event.stream != STREAM:
        return
    part = state.part(OrderState)
    part.reading = False
    part.read_at = now
    for record in event.records:
        if record.offset == part.next_offset:
            part.next_offset += 1
            fold_record(part, record.offset, record.data, event.first)


@on_event.register
def _(event: LogReadFailed, state: NodeState, now: float) -> None:
    if event.stream != STREAM:
        return
    part = state.part(OrderState)
    part.reading = False
    part.retry_at = now + READ_RETRY_S
    if event.expired:
        # Records below ``first`` are gone; the holders they named are unknown.
        part.leases.clear()
        part.next_offset = event.first


def fold_record(part: OrderState, offset: int, data: bytes, first: int) -> None:
    """Make a record current if it replaces the current one."""
    try:
        body = json.loads(data)
        name, host = str(body["name"]), str(body["host"])
        incarnation, replaces = int(body["incarnation"]), int(body["replaces"])
    except (ValueError, KeyError, TypeError):
        return
    current = part.leases.get(name)
    expected = current.offset if current else -1
    if replaces == expected or (current is None and replaces < first):
        part.leases[name] = LeaseRecord(host, incarnation, offset)


@on_event.register
def _(event: LogAppended, state: NodeState, now: float) -> None:
    if event.stream == STREAM:
        state.log("PF3402", None, record=event.record_id, offset=event.offset)


@on_event.register
def _(event: LogAppendFailed, state: NodeState, now: float) -> None:
    if event.stream == STREAM:
        state.log("PF3403", None, record=event.record_id, unknown=event.unknown)


def look_at_cell(state: NodeState, now: float, cell: Cell) -> None:
    """Claim the cell's lease if needed, and give the next order."""
    part = state.part(OrderState)
    own = part.cells.setdefault(cell, CellOrders())
    measure(state, now, cell, own)
    if now - part.read_at > READ_FRESH_S:
        return
    name = f"orders/{cell.key}"
    lease = part.leases.get(name)
    if lease is None or lease[:2] != tuple(state.me):
        if now - own.claimed_at >= CLAIM_RETRY_S:
            own.claimed_at = now
            body = {
                "name": name,
                "host": state.me.host,
                "incarnation": state.me.incarnation,
                "replaces": lease.offset if lease else -1,
            }
            data = json.dumps(body).encode()
            state.emit(AppendLog(STREAM, state.new_id("lease"), data))
        return
    if own.order is not None:
        follow_order(state, now, own, lease)
        return
    own.order = wanted_load(state, now, cell, own, lease) or wanted_role(
        state, now, cell, own, lease
    )
    if own.order is not None:
        state.part(AdmissionState).held_back.add(own.order.ref)


def usable_rows(state: NodeState, now: float, cell: Cell) -> list[EndpointRow]:
    """Return the endpoints of a cell that report and are not leaving."""
    part = state.part(HealthState)
    rows = []
    for address in part.cells.get(cell, ()):
        row = part.endpoints[address]
        report, _ = health.usable_report(state, now, row)
        if report is None:
            continue
        if not leaving.is_leaving(state, now, EndpointRef(address, report.incarnation)):
            rows.append(row)
    return rows


def measure(state: NodeState, now: float, cell: Cell, own: CellOrders) -> None:
    """Update the smoothed share of use of each role."""
    admission = state.part(AdmissionState)
    shares: dict[EndpointRole, list[float]] = {}
    for row in usable_rows(state, now, cell):
        report = row.report
        assert report is not None
        ref = EndpointRef(row.address, report.incarnation)
        if report.role is EndpointRole.PREFILL:
            prefill = admission.prefill_loads.get(ref)
            share = 1.0 if prefill and prefill.pending else 0.0
        else:
            decode = admission.decode_loads.get(ref)
            share = decode.used(now) / max(1, report.slots) if decode else 0.0
        shares.setdefault(report.role, []).append(share)
    for role, values in shares.items():
        mean = sum(values) / len(values)
        old = own.busy.get(role, 0.5)
        own.busy[role] = old + BUSY_WEIGHT * (mean - old)


def wanted_load(
    state: NodeState, now: float, cell: Cell, own: CellOrders, lease: LeaseRecord
) -> OpenOrder | None:
    """Return the order to load a pinned version, if an endpoint has none."""
    pinned: dict[tuple[str, str], list[Identity]] = {}
    for entry in state.entries.values():
        if not entry.retired:
            identities = pinned.setdefault(entry.identity[:2], [])
            if entry.identity not in identities:
                identities.append(entry.identity)
    rows = usable_rows(state, now, cell)
    for row in rows:
        report = row.report
        assert report is not None
        ref = EndpointRef(row.address, report.incarnation)
        wanted = pinned.get(report.identity[:2], [])
        if not wanted or report.identity in wanted:
            continue
        if own.passed_over.get(ref, now) > now:
            continue
        # The version that the fewest endpoints of the role serve comes first.
        counts = {
            identity: sum(
                other.report is not None
                and other.report.identity == identity
                and other.report.role is report.role
                for other in rows
            )
            for identity in wanted
        }
        target = min(wanted, key=lambda identity: (counts[identity], identity))
        order_id = f"load-{ref.address}-{ref.incarnation}-{target.version}-"
        start_at = now + state.rng.random() * LOAD_JITTER_S
        return OpenOrder(
            f"{order_id}{lease.offset}", "load", ref, target, report.role, now, start_at
        )
    return None


def wanted_role(
    state: NodeState, now: float, cell: Cell, own: CellOrders, lease: LeaseRecord
) -> OpenOrder | None:
    """Return the order to change a role, if one pool is short and one is not."""
    if now - own.role_changed_at < ROLE_HOLD_S:
        return None
    admission = state.part(AdmissionState)
    pinned = {e.identity for e in state.entries.values() if not e.retired}
    pairs = (
        (EndpointRole.PREFILL, EndpointRole.DECODE),
        (EndpointRole.DECODE, EndpointRole.PREFILL),
    )
    for short, ample in pairs:
        rows = [
            row
            for row in usable_rows(state, now, cell)
            if row.report and row.report.role is ample and row.report.identity in pinned
        ]
        count = len(rows)
        if count < 2 or own.busy.get(short, 0.0) < BUSY_HIGH:
            continue
        if own.busy.get(ample, 1.0) * count / (count - 1) > BUSY_LOW:
            continue
        refs = [
            (EndpointRef(row.address, row.report.incarnation), row.report.identity)
            for row in rows
            if row.report
        ]
        refs = [p for p in refs if own.passed_over.get(p[0], now) <= now]
        if not refs:
            continue

        def used(ref: EndpointRef) -> int:
            load = admission.decode_loads.get(ref)
            return len(load.leases) if load else 0

        ref, identity = min(refs, key=lambda pair: (used(pair[0]), pair[0]))
        own.role_changed_at = now
        order_id = f"role-{ref.address}-{ref.incarnation}-{short.value}-{lease.offset}"
        return OpenOrder(order_id, "role", ref, identity, short, now, now)
    return None


def follow_order(
    state: NodeState, now: float, own: CellOrders, lease: LeaseRecord
) -> None:
    """Send an order once its endpoint is empty, and repeat it until it shows."""
    order = own.order
    assert order is not None
    row = state.part(HealthState).endpoints.get(order.ref.address)
    report = row.report if row else None
    if report is None or report.incarnation != order.ref.incarnation:
        stop_order(state, own)
        return
    if report.identity == order.identity and report.role is order.role:
        stop_order(state, own)
        return
    if now - order.since > ORDER_GIVE_UP_S:
        own.passed_over[order.ref] = now + ORDER_GIVE_UP_S
        stop_order(state, own)
        return
    load = state.part(AdmissionState).decode_loads.get(order.ref)
    if report.work or (load is not None and load.leases) or now < order.next_at:
        return
    own.order = order._replace(next_at=now + ORDER_REPEAT_S)
    state.emit(
        SendOrder(
            order.order_id,
            order.ref.address,
            order.kind,
            order.identity,
            order.role.value,
            lease.offset,
        )
    )
    state.log(
        "PF3401",
        None,
        order=order.order_id,
        endpoint=order.ref.address,
        fencing=lease.offset,
    )


def stop_order(state: NodeState, own: CellOrders) -> None:
    """Forget an order and let its endpoint get work again."""
    if own.order is not None:
        state.part(AdmissionState).held_back.discard(own.order.ref)
        own.order = None


@on_event.register
def _(event: OrderAnswered, state: NodeState, now: float) -> None:
    for own in state.part(OrderState).cells.values():
        if own.order is None or own.order.order_id != event.order_id:
            continue
        state.log("PF3404", None, order=event.order_id, accepted=event.accepted)
        if event.stale_fencing:
            # Another node holds the lease by now, which the stream will show.
            own.passed_over[own.order.ref] = now + ORDER_GIVE_UP_S
            stop_order(state, own)


@on_event.register
def _(event: EndpointReported, state: NodeState, now: float) -> None:
    ref = EndpointRef(event.address, event.incarnation)
    held_back = state.part(AdmissionState).held_back
    for other in [r for r in held_back if r.address == ref.address and r != ref]:
        held_back.discard(other)
