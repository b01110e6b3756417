"""Placement of calls, as seen by the node that holds the call.

The node requests a place from its own cells first, then from other cells of its
domain, of its region and, within the byte budget, of another region. Each cell
owner answers at once whether it can start the call in time. If none can, the
call waits in the queue of the owner that predicts the shortest wait.
"""

import heapq
from functools import singledispatch
from typing import NamedTuple

from poplarfold._internal.core.cells import Cell, owner_of
from poplarfold._internal.core.commands import SendPeer
from poplarfold._internal.core.events import (
    AttemptClosed,
    AttemptEnded,
    CallEnded,
    CallPlaced,
    CancelFailed,
    HostListReceived,
    OwnershipChanged,
    PeerReceived,
    PlacementFailed,
    PlacementRequested,
    PrefillDone,
)
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
from poplarfold._internal.core.model import CallClass, EntryKind, HostKey, Placement
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import admission, calls, limits
from poplarfold._internal.core.systems.health import HealthState
from poplarfold._internal.core.systems.placement_cells import (
    preferred_cells,
    reserve_link_bytes,
)
from poplarfold._internal.core.systems.placement_state import (
    HeldLease,
    PlacementState,
    RequestRow,
)
from poplarfold._internal.core.systems.policies import (
    POLICIES,
    LocalPolicy,
    choose_locally,
)
from poplarfold._internal.exceptions import (
    EntryNotFoundError,
    LinkBudgetError,
    NoEndpointError,
    OverloadedError,
    PoplarfoldError,
    PromptTooLargeError,
    TargetUnattainableError,
)

__all__ = ["PlacementState", "next_wakeup", "on_event", "on_tick"]

# An owner that does not answer within this time is skipped. The round trip to
# another region takes 20 ms.
OWNER_TIMEOUT_S = 0.15
# An unresponsive owner is skipped by all calls for this long, so that during a
# network partition not every call has to wait for the timeout.
OWNER_COOLDOWN_S = 2.0
# The request of a queued call is repeated, so that the owner keeps the call and
# this node detects an owner that no longer responds.
KEEP_ALIVE_PERIOD_S = 0.5
KEEP_ALIVE_TIMEOUT_S = 1.2
# A queued call probes other cells in turn, because they may have room sooner than
# predicted. A longer period costs a patient call little.
PROBE_PERIOD_INTERACTIVE_S = 0.008
PROBE_PERIOD_PATIENT_S = 0.5
# One of this many probes goes to another region.
CROSS_REGION_PROBE_EVERY = 2
# Pause between two rounds of requests when no cell has an endpoint.
ROUND_PAUSE_S = 0.03
# Added to the time waited in a request to another region. The grant, the
# slot, the prefill, the decode and the first output each cross the link between
# regions, which takes 10 ms one way.
CROSS_REGION_DELAY_S = 0.08
# After this many unanswered cancel requests the cell owner is asked to cancel.
CANCEL_TRIES_MAX = 4
# How long a call waits for an endpoint to become available. The time for patient
# calls is longer than the restart of an engine.
NO_ENDPOINT_WAIT_S = 2.0
NO_ENDPOINT_WAIT_PATIENT_S = 10.0


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Process the requests that are due: timeouts, keep-alives and probes."""
    part = state.part(PlacementState)
    while (found := part.first_due()) is not None and found[0] <= now:
        heapq.heappop(part.due)
        process_due_request(state, now, found[1])


def process_due_request(state: NodeState, now: float, call_id: str) -> None:
    """Send a probe, repeat the request, or try the next cell."""
    part = state.part(PlacementState)
    request = part.requests[call_id]
    if request.waiting and request.next_probe_at <= now:
        request = send_probe(state, now, call_id, request)
    if call_id not in part.requests or request.next_try_at > now:
        return
    if isinstance(POLICIES[state.settings.policy], LocalPolicy):
        place_locally(state, now, call_id)
    elif request.cell is None:
        start_round(state, now, call_id)
    elif request.waiting and now - request.last_answer_at < KEEP_ALIVE_TIMEOUT_S:
        send_request(state, now, call_id, request)
    else:
        state.log("PF3005", call_id, owner=request.owner, cell=request.cell.key)
        part.unresponsive_until[request.owner] = now + OWNER_COOLDOWN_S
        withdraw(state, now, call_id, request)
        try_next_cell(state, now, call_id, request)


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the time of the next due request."""
    found = state.part(PlacementState).first_due()
    return found[0] if found else None


@on_event.register
def _(event: PlacementRequested, state: NodeState, now: float) -> None:
    part = state.part(PlacementState)
    call = state.calls.get(event.call_id)
    if call is None or call.phase != "placing":
        return
    taken = limits.reserve_call(state, now, event.call_id)
    if taken.is_err():
        state.post(PlacementFailed(event.call_id, taken.unwrap_err()))
        return
    entry = state.entries[call.arrival.entry]
    state.sequence += 1
    part.put_request(event.call_id, RequestRow(event, entry, now, state.sequence, ()))
    if isinstance(POLICIES[state.settings.policy], LocalPolicy):
        place_locally(state, now, event.call_id)
    else:
        start_round(state, now, event.call_id)


def start_round(state: NodeState, now: float, call_id: str) -> None:
    """Request a place from all cells in turn, without waiting in a queue."""
    request = state.part(PlacementState).requests[call_id]
    cells = preferred_cells(state, now, request)
    own_region = state.settings.region
    regional = tuple(
        c for c in cells if state.settings.region_of(c.domain) == own_region
    )
    if regional and request.rounds == 0:
        # A short wait in this region is better than the delay of the link to another
        # one, so the first round stays in this region.
        cells = regional
    request = request._replace(
        cells=cells, predicted_waits=(), waiting=False, rounds=request.rounds + 1
    )
    try_next_cell(state, now, call_id, request)


def try_next_cell(
    state: NodeState, now: float, call_id: str, request: RequestRow
) -> None:
    """Try the next cell, or wait at the one that predicts the shortest wait."""
    part = state.part(PlacementState)
    call = state.calls[call_id]
    if request.cells:
        cell, rest = request.cells[0], request.cells[1:]
        request = request._replace(cells=rest)
        if part.unresponsive_until.get(owner_of(state, cell) or "", now) > now:
            try_next_cell(state, now, call_id, request)
            return
        if not reserve_link_bytes(state, now, call_id, request, cell, dry_run=True):
            request = request._replace(
                last_code=request.last_code or LinkBudgetError.code,
                last_detail=request.last_detail
                or "the byte budget of the link is used up",
            )
            part.put_request(call_id, request)
            try_next_cell(state, now, call_id, request)
            return
        request_from_cell(state, now, call_id, request, cell, waiting=False)
        return
    if request.predicted_waits and not request.waiting:
        _, _, cell = min(request.predicted_waits)
        request_from_cell(
            state,
            now,
            call_id,
            request._replace(predicted_waits=()),
            cell,
            waiting=True,
        )
        return
    target_s = request.entry.targets.first_output_s
    patient = request.entry.call_class is CallClass.PATIENT
    no_endpoint_wait_s = NO_ENDPOINT_WAIT_PATIENT_S if patient else NO_ENDPOINT_WAIT_S
    max_wait_s = min(no_endpoint_wait_s, target_s)
    if (
        request.last_code == NoEndpointError.code
        or not request.last_code
        or request.waiting
    ):
        if now + ROUND_PAUSE_S < min(request.since + max_wait_s, call.arrival.deadline):
            part.put_request(
                call_id,
                request._replace(
                    cell=None, waiting=False, next_try_at=now + ROUND_PAUSE_S
                ),
            )
            return
    reject_call(state, call_id, request)


def reject_call(state: NodeState, call_id: str, request: RequestRow) -> None:
    """Reject a call that no cell can place in time."""
    del state.part(PlacementState).requests[call_id]
    types: dict[str, type[PoplarfoldError]] = {
        kind.code: kind
        for kind in (
            EntryNotFoundError,
            LinkBudgetError,
            PromptTooLargeError,
            TargetUnattainableError,
        )
    }
    types[OverloadedError.code] = types["busy"] = OverloadedError
    error = types.get(request.last_code, NoEndpointError)
    detail = (
        request.last_detail
        or f"no endpoint serves the identity that {request.entry.name!r} pins"
    )
    state.post(PlacementFailed(call_id, error(detail)))


def request_from_cell(
    state: NodeState,
    now: float,
    call_id: str,
    request: RequestRow,
    cell: Cell,
    waiting: bool,
) -> None:
    """Request a place from the owner of a cell."""
    state.sequence += 1
    owner = owner_of(state, cell) or ""
    request = request._replace(
        cell=cell,
        owner=owner,
        waiting=waiting,
        last_answer_at=now,
        number=state.sequence,
        probe_number=-1,
        next_probe_at=now + PROBE_PERIOD_INTERACTIVE_S,
    )
    send_request(state, now, call_id, request)


def send_request(
    state: NodeState, now: float, call_id: str, request: RequestRow
) -> None:
    """Send a request for a place; a repeated request has the same number."""
    part = state.part(PlacementState)
    assert request.cell is not None
    pause_s = KEEP_ALIVE_PERIOD_S if request.waiting else OWNER_TIMEOUT_S
    if request.owner == state.me.host:
        # At a cell of this node, the call needs no keep-alive and cannot time out.
        pause_s = 3600.0
    part.put_request(call_id, request._replace(next_try_at=now + pause_s))
    message = build_request(
        state, now, call_id, request, request.cell, request.number, request.waiting
    )
    send_to_owner(state, now, request.owner, message)


def send_probe(
    state: NodeState, now: float, call_id: str, request: RequestRow
) -> RequestRow:
    """Request a place from another cell while the call waits.

    Probes alternate between cells of this region and of other regions.
    """
    part = state.part(PlacementState)
    request = request._replace(
        next_probe_at=now + OWNER_TIMEOUT_S, probe_count=request.probe_count + 1
    )
    known = preferred_cells(state, now, request)
    own_region = state.settings.region
    cross_region = request.probe_count % CROSS_REGION_PROBE_EVERY == 0
    cells = [
        cell
        for cell in known
        if (state.settings.region_of(cell.domain) != own_region) == cross_region
        and owner_of(state, cell) not in (None, request.owner)
        and (
            not cross_region
            or reserve_link_bytes(state, now, call_id, request, cell, dry_run=True)
        )
    ]
    if not cells:
        request = part.put_request(
            call_id, request._replace(next_probe_at=now + probe_period_s(request))
        )
        return request
    state.sequence += 1
    cell = cells[request.probe_count % len(cells)]
    part.put_request(
        call_id, request._replace(probe_number=state.sequence, probe_cell=cell)
    )
    message = build_request(state, now, call_id, request, cell, state.sequence, False)
    send_to_owner(state, now, owner_of(state, cell) or "", message)
    return part.requests.get(
        call_id, request._replace(next_try_at=now + OWNER_TIMEOUT_S)
    )


def probe_period_s(request: RequestRow) -> float:
    """Return the pause after an answered probe."""
    patient = request.entry.call_class is CallClass.PATIENT
    return PROBE_PERIOD_PATIENT_S if patient else PROBE_PERIOD_INTERACTIVE_S


def build_request(
    state: NodeState,
    now: float,
    call_id: str,
    request: RequestRow,
    cell: Cell,
    number: int,
    may_wait: bool,
) -> PlaceWanted:
    """Return the message that requests a place in a cell."""
    call = state.calls[call_id]
    arrival = call.arrival
    waited_s = now - call.arrived_at if call.outputs == 0 else now - request.since
    if state.settings.region_of(cell.domain) != state.settings.region:
        waited_s += CROSS_REGION_DELAY_S
    return PlaceWanted(
        call_id=call_id,
        entry=arrival.entry,
        account=arrival.account,
        prompt_tokens=arrival.prompt_tokens + call.outputs,
        prompt_bytes=arrival.prompt_bytes,
        prefixes=arrival.prefixes if request.entry.kind is EntryKind.MODEL else (),
        max_outputs=max(1, arrival.max_outputs - call.outputs),
        wait_s=arrival.deadline - now,
        waited_s=waited_s,
        excluded=request.event.excluded,
        is_retry=call.attempts > 0,
        ask=number,
        may_wait=may_wait,
        only=request.event.only,
        cell=cell.number,
    )


def send_to_owner(
    state: NodeState, now: float, host: str, message: PeerMessage
) -> None:
    """Send a message to the owner of a cell, which may be this node."""
    if host == state.me.host:
        admission.receive(message, state.me, state, now)
    elif host:
        state.emit(SendPeer(host, message))


def withdraw(state: NodeState, now: float, call_id: str, request: RequestRow) -> None:
    """Tell the owner that a call no longer waits in its queue."""
    send_to_owner(state, now, request.owner, PlaceWithdrawn(call_id, request.number))


@on_event.register
def _(event: PeerReceived, state: NodeState, now: float) -> None:
    state.part(PlacementState).unresponsive_until.pop(event.sender.host, None)
    receive(event.message, event.sender, state, now)


@singledispatch
def receive(
    message: PeerMessage, sender: HostKey, state: NodeState, now: float
) -> None:
    """Handle an owner's answer; other messages are ignored."""


@receive.register
def _(message: PlaceGranted, sender: HostKey, state: NodeState, now: float) -> None:
    part = state.part(PlacementState)
    request = part.requests.get(message.call_id)
    if message.lease_id in part.held_leases:
        return
    cell = None
    if request is not None:
        cell = {
            request.number: request.cell,
            request.probe_number: request.probe_cell,
        }.get(message.ask)
    if request is not None and cell is not None:
        if not reserve_link_bytes(
            state, now, message.call_id, request, cell, dry_run=False
        ):
            cell = None
            if message.ask == request.number:
                try_next_cell(state, now, message.call_id, request)
    if request is None or cell is None:
        # The call has ended or was placed in another cell: release the lease.
        release = LeaseReleased(message.lease_id, "unused", "", 0.0)
        send_to_owner(state, now, sender.host, release)
        return
    del part.requests[message.call_id]
    if message.ask == request.probe_number:
        withdraw(state, now, message.call_id, request)
    placement = Placement(
        decode=message.decode,
        prefill=message.prefill,
        lease_id=message.lease_id,
        start_at=now + message.start_in_s,
        priority=message.priority,
        fallback=state.settings.region_of(cell.domain) != state.settings.region,
        knows_operations=message.knows_operations,
    )
    part.held_leases.put(message.lease_id, HeldLease(message.call_id, cell, placement))
    state.post(CallPlaced(message.call_id, placement))


@receive.register
def _(message: PlaceDenied, sender: HostKey, state: NodeState, now: float) -> None:
    part = state.part(PlacementState)
    request = part.requests.get(message.call_id)
    if request is not None and request.probe_number == message.ask:
        pause_s = probe_period_s(request)
        part.put_request(
            message.call_id,
            request._replace(probe_number=-1, next_probe_at=now + pause_s),
        )
        return
    if request is None or request.number != message.ask or request.cell is None:
        return
    if message.code == "queued":
        part.put_request(message.call_id, request._replace(last_answer_at=now))
        return
    if message.code == "busy":
        # With equal waits, prefer the nearer cell, which was asked earlier.
        wait = (message.wait_ms, len(request.predicted_waits), request.cell)
        same_region = (
            state.settings.region_of(request.cell.domain) == state.settings.region
        )
        if same_region:
            request = request._replace(
                predicted_waits=request.predicted_waits + (wait,)
            )
    elif message.code == "not_owner":
        request = request._replace(waiting=True)  # Look up the owner again.
    request = request._replace(last_code=message.code, last_detail=message.detail)
    try_next_cell(state, now, message.call_id, request)


@on_event.register
def _(event: CallEnded, state: NodeState, now: float) -> None:
    part = state.part(PlacementState)
    request = part.requests.pop(event.call_id, None)
    if request is not None and request.cell is not None:
        withdraw(state, now, event.call_id, request)


@on_event.register
def _(event: PrefillDone, state: NodeState, now: float) -> None:
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return
    held = state.part(PlacementState).held_leases.get(attempt.placement.lease_id)
    if held is not None:
        message = LeaseProgress(attempt.placement.lease_id, event.duration_s)
        send_to_owner(state, now, owner_of(state, held.cell) or "", message)


@on_event.register
def _(event: CancelFailed, state: NodeState, now: float) -> None:
    cancel = state.cancels.get((event.attempt_id, event.address))
    if cancel is None or cancel.tries != CANCEL_TRIES_MAX:
        return
    # The cell owner may reach an endpoint that this node cannot reach.
    row = state.part(HealthState).endpoints.get(event.address)
    owner = owner_of(state, row.cell) if row is not None else None
    if owner is not None and owner != state.me.host:
        send_to_owner(state, now, owner, CancelWanted(event.attempt_id, event.address))


@on_event.register
def _(event: AttemptEnded, state: NodeState, now: float) -> None:
    state.part(PlacementState).ended_attempts[event.attempt_id] = event


@on_event.register
def _(event: AttemptClosed, state: NodeState, now: float) -> None:
    part = state.part(PlacementState)
    lease_id = event.placement.lease_id
    ended = part.ended_attempts.pop(calls.attempt_of_lease(lease_id), None)
    held = part.held_leases.pop(lease_id, None)
    if held is None:
        return
    message = LeaseReleased(
        lease_id,
        event.error.code if event.error else "",
        (ended.failed_endpoint or "") if ended else "",
        ended.mean_interval_s if ended else 0.0,
    )
    send_to_owner(state, now, owner_of(state, held.cell) or "", message)


@on_event.register
def _(event: HostListReceived, state: NodeState, now: float) -> None:
    state.part(PlacementState).cell_orders.clear()


@on_event.register
def _(event: OwnershipChanged, state: NodeState, now: float) -> None:
    part = state.part(PlacementState)
    part.cell_orders.clear()
    held: dict[str, list[tuple[str, str, str, int]]] = {}
    for lease_id, row in part.held_leases.items():
        owner = owner_of(state, row.cell)
        if owner is None or part.owners.get(row.cell, "") == owner:
            continue
        decode = row.placement.decode
        lease_fields = (lease_id, row.call_id, decode.address, decode.incarnation)
        held.setdefault(owner, []).append(lease_fields)
    for owner, owner_leases in held.items():
        send_to_owner(state, now, owner, LeasesHeld(tuple(owner_leases)))
    cells = {row.cell for row in part.held_leases.values()}
    part.owners = {cell: owner_of(state, cell) for cell in cells}
    for call_id, request in part.requests.rows():
        if request.cell is not None and owner_of(state, request.cell) != request.owner:
            start_round(state, now, call_id)


# Policies that place calls on each node, from delayed endpoint reports.


def place_locally(state: NodeState, now: float, call_id: str) -> None:
    """Place a call without a request to a cell owner."""
    part = state.part(PlacementState)
    request = part.requests[call_id]
    call = state.calls[call_id]
    leases = [row.placement for row in part.held_leases.values()]
    policy = POLICIES[state.settings.policy]
    found = choose_locally(policy, state, now, request.entry, request.event, leases)
    if found is not None:
        decode, prefill = found
        lease_id = state.new_id("l")
        priority = 1 if request.entry.call_class is CallClass.PATIENT else 0
        placement = Placement(decode, prefill, lease_id, now, priority)
        del part.requests[call_id]
        part.held_leases.put(lease_id, HeldLease(call_id, Cell("", "", 0), placement))
        state.log("PF3001", call_id, lease=lease_id, decode=decode.address)
        state.post(CallPlaced(call_id, placement))
        return
    max_wait_s = max(request.entry.targets.first_output_s, NO_ENDPOINT_WAIT_S)
    if now >= min(call.arrived_at + max_wait_s, call.arrival.deadline):
        reject_call(state, call_id, request)
        return
    part.put_request(call_id, request._replace(next_try_at=now + 0.02))
