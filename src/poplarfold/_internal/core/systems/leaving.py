"""Endpoints that are leaving: they get no new work after the first sign.

The signs are the host list, a load report and a refusal. A sign given by the
endpoint process applies to its incarnation; a sign in the host list applies as
long as it is listed.
"""

from functools import singledispatch
from typing import NamedTuple

from poplarfold._internal.core.events import (
    EndpointLeaving,
    EndpointReported,
    HostListReceived,
)
from poplarfold._internal.core.model import EndpointRef
from poplarfold._internal.core.state import NodeState

__all__ = [
    "LeavingState",
    "hold_after_refusal",
    "is_leaving",
    "next_wakeup",
    "on_event",
    "on_tick",
]

# A refusal may also mean that the engine is full, so it applies only until a report
# can show whether the engine is leaving. Reports lag by up to 0.5 s.
REFUSAL_HOLD_S = 0.6


class LeavingState:
    """The endpoints that are leaving, by the kind of sign."""

    def __init__(self) -> None:
        self.listed: set[str] = set()
        self.reported: set[EndpointRef] = set()
        self.refused_until: dict[EndpointRef, float] = {}


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Do nothing; signs are processed as events."""


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return None, because no action here is scheduled."""
    return None


def is_leaving(state: NodeState, now: float, ref: EndpointRef) -> bool:
    """Return whether an endpoint process must get no new work."""
    part = state.part(LeavingState)
    return (
        ref.address in part.listed
        or ref in part.reported
        or part.refused_until.get(ref, now) > now
    )


def hold_after_refusal(state: NodeState, now: float, ref: EndpointRef) -> None:
    """Give an endpoint that refused work no new work for REFUSAL_HOLD_S."""
    state.part(LeavingState).refused_until[ref] = now + REFUSAL_HOLD_S


@on_event.register
def _(event: HostListReceived, state: NodeState, now: float) -> None:
    part = state.part(LeavingState)
    listed = {
        host.address for host in event.hosts if host.kind == "endpoint" and host.leaving
    }
    for address in sorted(listed - part.listed):
        state.log("PF3201", None, endpoint=address, sign="host list")
        state.post(EndpointLeaving(address, 0))
    part.listed = listed
    present = {host.address for host in event.hosts}
    part.reported = {ref for ref in part.reported if ref.address in present}


@on_event.register
def _(event: EndpointReported, state: NodeState, now: float) -> None:
    part = state.part(LeavingState)
    ref = EndpointRef(event.address, event.incarnation)
    if event.leaving and ref not in part.reported:
        part.reported.add(ref)
        state.log("PF3201", None, endpoint=event.address, sign="report")
        state.post(EndpointLeaving(event.address, event.incarnation))
    until = part.refused_until.get(ref)
    if until is not None and until <= now:
        del part.refused_until[ref]
