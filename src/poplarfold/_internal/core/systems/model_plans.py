"""Plans model calls: a decode slot and a prefill that are ready at the same time."""

from typing import NamedTuple

from poplarfold._internal.core.messages import PlaceWanted
from poplarfold._internal.core.model import (
    PIECE_TOKENS,
    PREFIX_BLOCK_TOKENS,
    CallClass,
    EndpointRef,
    EntryKind,
    Identity,
)
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems.cell_answers import grant, reject
from poplarfold._internal.core.systems.cell_pools import (
    Candidate,
    Pool,
    is_allowed,
    pool_for,
)
from poplarfold._internal.core.systems.cell_state import (
    OUTPUT_INTERVAL_S,
    AdmissionState,
    LeaseRow,
    WaitRow,
)
from poplarfold._internal.exceptions import (
    NoEndpointError,
    OverloadedError,
    PromptTooLargeError,
    TargetUnattainableError,
)

__all__ = [
    "plan_model",
    "predict_patient_wait_s",
    "schedule_order",
]

# Time from the end of a prefill to the first output: KV transfer and one step.
HANDOVER_BASE_S = 0.035
HANDOVER_PER_TOKEN_S = 1 / 400_000
# Network delay between the engine, the node and the caller.
NETWORK_DELAY_S = 0.012
# A prefill is sent this long before its engine is predicted to be free, so that
# the engine does not idle while the messages are on their way.
PREFILL_LEAD_S = 0.025
# More waiting calls than this are kept in deadline order, because the cost of choosing
# the calls to postpone grows with the square of their number.
REORDER_CALLS_MAX = 24


class Forecast(NamedTuple):
    """The predicted placement of a model call.

    ``decode`` is None if no slot is free now. ``options`` holds the predicted end,
    start and token count of the prefill on each engine.
    """

    decode: Candidate | None
    prefill: Candidate
    pieces: int
    tokens: int
    slot_at: float
    start_at: float
    done_at: float
    first_output_at: float
    options: list[tuple[float, float, int, Candidate]]

    def reserve(self, pool: Pool) -> None:
        """Reserve the predicted resources in a plan."""
        pool.free_at[self.prefill.ref] = self.done_at
        if self.decode is not None:
            pool.slots[self.decode.ref] -= 1
            pool.pieces[self.decode.ref] -= self.pieces
        elif pool.releases:
            pool.releases.pop(0)


def pieces_needed(request: PlaceWanted) -> int:
    """Return the number of pieces that a call needs while it decodes."""
    return -(-(request.prompt_tokens + request.max_outputs) // PIECE_TOKENS)


def forecast(
    part: AdmissionState,
    now: float,
    request: PlaceWanted,
    pool: Pool,
    prefills: list[Candidate],
    decodes: list[Candidate],
) -> Forecast:
    """Predict a call on the pair of engines with the earliest end of the prefill."""
    pieces = pieces_needed(request)
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
        done_at + handover_s + NETWORK_DELAY_S,
        options,
    )


def schedule_order(
    part: AdmissionState,
    now: float,
    keys: list[tuple[str, str]],
    pools: dict[Identity, Pool],
) -> list[tuple[str, str]]:
    """Order calls by deadline, with the calls to postpone last.

    This is the Moore-Hodgson rule: when a call would be late, one of the calls up
    to and including it is moved to the end: the one that holds its slot longest,
    because that lets the largest number of other calls meet their targets.
    """
    if len(keys) > REORDER_CALLS_MAX:
        return keys
    kept: list[tuple[str, str]] = []
    last: list[tuple[str, str]] = []
    for key in keys:
        kept.append(key)
        while kept and not all_meet_targets(part, now, kept, pools):
            victim = max(kept, key=lambda k: part.waiting[k].request.max_outputs)
            kept.remove(victim)
            last.append(victim)
    return kept + last


def all_meet_targets(
    part: AdmissionState,
    now: float,
    keys: list[tuple[str, str]],
    pools: dict[Identity, Pool],
) -> bool:
    """Return whether all calls meet their targets if planned in this order."""
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
        if plan.first_output_at > row.first_output_due:
            return False
        plan.reserve(pool)
    return True


def plan_model(
    state: NodeState, now: float, key: tuple[str, str], row: WaitRow, pool: Pool
) -> float | None:
    """Grant a slot and a prefill that are ready at the same time, or reject.

    Returns when to plan again if the call waits. The plan reserves the predicted
    resources of a waiting call, so that calls behind it are planned after it.
    """
    part = state.part(AdmissionState)
    request = row.request
    decodes = [c for c in pool.decodes if is_allowed(request, c.ref)]
    prefills = [c for c in pool.prefills if is_allowed(request, c.ref)]
    if not decodes or not prefills:
        reject(state, now, key, NoEndpointError.code, "no usable endpoint pair")
        return None
    pieces = pieces_needed(request)
    if all(pieces > c.report.pieces_total for c in decodes):
        reject(state, now, key, PromptTooLargeError.code, f"{pieces} pieces")
        return None
    plan = forecast(part, now, request, pool, prefills, decodes)
    decode, start_at, first_output_at = plan.decode, plan.start_at, plan.first_output_at
    if first_output_at > row.first_output_due or first_output_at > row.deadline:
        unloaded_s = plan.first_output_at - plan.start_at
        target_s = row.entry.targets.first_output_s
        if unloaded_s > target_s:
            # A retry would not help: even an idle engine is too slow.
            detail = f"the first output takes {unloaded_s:.3f} s on an idle engine"
            reject(state, now, key, TargetUnattainableError.code, detail)
            return None
        late_s = first_output_at - min(row.first_output_due, row.deadline)
        detail = f"the first output would be {late_s:.3f} s late"
        if request.may_wait or all(option[1] <= now for option in plan.options):
            reject(state, now, key, OverloadedError.code, detail, start_at - now)
        else:
            reject(state, now, key, "busy", detail, start_at - now)
        return None
    if decode is None or start_at > now + PREFILL_LEAD_S:
        if not request.may_wait:
            reject(state, now, key, "busy", "engines are in use", start_at - now)
            return None
        plan.reserve(pool)
        return start_at - PREFILL_LEAD_S if decode is not None else plan.slot_at
    plan.reserve(pool)
    considered = list(pool.skipped)
    considered.extend(
        (c.ref.address, f"done in {at - now:.3f} s") for at, _, _, c in plan.options
    )
    considered.extend(
        (c.ref.address, f"{pool.slots[c.ref]} slots left") for c in decodes
    )
    grant_engines(state, now, key, row, plan, decode.ref, considered)
    return None


def grant_engines(
    state: NodeState,
    now: float,
    key: tuple[str, str],
    row: WaitRow,
    plan: Forecast,
    decode: EndpointRef,
    considered: list[tuple[str, str]],
) -> None:
    """Grant the engines of a forecast and add the prefill to its engine's load."""
    part = state.part(AdmissionState)
    request = row.request
    interval_s = part.decode_loads[decode].interval.value
    lease = LeaseRow(
        call_id=request.call_id,
        ask=request.ask,
        holder=row.holder,
        cell=row.cell,
        prefill=plan.prefill.ref,
        decode=decode,
        pieces=plan.pieces,
        prefill_tokens=plan.tokens,
        start_at=max(now, plan.start_at - PREFILL_LEAD_S / 2),
        slot_until=plan.first_output_at + request.max_outputs * interval_s,
        deadline=row.deadline,
        call_class=row.entry.call_class,
    )
    lease_id = grant(state, now, key, lease, False, considered)
    prefill_s = plan.done_at - plan.start_at
    load = part.prefill_loads[plan.prefill.ref]
    load.pending[lease_id] = (lease.start_at, prefill_s)
    load.index.add_expected(now, request.prefixes)
    if row.entry.call_class is CallClass.PATIENT:
        cost = prefill_s + request.max_outputs * interval_s / 20
        part.fair_clocks[row.cell].charge(request.account, cost)


def predict_patient_wait_s(state: NodeState, now: float, row: WaitRow) -> float:
    """Return the predicted wait in seconds of one more patient call in a cell."""
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
