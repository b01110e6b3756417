"""Handles the messages and events by which a cell owner admits calls to its cells.

The owner knows all leases that it has granted and counts them in its plans.
Interactive calls are served by earliest deadline and rejected as soon as their
latency target cannot be met. Patient calls are queued here without holding engine
memory, and accounts share the engines by start-time fair queueing. Service calls have
endpoints of their own and never wait behind streams. The tables are in
``cell_state``; leases, queues and plans have modules of their own.
"""

from functools import singledispatch
from typing import NamedTuple

from poplarfold._internal.core.cells import Cell, owner_of
from poplarfold._internal.core.commands import FetchCacheEvents
from poplarfold._internal.core.events import (
    CacheEventsReceived,
    EndpointLeaving,
    EndpointReported,
    HostListReceived,
    MemberDeclaredDead,
    OwnershipChanged,
    PeerReceived,
)
from poplarfold._internal.core.messages import (
    CancelWanted,
    LeaseProgress,
    LeaseReleased,
    LeasesHeld,
    PeerMessage,
    PlaceWanted,
    PlaceWithdrawn,
)
from poplarfold._internal.core.model import (
    CallClass,
    EndpointRef,
    EndpointRole,
    HostKey,
)
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import calls
from poplarfold._internal.core.systems.cell_answers import (
    queued_answer,
    reject,
    send_answer,
    send_denial,
)
from poplarfold._internal.core.systems.cell_leases import (
    add_lease,
    cancel_lease,
    drop_earlier_processes,
    reconcile,
    release,
)
from poplarfold._internal.core.systems.cell_plans import plan_cell
from poplarfold._internal.core.systems.cell_queues import (
    drop_waiting,
    queue_for,
    update_backlog,
)
from poplarfold._internal.core.systems.cell_state import (
    AdmissionState,
    LeaseRow,
    WaitRow,
    prefill_load_of,
)
from poplarfold._internal.core.systems.health import HealthState
from poplarfold._internal.core.systems.model_plans import predict_patient_wait_s
from poplarfold._internal.exceptions import EntryNotFoundError

__all__ = [
    "AdmissionState",
    "LeaseRow",
    "cancel_lease",
    "next_wakeup",
    "on_event",
    "on_tick",
    "receive",
]


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Plan the cells that have changed or whose wake-up time has come."""
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


@on_event.register
def _(event: PeerReceived, state: NodeState, now: float) -> None:
    receive(event.message, event.sender, state, now)


@singledispatch
def receive(
    message: PeerMessage, sender: HostKey, state: NodeState, now: float
) -> None:
    """Handle a message to a cell owner; other messages are ignored."""


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
            send_answer(state, now, sender, grant._replace(start_in_s=start_in_s))
            return
        if grant.ask > message.ask:
            return
        release(state, now, lease_id, None)
    entry = state.entries.get(message.entry)
    if entry is None:
        send_denial(
            state, now, sender, message, EntryNotFoundError.code, "unknown entry"
        )
        return
    cell = Cell(state.settings.domain, entry.identity.service, message.cell)
    if owner_of(state, cell) != state.me.host:
        send_denial(
            state, now, sender, message, "not_owner", "another node owns the cell"
        )
        return
    old = part.waiting.get(key)
    if old is not None and old.request.ask == message.ask:
        part.waiting.put(key, old._replace(last_request_at=now))
        send_answer(state, now, sender, queued_answer(message))
        return
    first_output_due = now + entry.targets.first_output_s - message.waited_s
    row = WaitRow(
        message,
        sender,
        entry,
        cell,
        now,
        first_output_due,
        now + max(0.0, message.wait_s),
    )
    drop_waiting(part, key)
    part.waiting.put(key, row)
    queue_for(part, row)[key] = None
    update_backlog(part, row, 1)
    plan_cell(state, now, cell)
    if key not in part.waiting:
        return
    if not message.may_wait:
        wait_s = predict_patient_wait_s(state, now, row)
        reject(state, now, key, "busy", "other calls are queued", wait_s)
    elif sender != state.me:
        send_answer(state, now, sender, queued_answer(message))


@receive.register
def _(message: PlaceWithdrawn, sender: HostKey, state: NodeState, now: float) -> None:
    part = state.part(AdmissionState)
    key = (sender.host, message.call_id)
    row = part.waiting.get(key)
    if row is not None and row.request.ask <= message.ask:
        drop_waiting(part, key)
    granted = part.granted.get(key)
    if granted is not None and granted[1].ask <= message.ask:
        # The node withdrew before it received the grant, so it will not use the grant.
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
    if lease is None or lease.prefill is None or lease.prefill_done:
        return
    part.leases.put(message.lease_id, lease._replace(prefill_done=True))
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


@on_event.register
def _(event: EndpointReported, state: NodeState, now: float) -> None:
    part = state.part(AdmissionState)
    row = state.part(HealthState).endpoints.get(event.address)
    if row is None or row.report is not event:
        return
    ref = EndpointRef(event.address, event.incarnation)
    drop_earlier_processes(state, now, ref)
    if owner_of(state, row.cell) != state.me.host:
        return
    if event.role is EndpointRole.PREFILL:
        load = prefill_load_of(part, ref, event.identity)
        if event.cache_seq > load.index.seq:
            state.emit(FetchCacheEvents(event.address, load.index.seq))
    reconcile(state, now, ref, event)
    part.dirty[row.cell] = None


@on_event.register
def _(event: CacheEventsReceived, state: NodeState, now: float) -> None:
    ref = EndpointRef(event.address, event.incarnation)
    load = state.part(AdmissionState).prefill_loads.get(ref)
    if load is not None:
        load.index.apply(now, event.changes, event.oldest)


@on_event.register
def _(event: MemberDeclaredDead, state: NodeState, now: float) -> None:
    part = state.part(AdmissionState)
    part.dead_members[event.member] = now
    for key, row in part.waiting.rows():
        if row.holder == event.member:
            drop_waiting(part, key)
    for lease_id, lease in part.leases.rows():
        if lease.holder == event.member:
            cancel_lease(state, now, lease_id, "its node is dead")


@on_event.register
def _(event: EndpointLeaving, state: NodeState, now: float) -> None:
    row = state.part(HealthState).endpoints.get(event.address)
    if row is not None:
        state.part(AdmissionState).dirty[row.cell] = None


@on_event.register
def _(event: OwnershipChanged, state: NodeState, now: float) -> None:
    drop_unowned_cells(state, now)


@on_event.register
def _(event: HostListReceived, state: NodeState, now: float) -> None:
    drop_unowned_cells(state, now)


def drop_unowned_cells(state: NodeState, now: float) -> None:
    """Drop the waiting calls and leases of cells that other nodes now own.

    The nodes that hold the calls turn to the new owner, which learns of the leases
    from those nodes and from the engines' reports.
    """
    part = state.part(AdmissionState)
    endpoints = state.part(HealthState).endpoints
    for key, row in part.waiting.rows():
        if owner_of(state, row.cell) != state.me.host:
            drop_waiting(part, key)
            send_denial(
                state,
                now,
                row.holder,
                row.request,
                "not_owner",
                "the cell has a new owner",
            )
    for lease_id, lease in part.leases.rows():
        endpoint = endpoints.get(lease.decode.address)
        if endpoint is None or owner_of(state, endpoint.cell) != state.me.host:
            release(state, now, lease_id, None)
    for cell in list(part.wake_at):
        if owner_of(state, cell) != state.me.host:
            del part.wake_at[cell]
