"""Where each attempt runs."""

from functools import singledispatch
from typing import NamedTuple

from poplarfold._internal.core.events import (
    AttemptClosed,
    CallEnded,
    Placed,
    PlacementRefused,
    PlacementWanted,
)
from poplarfold._internal.core.model import (
    CatalogueEntry,
    EndpointRef,
    EndpointRole,
    EntryKind,
    Placement,
)
from poplarfold._internal.core.state import NodeState, Table
from poplarfold._internal.core.systems.health import (
    REPORT_STALE_S,
    EndpointRow,
    HealthState,
)
from poplarfold._internal.exceptions import NoEndpointError

__all__ = ["next_wakeup", "on_event", "on_tick"]

PLACE_RETRY_S = 0.05
# A call that finds no endpoint waits this long for one to report.
PLACE_WAIT_S = 2.0


class LeaseRow(NamedTuple):
    """One grant of endpoints to an attempt."""

    call_id: str
    placement: Placement


class WaitingRow(NamedTuple):
    """A call that waits for endpoints."""

    excluded: tuple[str, ...]
    since: float
    next_try_at: float


class PlacementState:
    """The grants by lease and the calls that wait for one."""

    def __init__(self) -> None:
        self.leases: Table[str, LeaseRow] = Table()
        self.waiting: Table[str, WaitingRow] = Table()


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Try again to place the calls that wait."""
    part = state.part(PlacementState)
    for call_id, row in part.waiting.rows():
        if row.next_try_at <= now:
            part.waiting.put(call_id, row._replace(next_try_at=now + PLACE_RETRY_S))
            place_call(state, now, call_id)


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the next time to try a waiting call."""
    rows = state.part(PlacementState).waiting.values()
    return min((row.next_try_at for row in rows), default=None)


@on_event.register
def _(event: PlacementWanted, state: NodeState, now: float) -> None:
    part = state.part(PlacementState)
    part.waiting.put(event.call_id, WaitingRow(event.excluded, now, now))
    place_call(state, now, event.call_id)


@on_event.register
def _(event: CallEnded, state: NodeState, now: float) -> None:
    state.part(PlacementState).waiting.pop(event.call_id, None)


@on_event.register
def _(event: AttemptClosed, state: NodeState, now: float) -> None:
    state.part(PlacementState).leases.pop(event.placement.lease_id, None)


def place_call(state: NodeState, now: float, call_id: str) -> None:
    """Grant the least used endpoints that serve the pinned identity."""
    part = state.part(PlacementState)
    call = state.calls.get(call_id)
    if call is None:
        part.waiting.pop(call_id, None)
        return
    waiting = part.waiting[call_id]
    entry = state.entries[call.arrival.entry]
    if entry.kind is EntryKind.MODEL:
        prefill = least_used(state, now, entry, EndpointRole.PREFILL, waiting.excluded)
        decode = least_used(state, now, entry, EndpointRole.DECODE, waiting.excluded)
        found = prefill is not None and decode is not None
    else:
        prefill = None
        decode = least_used(state, now, entry, EndpointRole.SERVICE, waiting.excluded)
        found = decode is not None
    if found and decode is not None:
        placement = Placement(decode, prefill, state.new_id("l"), now, 0)
        del part.waiting[call_id]
        part.leases.put(placement.lease_id, LeaseRow(call_id, placement))
        state.log("PF3001", call_id, lease=placement.lease_id)
        state.post(Placed(call_id, placement))
    elif now - waiting.since >= PLACE_WAIT_S:
        del part.waiting[call_id]
        message = f"no endpoint serves what entry {entry.name!r} pins"
        state.post(PlacementRefused(call_id, NoEndpointError(message)))


def least_used(
    state: NodeState,
    now: float,
    entry: CatalogueEntry,
    role: EndpointRole,
    excluded: tuple[str, ...],
) -> EndpointRef | None:
    """Return the endpoint of ``role`` with the most free slots, if any."""
    granted: dict[EndpointRef | None, int] = {}
    for lease in state.part(PlacementState).leases.values():
        for ref in (lease.placement.prefill, lease.placement.decode):
            granted[ref] = granted.get(ref, 0) + 1

    best: tuple[int, EndpointRef] | None = None
    for row in state.part(HealthState).endpoints.values():
        if row.address in excluded or not is_usable(row, entry, role, now):
            continue
        report = row.report
        assert report is not None
        ref = EndpointRef(row.address, report.incarnation)
        used = granted.get(ref, 0)
        if role is EndpointRole.DECODE and max(used, report.busy) >= report.slots:
            continue
        if best is None or used < best[0]:
            best = (used, ref)
    return best[1] if best else None


def is_usable(
    row: EndpointRow, entry: CatalogueEntry, role: EndpointRole, now: float
) -> bool:
    """Return whether an endpoint may get a call of ``entry`` at all."""
    report = row.report
    return (
        report is not None
        and now - row.reported_at <= REPORT_STALE_S
        and report.identity == entry.identity
        and report.role is role
        and not report.leaving
        and not row.listed_leaving
    )
