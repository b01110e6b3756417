"""Orders to endpoints: which version to load and which role to take.

The owner of a cell sends orders while it holds the cell's lease, a record in the
log stream ``leases``. A record names the offset of the record that it replaces
and is ignored if that one is not current, so that only one of two racing nodes
gets the lease. The offset is the fencing number. A node whose last read of the
stream is older than READ_FRESH_S sends no orders.
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
    LogReadCompleted,
    LogReadFailed,
    OrderAnswered,
)
from poplarfold._internal.core.model import EndpointRef, EndpointRole, Identity
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import health, leaving
from poplarfold._internal.core.systems.admission import AdmissionState
from poplarfold._internal.core.systems.health import EndpointRow, HealthState
from poplarfold._internal.utils.json_documents import parse_json
from poplarfold._internal.utils.malformed import MALFORMED_DOCUMENT_ERRORS

__all__ = ["OrderState", "next_wakeup", "on_event", "on_tick"]

STREAM = "leases"
READ_WAIT_S = 5.0
READ_MAX_RECORDS = 500
READ_RETRY_S = 1.0
# Maximum age of the last read of the stream: one long read plus some delay.
READ_FRESH_S = 8.0
ORDER_CHECK_PERIOD_S = 1.0
CLAIM_RETRY_S = 3.0
ORDER_REPEAT_S = 3.0
# An endpoint that has not carried out an order after this time gets no orders for as
# long again.
ORDER_TIMEOUT_S = 120.0
# The weight store is rate-limited. Each cell loads on one endpoint at a time, after
# a random delay, so that the cells of a fleet do not all load at once.
LOAD_JITTER_S = 3.0
# A role changes only if one pool has been nearly full for about 20 s while the other
# would still have room with one engine fewer. After a role change, a cell makes no
# other for ROLE_HOLD_S.
ROLE_HOLD_S = 60.0
SHORT_POOL_UTILIZATION_MIN = 0.9
AMPLE_POOL_UTILIZATION_MAX = 0.7
UTILIZATION_WEIGHT = 0.05


class LeaseRecord(NamedTuple):
    """The valid lease record of a cell; ``offset`` is the fencing number."""

    host: str
    incarnation: int
    offset: int


class PendingOrder(NamedTuple):
    """An order that an endpoint has not carried out yet.

    ``send_at`` is the earliest time at which it may be sent again.
    """

    order_id: str
    kind: str
    ref: EndpointRef
    identity: Identity
    role: EndpointRole
    created_at: float
    send_at: float


class CellOrders:
    """The order in progress of one owned cell, and its pools' utilization.

    ``skipped_until`` maps endpoints that get no orders to the time until which this
    applies.
    """

    def __init__(self) -> None:
        self.order: PendingOrder | None = None
        self.claimed_at = float("-inf")
        self.role_changed_at = float("-inf")
        self.utilization: dict[EndpointRole, float] = {}
        self.skipped_until: dict[EndpointRef, float] = {}


class OrderState:
    """The fold of the stream ``leases``, and the orders of owned cells."""

    def __init__(self) -> None:
        self.leases: dict[str, LeaseRecord] = {}
        self.next_offset = 0
        self.reading = False
        self.read_at = float("-inf")
        self.retry_at = 0.0
        self.check_at = 0.0
        self.cells: dict[Cell, CellOrders] = {}


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Read the stream, and update orders of owned cells every ORDER_CHECK_PERIOD_S."""
    part = state.part(OrderState)
    if not part.reading and part.retry_at <= now:
        part.reading = True
        state.emit(ReadLog(STREAM, part.next_offset, READ_MAX_RECORDS, READ_WAIT_S))
    if part.check_at <= now:
        part.check_at = now + ORDER_CHECK_PERIOD_S
        for cell in state.part(HealthState).cells:
            if owner_of(state, cell) == state.me.host and not state.draining:
                update_cell_order(state, now, cell)
            elif cell in part.cells:
                drop_order(state, part.cells.pop(cell))


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the time of the next check or read."""
    part = state.part(OrderState)
    return part.check_at if part.reading else min(part.check_at, part.retry_at)


@on_event.register
def _(event: LogReadCompleted, state: NodeState, now: float) -> None:
    if event.stream != STREAM:
        return
    part = state.part(OrderState)
    part.reading = False
    part.read_at = now
    for record in event.records:
        if record.offset == part.next_offset:
            part.next_offset += 1
            fold_order_record(part, record.offset, record.data, event.first)


@on_event.register
def _(event: LogReadFailed, state: NodeState, now: float) -> None:
    if event.stream != STREAM:
        return
    part = state.part(OrderState)
    part.reading = False
    part.retry_at = now + READ_RETRY_S
    if event.expired:
        # The log has dropped the records below ``first``, so the lease holders
        # that they named are unknown.
        part.leases.clear()
        part.next_offset = event.first


def fold_order_record(part: OrderState, offset: int, data: bytes, first: int) -> None:
    """Make a lease record current if it replaces the current one."""
    try:
        body = parse_json(data)
        name, host = str(body["name"]), str(body["host"])
        incarnation, replaces = int(body["incarnation"]), int(body["replaces"])
    except MALFORMED_DOCUMENT_ERRORS:
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


def update_cell_order(state: NodeState, now: float, cell: Cell) -> None:
    """Claim the lease of the cell if this node does not hold it.

    Otherwise advance the order of the cell, or plan one.
    """
    part = state.part(OrderState)
    cell_orders = part.cells.setdefault(cell, CellOrders())
    update_utilization(state, now, cell, cell_orders)
    if now - part.read_at > READ_FRESH_S:
        return
    name = f"orders/{cell.key}"
    lease = part.leases.get(name)
    if lease is None or lease[:2] != tuple(state.me):
        if now - cell_orders.claimed_at >= CLAIM_RETRY_S:
            cell_orders.claimed_at = now
            body = {
                "name": name,
                "host": state.me.host,
                "incarnation": state.me.incarnation,
                "replaces": lease.offset if lease else -1,
            }
            data = json.dumps(body).encode()
            state.emit(AppendLog(STREAM, state.new_id("lease"), data))
        return
    if cell_orders.order is not None:
        advance_order(state, now, cell_orders, lease)
        return
    cell_orders.order = plan_load(
        state, now, cell, cell_orders, lease
    ) or plan_role_change(state, now, cell, cell_orders, lease)
    if cell_orders.order is not None:
        state.part(AdmissionState).draining_for_order.add(cell_orders.order.ref)


def usable_rows(state: NodeState, now: float, cell: Cell) -> list[EndpointRow]:
    """Return the endpoints of a cell that may get work and are not leaving."""
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


def update_utilization(
    state: NodeState, now: float, cell: Cell, cell_orders: CellOrders
) -> None:
    """Update the moving average of the utilization of each role."""
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
            share = decode.used_slots(now) / max(1, report.slots) if decode else 0.0
        shares.setdefault(report.role, []).append(share)
    for role, values in shares.items():
        mean = sum(values) / len(values)
        old = cell_orders.utilization.get(role, 0.5)
        cell_orders.utilization[role] = old + UTILIZATION_WEIGHT * (mean - old)


def plan_load(
    state: NodeState,
    now: float,
    cell: Cell,
    cell_orders: CellOrders,
    lease: LeaseRecord,
) -> PendingOrder | None:
    """Return an order to load a pinned version where none is loaded, or None."""
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
        if cell_orders.skipped_until.get(ref, now) > now:
            continue
        # Choose the version that the fewest endpoints of this role serve.
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
        return PendingOrder(
            f"{order_id}{lease.offset}", "load", ref, target, report.role, now, start_at
        )
    return None


def plan_role_change(
    state: NodeState,
    now: float,
    cell: Cell,
    cell_orders: CellOrders,
    lease: LeaseRecord,
) -> PendingOrder | None:
    """Return an order that moves an engine to the busier role, or None."""
    if now - cell_orders.role_changed_at < ROLE_HOLD_S:
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
        if (
            count < 2
            or cell_orders.utilization.get(short, 0.0) < SHORT_POOL_UTILIZATION_MIN
        ):
            continue
        if (
            cell_orders.utilization.get(ample, 1.0) * count / (count - 1)
            > AMPLE_POOL_UTILIZATION_MAX
        ):
            continue
        refs = [
            (EndpointRef(row.address, row.report.incarnation), row.report.identity)
            for row in rows
            if row.report
        ]
        refs = [p for p in refs if cell_orders.skipped_until.get(p[0], now) <= now]
        if not refs:
            continue

        def lease_count_of(ref: EndpointRef) -> int:
            load = admission.decode_loads.get(ref)
            return len(load.leases) if load else 0

        ref, identity = min(refs, key=lambda pair: (lease_count_of(pair[0]), pair[0]))
        cell_orders.role_changed_at = now
        order_id = f"role-{ref.address}-{ref.incarnation}-{short.value}-{lease.offset}"
        return PendingOrder(order_id, "role", ref, identity, short, now, now)
    return None


def advance_order(
    state: NodeState, now: float, cell_orders: CellOrders, lease: LeaseRecord
) -> None:
    """Send an order once its endpoint is empty, and repeat it until it is applied.

    Drops the order if the endpoint has restarted or if the order has timed out.
    """
    order = cell_orders.order
    assert order is not None
    row = state.part(HealthState).endpoints.get(order.ref.address)
    report = row.report if row else None
    if report is None or report.incarnation != order.ref.incarnation:
        drop_order(state, cell_orders)
        return
    if report.identity == order.identity and report.role is order.role:
        drop_order(state, cell_orders)
        return
    if now - order.created_at > ORDER_TIMEOUT_S:
        cell_orders.skipped_until[order.ref] = now + ORDER_TIMEOUT_S
        drop_order(state, cell_orders)
        return
    load = state.part(AdmissionState).decode_loads.get(order.ref)
    if report.work or (load is not None and load.leases) or now < order.send_at:
        return
    cell_orders.order = order._replace(send_at=now + ORDER_REPEAT_S)
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


def drop_order(state: NodeState, cell_orders: CellOrders) -> None:
    """Drop the order of a cell and allow work on its endpoint again."""
    if cell_orders.order is not None:
        state.part(AdmissionState).draining_for_order.discard(cell_orders.order.ref)
        cell_orders.order = None


@on_event.register
def _(event: OrderAnswered, state: NodeState, now: float) -> None:
    for cell_orders in state.part(OrderState).cells.values():
        if cell_orders.order is None or cell_orders.order.order_id != event.order_id:
            continue
        state.log("PF3404", None, order=event.order_id, accepted=event.accepted)
        if event.stale_fencing:
            # Another node has taken the lease; a later read will show its record.
            cell_orders.skipped_until[cell_orders.order.ref] = now + ORDER_TIMEOUT_S
            drop_order(state, cell_orders)


@on_event.register
def _(event: EndpointReported, state: NodeState, now: float) -> None:
    ref = EndpointRef(event.address, event.incarnation)
    draining_for_order = state.part(AdmissionState).draining_for_order
    for other in [
        r for r in draining_for_order if r.address == ref.address and r != ref
    ]:
        draining_for_order.discard(other)
