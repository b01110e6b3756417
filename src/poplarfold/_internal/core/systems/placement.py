"""The node of the call: which cell owner to ask, and what to do meanwhile.

A node asks its own cells first, then other cells of its domain, of its region
and, within the byte budget, of another region. Each answers at once whether it
can start the call in time. If none can, the call waits at the owner that
predicts the shortest wait.
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
    CancelFailed,
    HostsListed,
    OwnershipChanged,
    PeerReceived,
    Placed,
    PlacementRefused,
    PlacementWanted,
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
    link_budget,
    preferred_cells,
)
from poplarfold._internal.core.systems.placement_state import (
    AskRow,
    HeldRow,
    PlacementState,
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

# An owner that does not answer within this time is passed over. The way to
# another region and back takes 20 ms.
SILENT_S = 0.15
# Other calls do not ask a silent owner for this long, so that in a partition
# not every call loses time with it.
SILENT_HOLD_S = 2.0
# A waiting call is announced again, so that the owner keeps it and this node
# notices when the owner has gone silent.
KEEP_ALIVE_S = 0.5
QUEUE_SILENT_S = 1.2
# A waiting call asks other cells in turn, since they may have room sooner than
# predicted. A patient call loses little by a longer period.
PROBE_INTERACTIVE_S = 0.008
PROBE_PATIENT_S = 0.5
# Every so many probes one goes to another region.
FAR_PROBE_EVERY = 2
# Pause between two rounds over cells of which none has an endpoint.
ROUND_PAUSE_S = 0.03
# The grant, the slot, the prefill, the decode and the first output each cross
# the link between regions, which takes 10 ms one way.
REGION_TRIPS_S = 0.08
# After so many tries without an answer the cell owner is asked to help.
CANCEL_TRIES_MAX = 4
# How long a call waits for an endpoint to come back. A patient call outlasts the
# restart of an engine.
NO_ENDPOINT_WAIT_S = 2.0
PATIENT_WAIT_S = 10.0


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Ask again where an owner stays silent."""
    part = state.part(PlacementState)
    while (found := part.first_due()) is not None and found[0] <= now:
        heapq.heappop(part.due)
        look_at_ask(state, now, found[1])


def look_at_ask(state: NodeState, now: float, call_id: str) -> None:
    """Probe, announce a waiting call again, or go on to the next cell."""
    part = state.part(PlacementState)
    ask = part.asks[call_id]
    if ask.waiting and ask.probe_at <= now:
        ask = send_probe(state, now, call_id, ask)
    if call_id not in part.asks or ask.next_at > now:
        return
    if isinstance(POLICIES[state.settings.policy], LocalPolicy):
        place_locally(state, now, call_id)
    elif ask.cell is None:
        start_round(state, now, call_id)
    elif ask.waiting and now - ask.heard_at < QUEUE_SILENT_S:
        send_ask(state, now, call_id, ask)
    else:
        state.log("PF3005", call_id, owner=ask.owner, cell=ask.cell.key)
        part.silent[ask.owner] = now + SILENT_HOLD_S
        withdraw(state, now, call_id, ask)
        ask_next(state, now, call_id, ask)


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the next time to ask again."""
    found = state.part(PlacementState).first_due()
    return found[0] if found else None


@on_event.register
def _(event: PlacementWanted, state: NodeState, now: float) -> None:
    part = state.part(PlacementState)
    call = state.calls.get(event.call_id)
    if call is None or call.phase != "placing":
        return
    taken = limits.take_call(state, now, event.call_id)
    if taken.is_err():
        state.post(PlacementRefused(event.call_id, taken.unwrap_err()))
        return
    entry = state.entries[call.arrival.entry]
    state.sequence += 1
    part.put_ask(event.call_id, AskRow(event, entry, now, state.sequence, ()))
    if isinstance(POLICIES[state.settings.policy], LocalPolicy):
        place_locally(state, now, event.call_id)
    else:
        start_round(state, now, event.call_id)


def start_round(state: NodeState, now: float, call_id: str) -> None:
    """Ask all cells in turn for a place without waiting."""
    ask = state.part(PlacementState).asks[call_id]
    cells = preferred_cells(state, now, ask)
    here = state.settings.region
    near = tuple(c for c in cells if state.settings.region_of(c.domain) == here)
    if near and ask.rounds == 0:
        # The way to another region costs more time than a short wait here.
        cells = near
    ask = ask._replace(cells=cells, waits=(), waiting=False, rounds=ask.rounds + 1)
    ask_next(state, now, call_id, ask)


def ask_next(state: NodeState, now: float, call_id: str, ask: AskRow) -> None:
    """Ask the next cell, or wait at the one that predicts the shortest wait."""
    part = state.part(PlacementState)
    call = state.calls[call_id]
    if ask.cells:
        cell, rest = ask.cells[0], ask.cells[1:]
        ask = ask._replace(cells=rest)
        if part.silent.get(owner_of(state, cell) or "", now) > now:
            ask_next(state, now, call_id, ask)
            return
        if not link_budget(state, now, call_id, ask, cell, look=True):
            ask = ask._replace(
                last_code=ask.last_code or LinkBudgetError.code,
                last_detail=ask.last_detail or "the byte budget of the link is used up",
            )
            part.put_ask(call_id, ask)
            ask_next(state, now, call_id, ask)
            return
        ask_cell(state, now, call_id, ask, cell, waiting=False)
        return
    if ask.waits and not ask.waiting:
        _, _, cell = min(ask.waits)
        ask_cell(state, now, call_id, ask._replace(waits=()), cell, waiting=True)
        return
    target_s = ask.entry.targets.first_output_s
    patient = ask.entry.call_class is CallClass.PATIENT
    longest_s = PATIENT_WAIT_S if patient else NO_ENDPOINT_WAIT_S
    patience_s = min(longest_s, target_s)
    if ask.last_code == NoEndpointError.code or not ask.last_code or ask.waiting:
        if now + ROUND_PAUSE_S < min(ask.since + patience_s, call.arrival.deadline):
            part.put_ask(
                call_id,
                ask._replace(cell=None, waiting=False, next_at=now + ROUND_PAUSE_S),
            )
            return
    give_up(state, call_id, ask)


def give_up(state: NodeState, call_id: str, ask: AskRow) -> None:
    """Refuse a call for which no cell has a place in time."""
    del state.part(PlacementState).asks[call_id]
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
    error = types.get(ask.last_code, NoEndpointError)
    detail = ask.last_detail or f"no endpoint serves what {ask.entry.name!r} pins"
    state.post(PlacementRefused(call_id, error(detail)))


def ask_cell(
    state: NodeState, now: float, call_id: str, ask: AskRow, cell: Cell, waiting: bool
) -> None:
    """Ask the owner of a cell for a place."""
    state.sequence += 1
    owner = owner_of(state, cell) or ""
    ask = ask._replace(
        cell=cell,
        owner=owner,
        waiting=waiting,
        heard_at=now,
        number=state.sequence,
        probe=-1,
        probe_at=now + PROBE_INTERACTIVE_S,
    )
    send_ask(state, now, call_id, ask)


def send_ask(state: NodeState, now: float, call_id: str, ask: AskRow) -> None:
    """Send a request for a place; a repeat carries the same number."""
    part = state.part(PlacementState)
    assert ask.cell is not None
    pause_s = KEEP_ALIVE_S if ask.waiting else SILENT_S
    if ask.owner == state.me.host:
        pause_s = 3600.0
    part.put_ask(call_id, ask._replace(next_at=now + pause_s))
    message = request_of(state, now, call_id, ask, ask.cell, ask.number, ask.waiting)
    tell(state, now, ask.owner, message)


def send_probe(state: NodeState, now: float, call_id: str, ask: AskRow) -> AskRow:
    """Ask another cell while the call waits, mostly one of the region."""
    part = state.part(PlacementState)
    ask = ask._replace(probe_at=now + SILENT_S, probes=ask.probes + 1)
    known = preferred_cells(state, now, ask)
    here = state.settings.region
    far = ask.probes % FAR_PROBE_EVERY == 0
    cells = [
        cell
        for cell in known
        if (state.settings.region_of(cell.domain) != here) == far
        and owner_of(state, cell) not in (None, ask.owner)
        and (not far or link_budget(state, now, call_id, ask, cell, look=True))
    ]
    if not cells:
        ask = part.put_ask(call_id, ask._replace(probe_at=now + probe_pause_s(ask)))
        return ask
    state.sequence += 1
    cell = cells[ask.probes % len(cells)]
    part.put_ask(call_id, ask._replace(probe=state.sequence, probe_cell=cell))
    message = request_of(state, now, call_id, ask, cell, state.sequence, False)
    tell(state, now, owner_of(state, cell) or "", message)
    return part.asks.get(call_id, ask._replace(next_at=now + SILENT_S))


def probe_pause_s(ask: AskRow) -> float:
    """Return the pause after a probe that was answered."""
    patient = ask.entry.call_class is CallClass.PATIENT
    return PROBE_PATIENT_S if patient else PROBE_INTERACTIVE_S


def request_of(
    state: NodeState,
    now: float,
    call_id: str,
    ask: AskRow,
    cell: Cell,
    number: int,
    may_wait: bool,
) -> PlaceWanted:
    """Return the message that asks for a place in a cell."""
    call = state.calls[call_id]
    arrival = call.arrival
    waited_s = now - call.arrived_at if call.outputs == 0 else now - ask.since
    if state.settings.region_of(cell.domain) != state.settings.region:
        waited_s += REGION_TRIPS_S
    return PlaceWanted(
        call_id=call_id,
        entry=arrival.entry,
        account=arrival.account,
        prompt_tokens=arrival.prompt_tokens + call.outputs,
        prompt_bytes=arrival.prompt_bytes,
        prefixes=arrival.prefixes if ask.entry.kind is EntryKind.MODEL else (),
        max_outputs=max(1, arrival.max_outputs - call.outputs),
        wait_s=arrival.deadline - now,
        waited_s=waited_s,
        excluded=ask.wanted.excluded,
        is_retry=call.attempts > 0,
        ask=number,
        may_wait=may_wait,
        only=ask.wanted.only,
        cell=cell.number,
    )


def tell(state: NodeState, now: float, host: str, message: PeerMessage) -> None:
    """Send a message to the owner of a cell, which may be this node."""
    if host == state.me.host:
        admission.receive(message, state.me, state, now)
    elif host:
        state.emit(SendPeer(host, message))


def withdraw(state: NodeState, now: float, call_id: str, ask: AskRow) -> None:
    """Tell the owner that a call no longer waits there."""
    tell(state, now, ask.owner, PlaceWithdrawn(call_id, ask.number))


@on_event.register
def _(event: PeerReceived, state: NodeState, now: float) -> None:
    state.part(PlacementState).silent.pop(event.sender.host, None)
    receive(event.message, event.sender, state, now)


@singledispatch
def receive(
    message: PeerMessage, sender: HostKey, state: NodeState, now: float
) -> None:
    """Handle an owner's answer; other messages are ignored."""


@receive.register
def _(message: PlaceGranted, sender: HostKey, state: NodeState, now: float) -> None:
    part = state.part(PlacementState)
    ask = part.asks.get(message.call_id)
    if message.lease_id in part.held:
        return
    cell = None
    if ask is not None:
        cell = {ask.number: ask.cell, ask.probe: ask.probe_cell}.get(message.ask)
    if ask is not None and cell is not None:
        if not link_budget(state, now, message.call_id, ask, cell, look=False):
            cell = None
            if message.ask == ask.number:
                ask_next(state, now, message.call_id, ask)
    if ask is None or cell is None:
        # The call has ended or was placed elsewhere: the lease is not used.
        release = LeaseReleased(message.lease_id, "unused", "", 0.0)
        tell(state, now, sender.host, release)
        return
    del part.asks[message.call_id]
    if message.ask == ask.probe:
        withdraw(state, now, message.call_id, ask)
    placement = Placement(
        decode=message.decode,
        prefill=message.prefill,
        lease_id=message.lease_id,
        start_at=now + message.start_in_s,
        priority=message.priority,
        fallback=state.settings.region_of(cell.domain) != state.settings.region,
        knows_operations=message.knows_operations,
    )
    part.held.put(message.lease_id, HeldRow(message.call_id, cell, placement))
    state.post(Placed(message.call_id, placement))


@receive.register
def _(message: PlaceDenied, sender: HostKey, state: NodeState, now: float) -> None:
    part = state.part(PlacementState)
    ask = part.asks.get(message.call_id)
    if ask is not None and ask.probe == message.ask:
        pause_s = probe_pause_s(ask)
        part.put_ask(message.call_id, ask._replace(probe=-1, probe_at=now + pause_s))
        return
    if ask is None or ask.number != message.ask or ask.cell is None:
        return
    if message.code == "queued":
        part.put_ask(message.call_id, ask._replace(heard_at=now))
        return
    if message.code == "busy":
        # Of equal waits the nearer cell, which was asked earlier, is better.
        wait = (message.wait_ms, len(ask.waits), ask.cell)
        same_region = state.settings.region_of(ask.cell.domain) == state.settings.region
        if same_region:
            ask = ask._replace(waits=ask.waits + (wait,))
    elif message.code == "not_owner":
        ask = ask._replace(waiting=True)  # Look for the owner again.
    ask = ask._replace(last_code=message.code, last_detail=message.detail)
    ask_next(state, now, message.call_id, ask)


@on_event.register
def _(event: CallEnded, state: NodeState, now: float) -> None:
    part = state.part(PlacementState)
    ask = part.asks.pop(event.call_id, None)
    if ask is not None and ask.cell is not None:
        withdraw(state, now, event.call_id, ask)


@on_event.register
def _(event: PrefillDone, state: NodeState, now: float) -> None:
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return
    held = state.part(PlacementState).held.get(attempt.placement.lease_id)
    if held is not None:
        message = LeaseProgress(attempt.placement.lease_id, event.duration_s)
        tell(state, now, owner_of(state, held.cell) or "", message)


@on_event.register
def _(event: CancelFailed, state: NodeState, now: float) -> None:
    cancel = state.cancels.get((event.attempt_id, event.address))
    if cancel is None or cancel.tries != CANCEL_TRIES_MAX:
        return
    # The owner of the cell may reach an endpoint that this node does not.
    row = state.part(HealthState).endpoints.get(event.address)
    owner = owner_of(state, row.cell) if row is not None else None
    if owner is not None and owner != state.me.host:
        tell(state, now, owner, CancelWanted(event.attempt_id, event.address))


@on_event.register
def _(event: AttemptEnded, state: NodeState, now: float) -> None:
    state.part(PlacementState).failed[event.attempt_id] = event


@on_event.register
def _(event: AttemptClosed, state: NodeState, now: float) -> None:
    part = state.part(PlacementState)
    lease_id = event.placement.lease_id
    ended = part.failed.pop(calls.attempt_of_lease(lease_id), None)
    held = part.held.pop(lease_id, None)
    if held is None:
        return
    message = LeaseReleased(
        lease_id,
        event.error.code if event.error else "",
        (ended.failed_endpoint or "") if ended else "",
        ended.mean_interval_s if ended else 0.0,
    )
    tell(state, now, owner_of(state, held.cell) or "", message)


@on_event.register
def _(event: HostsListed, state: NodeState, now: float) -> None:
    state.part(PlacementState).order.clear()


@on_event.register
def _(event: OwnershipChanged, state: NodeState, now: float) -> None:
    part = state.part(PlacementState)
    part.order.clear()
    held: dict[str, list[tuple[str, str, str, int]]] = {}
    for lease_id, row in part.held.items():
        owner = owner_of(state, row.cell)
        if owner is None or part.owners.get(row.cell, "") == owner:
            continue
        decode = row.placement.decode
        fact = (lease_id, row.call_id, decode.address, decode.incarnation)
        held.setdefault(owner, []).append(fact)
    for owner, facts in held.items():
        tell(state, now, owner, LeasesHeld(tuple(facts)))
    cells = {row.cell for row in part.held.values()}
    part.owners = {cell: owner_of(state, cell) for cell in cells}
    for call_id, ask in part.asks.rows():
        if ask.cell is not None and owner_of(state, ask.cell) != ask.owner:
            start_round(state, now, call_id)


# Policies that decide on each node from lagging reports.


def place_locally(state: NodeState, now: float, call_id: str) -> None:
    """Choose endpoints without asking an owner."""
    part = state.part(PlacementState)
    ask = part.asks[call_id]
    call = state.calls[call_id]
    leases = [row.placement for row in part.held.values()]
    policy = POLICIES[state.settings.policy]
    found = choose_locally(policy, state, now, ask.entry, ask.wanted, leases)
    if found is not None:
        decode, prefill = found
        lease_id = state.new_id("l")
        priority = 1 if ask.entry.call_class is CallClass.PATIENT else 0
        placement = Placement(decode, prefill, lease_id, now, priority)
        del part.asks[call_id]
        part.held.put(lease_id, HeldRow(call_id, Cell("", "", 0), placement))
        state.log("PF3001", call_id, lease=lease_id, decode=decode.address)
        state.post(Placed(call_id, placement))
        return
    patience_s = max(ask.entry.targets.first_output_s, NO_ENDPOINT_WAIT_S)
    if now >= min(call.arrived_at + patience_s, call.arrival.deadline):
        give_up(state, call_id, ask)
        return
    part.put_ask(call_id, ask._replace(next_at=now + 0.02))
