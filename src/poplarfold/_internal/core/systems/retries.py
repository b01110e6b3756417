"""Decides whether a call whose attempt failed is retried."""

import heapq
from functools import singledispatch
from typing import NamedTuple

from poplarfold._internal.core.events import (
    AttemptEnded,
    CallArrived,
    CallEnded,
    CallPlaced,
)
from poplarfold._internal.core.model import CallClass, EndpointRef, Placement
from poplarfold._internal.core.state import CallRow, NodeState
from poplarfold._internal.core.systems import calls
from poplarfold._internal.exceptions import (
    OutcomeUnknownError,
    PoplarfoldError,
    UpstreamFailedError,
)
from poplarfold._internal.utils.backoff import doubled_s

__all__ = ["RetryState", "next_wakeup", "on_event", "on_tick"]

# Retries are at most this share of the calls of an entry, so that a failing fleet
# gets at most 1.1 times its load.
RETRY_BUDGET_SHARE = 0.1
# Retry tokens that an idle entry keeps, so that single failures are retried at once.
RETRY_BUDGET_MAX = 10.0
RETRY_DELAY_MIN_S = 0.005
RETRY_DELAY_MAX_S = 0.1


class RetryState:
    """The retry budget of each entry and the scheduled retries.

    ``due`` is a heap of (start time, call id, endpoint to repeat at or None).
    ``placements`` holds the last placement of each non-repeatable call.
    """

    def __init__(self) -> None:
        self.budgets: dict[str, float] = {}
        self.due: list[tuple[float, str, EndpointRef | None]] = []
        self.placements: dict[str, Placement] = {}


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Start the retries that are due."""
    due = state.part(RetryState).due
    while due and due[0][0] <= now:
        _, call_id, only = heapq.heappop(due)
        calls.retry_call(state, now, call_id, only)


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the time of the next retry."""
    due = state.part(RetryState).due
    return due[0][0] if due else None


@on_event.register
def _(event: CallArrived, state: NodeState, now: float) -> None:
    budgets = state.part(RetryState).budgets
    budget = budgets.get(event.entry, RETRY_BUDGET_MAX) + RETRY_BUDGET_SHARE
    budgets[event.entry] = min(RETRY_BUDGET_MAX, budget)


@on_event.register
def _(event: AttemptEnded, state: NodeState, now: float) -> None:
    if event.error is None:
        return
    part = state.part(RetryState)
    for call_id, call in state.calls.rows():
        if call.phase != "retrying" or call.last_error is not event.error:
            continue
        error = retry_error(state, now, call, event.error)
        if error is not None:
            calls.end_call(state, now, call_id, error)
            continue
        delay = doubled_s(RETRY_DELAY_MIN_S, call.attempts, RETRY_DELAY_MAX_S)
        start_at = now + delay * state.rng.random()
        heapq.heappush(part.due, (start_at, call_id, repeat_endpoint(part, call)))
        state.log("PF4001", call_id, code=event.error.code, start_at=start_at)


def repeat_endpoint(part: RetryState, call: CallRow) -> EndpointRef | None:
    """Return the endpoint process at which a sent operation may be repeated.

    The process recognises the operation id, so a repeat does not run the operation
    twice. A restarted process may no longer know the operation.
    """
    if not call.sent:
        return None
    placement = part.placements.get(call.arrival.call_id)
    if placement is None or not placement.knows_operations:
        return None
    return placement.decode


@on_event.register
def _(event: CallPlaced, state: NodeState, now: float) -> None:
    call = state.calls.get(event.call_id)
    if call is not None and call.operation_id is not None:
        state.part(RetryState).placements[event.call_id] = event.placement


@on_event.register
def _(event: CallEnded, state: NodeState, now: float) -> None:
    state.part(RetryState).placements.pop(event.call_id, None)


def retry_error(
    state: NodeState, now: float, call: CallRow, error: PoplarfoldError
) -> PoplarfoldError | None:
    """Return the error that rules out a retry, or use retry budget and return None."""
    entry = state.entries.get(call.arrival.entry)
    repeatable = entry is not None and entry.call_class is not CallClass.NON_REPEATABLE
    part = state.part(RetryState)
    if not repeatable and call.sent and repeat_endpoint(part, call) is None:
        return OutcomeUnknownError(f"the endpoint failed after the send: {error}")
    budgets = part.budgets
    budget = budgets.get(call.arrival.entry, RETRY_BUDGET_MAX)
    if now >= call.arrival.deadline or budget < 1.0:
        if not repeatable and call.sent:
            return OutcomeUnknownError(f"no answer from the endpoint: {error}")
        return UpstreamFailedError(f"{error.code}: {error}")
    budgets[call.arrival.entry] = budget - 1.0
    return None
