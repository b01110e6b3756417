"""The lease table of a cell owner: grant, release and reconciliation.

Leases are compared with the work that endpoints report, so that a lease whose
holder is gone is reclaimed.
"""

from poplarfold._internal.core.events import EndpointReported
from poplarfold._internal.core.invariants import invariant
from poplarfold._internal.core.messages import LeaseReleased
from poplarfold._internal.core.model import CallClass, EndpointRef, EndpointRole
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import calls, health, leaving
from poplarfold._internal.core.systems.cell_state import (
    AdmissionState,
    LeaseRow,
    decode_load_of,
)
from poplarfold._internal.exceptions import EndpointRefusedError

__all__ = [
    "add_lease",
    "cancel_lease",
    "drop_earlier_processes",
    "reconcile",
    "release",
]

# The slot of a cancelled attempt still counts as used for this long, because the engine
# releases it only once the cancel request arrives.
CANCEL_SETTLE_S = 0.01
# A lease is reclaimed after this many reports without any work for it, and not
# earlier than this time after its planned start.
RECLAIM_MISSING_REPORTS = 4
RECLAIM_AFTER_S = 2.0
# Reports lag, so they may still list the work of a lease that was released less than
# this long ago. It is not counted as foreign work.
RELEASED_RETENTION_S = 1.0


def add_lease(state: NodeState, now: float, lease_id: str, lease: LeaseRow) -> None:
    """Record a lease and add it to the load of its endpoints."""
    part = state.part(AdmissionState)
    part.leases.put(lease_id, lease)
    for ref in (lease.prefill, lease.decode):
        if ref is not None:
            health.record_lease(state, now, ref)
    load = decode_load_of(part, lease.decode)
    load.leases[lease_id] = lease.slot_until
    load.pieces += lease.pieces
    load.non_repeatable += lease.call_class is CallClass.NON_REPEATABLE


def release(
    state: NodeState, now: float, lease_id: str, message: LeaseReleased | None
) -> None:
    """Release a lease. ``message`` holds the result of its attempt, if one ran."""
    part = state.part(AdmissionState)
    lease = part.leases.pop(lease_id, None)
    if lease is None:
        return
    for ref in (lease.prefill, lease.decode):
        if ref is not None:
            health.record_lease_end(state, ref)
    part.dirty[lease.cell] = None
    key = (lease.holder.host, lease.call_id)
    if part.granted.get(key, ("",))[0] == lease_id:
        del part.granted[key]
    part.released[calls.attempt_of_lease(lease_id)] = now
    while part.released:
        oldest = next(iter(part.released))
        if now - part.released[oldest] <= 2 * RELEASED_RETENTION_S:
            break
        del part.released[oldest]
    load = decode_load_of(part, lease.decode)
    load.leases.pop(lease_id, None)
    load.pieces -= lease.pieces
    load.non_repeatable -= lease.call_class is CallClass.NON_REPEATABLE
    if lease.prefill is not None:
        prefill = part.prefill_loads.get(lease.prefill)
        if prefill is not None and lease_id in prefill.pending:
            del prefill.pending[lease_id]
            prefill.last_done_at = now
    if message is None:
        return
    if message.error_code and lease.prefill is not None:
        load.cancelled_slots_until.append(now + CANCEL_SETTLE_S)
    if message.mean_interval_s > 0.0:
        load.interval.add(message.mean_interval_s)
    for ref in (lease.prefill, lease.decode):
        if ref is None:
            continue
        blamed = message.failed_endpoint == ref.address
        if blamed and message.error_code == EndpointRefusedError.code:
            leaving.hold_after_refusal(state, now, ref)
        elif blamed or not message.error_code:
            interval_s = message.mean_interval_s if ref == lease.decode else 0.0
            health.record_outcome(state, now, ref, message.error_code, interval_s)


def cancel_lease(state: NodeState, now: float, lease_id: str, reason: str) -> None:
    """Cancel the work under a lease whose holder is dead, and release the lease."""
    lease = state.part(AdmissionState).leases[lease_id]
    attempt_id = calls.attempt_of_lease(lease_id)
    for ref in (lease.prefill, lease.decode):
        if ref is not None and lease.prefill is not None:
            calls.request_cancel(state, now, attempt_id, ref)
    state.log("PF3004", lease.call_id, lease=lease_id, reason=reason)
    release(state, now, lease_id, None)


def drop_earlier_processes(state: NodeState, now: float, ref: EndpointRef) -> None:
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
    load = decode_load_of(part, ref)
    own = {calls.attempt_of_lease(lease_id) for lease_id in load.leases}
    reported = set()
    foreign = 0
    for item in report.work:
        reported.add(item.attempt_id)
        if item.owner in part.dead_members:
            calls.request_cancel(state, now, item.attempt_id, ref)
        released_at = part.released.get(item.attempt_id)
        recent = released_at is not None and now - released_at < RELEASED_RETENTION_S
        if item.attempt_id not in own and not recent:
            foreign += 1
    load.foreign = foreign if report.role is EndpointRole.DECODE else 0
    # Pieces in use beyond those of our own leases belong to foreign work.
    held = report.pieces_total - report.pieces_free
    own_reported = sum(
        part.leases[lease_id].pieces
        for lease_id in load.leases
        if calls.attempt_of_lease(lease_id) in reported
    )
    load.foreign_pieces = max(0, held - own_reported) if foreign else 0
    for lease_id in list(load.leases):
        lease = part.leases[lease_id]
        if now < lease.start_at + RECLAIM_AFTER_S:
            continue
        if calls.attempt_of_lease(lease_id) in reported:
            if lease.missing_reports:
                part.leases.put(lease_id, lease._replace(missing_reports=0))
            continue
        if lease.prefill is None and lease.ask >= 0 and now < lease.deadline:
            continue  # Services do not report every running call.
        lease = part.leases.put(
            lease_id, lease._replace(missing_reports=lease.missing_reports + 1)
        )
        if lease.missing_reports >= RECLAIM_MISSING_REPORTS:
            state.log("PF3003", lease.call_id, lease=lease_id, endpoint=ref.address)
            release(state, now, lease_id, None)


@invariant("one-lease-per-slot")
def check_loads(state: NodeState, now: float) -> str | None:
    """Check that each lease is counted once, on its endpoint."""
    part = state.parts.get(AdmissionState)
    if not isinstance(part, AdmissionState):
        return None
    booked = sum(len(load.leases) for load in part.decode_loads.values())
    if booked != len(part.leases):
        return f"{booked} leases are on endpoints instead of {len(part.leases)}"
    if len(part.granted) > len(part.leases):
        return f"{len(part.granted)} grants for {len(part.leases)} leases"
    return None
