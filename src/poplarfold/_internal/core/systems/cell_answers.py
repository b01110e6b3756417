"""Answers of a cell owner to the nodes that hold calls."""

from poplarfold._internal.core.commands import SendPeer
from poplarfold._internal.core.events import PeerReceived
from poplarfold._internal.core.messages import (
    PeerMessage,
    PlaceDenied,
    PlaceGranted,
    PlaceWanted,
)
from poplarfold._internal.core.model import CallClass, HostKey
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems.cell_leases import add_lease
from poplarfold._internal.core.systems.cell_queues import drop_waiting
from poplarfold._internal.core.systems.cell_state import AdmissionState, LeaseRow

__all__ = [
    "grant",
    "queued_answer",
    "reject",
    "send_answer",
    "send_denial",
]

CANDIDATES_LOGGED_MAX = 20


def send_answer(
    state: NodeState, now: float, host: HostKey, message: PeerMessage
) -> None:
    """Send a message to a node, which may be this one."""
    if host == state.me:
        state.post(PeerReceived(state.me, message))
    else:
        state.emit(SendPeer(host.host, message))


def queued_answer(request: PlaceWanted) -> PlaceDenied:
    """Return the message that confirms that a call is queued."""
    return PlaceDenied(request.call_id, "queued", "", request.ask)


def send_denial(
    state: NodeState,
    now: float,
    holder: HostKey,
    request: PlaceWanted,
    code: str,
    detail: str,
    wait_s: float = 0.0,
) -> None:
    """Send a denial of a request to the node that holds the call."""
    wait_ms = int(min(wait_s, 3600.0) * 1000)
    send_answer(
        state,
        now,
        holder,
        PlaceDenied(request.call_id, code, detail, request.ask, wait_ms),
    )


def grant(
    state: NodeState,
    now: float,
    key: tuple[str, str],
    lease: LeaseRow,
    knows_operations: bool,
    considered: list[tuple[str, str]],
) -> str:
    """Add a lease, send it to its holder and return its id."""
    part = state.part(AdmissionState)
    lease_id = state.new_id("l")
    drop_waiting(part, key)
    add_lease(state, now, lease_id, lease)
    priority = 1 if lease.call_class is CallClass.PATIENT else 0
    message = PlaceGranted(
        lease.call_id,
        lease_id,
        lease.prefill,
        lease.decode,
        max(0.0, lease.start_at - now),
        priority,
        lease.ask,
        knows_operations,
    )
    part.granted[key] = (lease_id, message)
    send_answer(state, now, lease.holder, message)
    state.log(
        "PF3001",
        lease.call_id,
        lease=lease_id,
        prefill=lease.prefill.address if lease.prefill else None,
        decode=lease.decode.address,
        start_in_s=lease.start_at - now,
        considered=considered[:CANDIDATES_LOGGED_MAX],
    )
    return lease_id


def reject(
    state: NodeState,
    now: float,
    key: tuple[str, str],
    code: str,
    detail: str,
    wait_s: float = 0.0,
) -> None:
    """Remove a waiting call from its queue and send a denial."""
    part = state.part(AdmissionState)
    row = part.waiting[key]
    drop_waiting(part, key)
    part.denied[row.cell] = part.denied.get(row.cell, 0) + 1
    send_denial(state, now, row.holder, row.request, code, detail, wait_s)
    state.log(
        "PF3002", row.request.call_id, code=code, detail=detail, cell=row.cell.key
    )
