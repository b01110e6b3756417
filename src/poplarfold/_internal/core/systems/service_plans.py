"""Planning of service calls: the endpoint with the fewest outstanding calls.

Service calls have endpoints of their own and never wait behind streams.
"""

from typing import NamedTuple

from poplarfold._internal.core.model import CallClass
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems.cell_answers import grant, refuse
from poplarfold._internal.core.systems.cell_pools import Candidate, Pool, is_allowed
from poplarfold._internal.core.systems.cell_state import (
    AdmissionState,
    LeaseRow,
    WaitRow,
    decode_load,
)
from poplarfold._internal.exceptions import NoEndpointError, OverloadedError

__all__ = [
    "plan_service",
]

# Part of the service slots that non-repeatable calls leave to lookups.
LOOKUP_RESERVE_SHARE = 0.25


class ServiceChoice(NamedTuple):
    """The endpoint for a service call, if one is free, and why not the others.

    ``allowed`` counts the endpoints that the request does not exclude.
    """

    best: Candidate | None
    allowed: int
    considered: list[tuple[str, str]]


def least_used(
    part: AdmissionState, now: float, row: WaitRow, pool: Pool
) -> ServiceChoice:
    """Choose the free endpoint with the fewest outstanding calls."""
    unsafe = row.entry.call_class is CallClass.NON_REPEATABLE
    best: tuple[int, Candidate] | None = None
    considered: list[tuple[str, str]] = list(pool.skipped)
    allowed = 0
    for candidate in pool.services:
        if not is_allowed(row.request, candidate.ref):
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
    return ServiceChoice(best[1] if best else None, allowed, considered)


def plan_service(
    state: NodeState, now: float, key: tuple[str, str], row: WaitRow, pool: Pool
) -> float | None:
    """Grant the service endpoint with the fewest outstanding calls.

    Returns when to look again if the call waits.
    """
    request = row.request
    best, allowed, considered = least_used(state.part(AdmissionState), now, row, pool)
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
    ref = best.ref
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
    grant(state, now, key, lease, best.report.knows_operations, considered)
    return None
