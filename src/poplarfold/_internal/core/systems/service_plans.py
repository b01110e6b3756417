"""Plans service calls: the endpoint with the fewest outstanding calls.

Service calls have endpoints of their own and never wait behind streams.
"""

from typing import NamedTuple

from poplarfold._internal.core.model import CallClass
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems.cell_answers import grant, reject
from poplarfold._internal.core.systems.cell_pools import Candidate, Pool, is_allowed
from poplarfold._internal.core.systems.cell_state import (
    AdmissionState,
    LeaseRow,
    WaitRow,
    decode_load_of,
)
from poplarfold._internal.exceptions import NoEndpointError, OverloadedError

__all__ = [
    "plan_service",
]

# Share of the service slots that is reserved for repeatable calls (lookups).
REPEATABLE_RESERVE_SHARE = 0.25


class ServiceChoice(NamedTuple):
    """The endpoint chosen for a service call, or None if no endpoint is free.

    ``allowed`` counts the endpoints that the request does not exclude, and
    ``considered`` holds the load or the reason for exclusion of each endpoint.
    """

    best: Candidate | None
    allowed: int
    considered: list[tuple[str, str]]


def choose_least_used(
    part: AdmissionState, now: float, row: WaitRow, pool: Pool
) -> ServiceChoice:
    """Choose the free endpoint with the fewest outstanding calls."""
    is_non_repeatable = row.entry.call_class is CallClass.NON_REPEATABLE
    best: tuple[int, Candidate] | None = None
    considered: list[tuple[str, str]] = list(pool.skipped)
    allowed = 0
    for candidate in pool.services:
        if not is_allowed(row.request, candidate.ref):
            considered.append((candidate.ref.address, "excluded"))
            continue
        allowed += 1
        load = decode_load_of(part, candidate.ref)
        reserve = int(candidate.report.slots * REPEATABLE_RESERVE_SHARE)
        non_repeatable_max = max(1, candidate.report.slots - reserve)
        if pool.slots[candidate.ref] <= 0:
            considered.append((candidate.ref.address, "full"))
        elif is_non_repeatable and load.non_repeatable >= non_repeatable_max:
            considered.append((candidate.ref.address, "slots reserved for lookups"))
        else:
            used = load.used_slots(now)
            considered.append((candidate.ref.address, f"{used} outstanding"))
            if best is None or used < best[0]:
                best = (used, candidate)
    return ServiceChoice(best[1] if best else None, allowed, considered)


def plan_service(
    state: NodeState, now: float, key: tuple[str, str], row: WaitRow, pool: Pool
) -> float | None:
    """Grant the service endpoint with the fewest outstanding calls.

    Returns when to plan again if the call waits.
    """
    request = row.request
    best, allowed, considered = choose_least_used(
        state.part(AdmissionState), now, row, pool
    )
    if best is None:
        if not allowed:
            reject(state, now, key, NoEndpointError.code, "no usable endpoint")
            return None
        if not request.may_wait:
            reject(state, now, key, "busy", "all slots are in use", 0.05)
            return None
        if now >= row.first_output_due:
            reject(
                state, now, key, OverloadedError.code, "the latency target has passed"
            )
            return None
        return row.first_output_due
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
