"""Cancels the work that endpoints still hold for dead processes."""

from functools import singledispatch
from typing import NamedTuple

from poplarfold._internal.core import cells
from poplarfold._internal.core.events import (
    EndpointLeaving,
    EndpointReported,
    MemberDeclaredDead,
)
from poplarfold._internal.core.model import EndpointRef, EndpointRole
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import calls, health, membership

__all__ = ["RecoveryState", "next_wakeup", "on_event", "on_tick"]


class RecoveryState:
    """The latest report of each engine that holds work, by address."""

    def __init__(self) -> None:
        self.latest: dict[str, EndpointReported] = {}


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Do nothing: endpoint reports and member deaths drive this system."""


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return None: endpoint reports and member deaths drive this system."""
    return None


@on_event.register
def _(event: EndpointReported, state: NodeState, now: float) -> None:
    latest = state.part(RecoveryState).latest
    if event.work and event.role is not EndpointRole.SERVICE:
        latest[event.address] = event
        cancel_orphaned_work(state, event, now)
    else:
        # Work at services is not cancelled here: a cancel could not undo an operation
        # that is already running.
        latest.pop(event.address, None)


@on_event.register
def _(event: EndpointLeaving, state: NodeState, now: float) -> None:
    state.part(RecoveryState).latest.pop(event.address, None)


@on_event.register
def _(event: MemberDeclaredDead, state: NodeState, now: float) -> None:
    for report in state.part(RecoveryState).latest.values():
        cancel_orphaned_work(state, report, now)


def cancel_orphaned_work(
    state: NodeState, report: EndpointReported, now: float
) -> None:
    """Cancel the work that an engine holds for processes that are proved dead.

    Work of an unreachable node is kept: it may only be cut off from this node and
    still serve its callers.
    """
    row = state.part(health.HealthState).endpoints.get(report.address)
    if row is None or cells.owner_of(state, row.cell) != state.me.host:
        return
    endpoint = EndpointRef(report.address, report.incarnation)
    for item in report.work:
        if membership.is_dead(state, item.owner):
            calls.request_cancel(state, now, item.attempt_id, endpoint)
            state.log(
                "PF6201",
                None,
                attempt=item.attempt_id,
                endpoint=report.address,
                host=item.owner.host,
                incarnation=item.owner.incarnation,
            )
