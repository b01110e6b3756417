"""Invariants of the state of one node, checked at the end of each step.

In production a violation is logged as a numbered event. With the setting
``strict_invariants``, which tests use, it also raises InvariantViolationError.
"""

from collections.abc import Callable

from poplarfold._internal.core.commands import Stop
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.exceptions import InvariantViolationError

__all__ = ["CHECKS", "check", "invariant"]

Check = Callable[[NodeState, float], str | None]
CHECKS: dict[str, Check] = {}


def invariant(name: str) -> Callable[[Check], Check]:
    """Register a check under the name of its invariant.

    A check returns a description of the violation, or None.
    """

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def check(state: NodeState, now: float) -> None:
    """Run all checks and log violations.

    Raises InvariantViolationError if ``strict_invariants`` is set.
    """
    for name, function in CHECKS.items():
        problem = function(state, now)
        if problem is None:
            continue
        state.log("PF9001", None, invariant=name, problem=problem)
        if state.settings.strict_invariants:
            raise InvariantViolationError(f"{name}: {problem}")


@invariant("answered-once")
def check_one_running_attempt(state: NodeState, now: float) -> str | None:
    """Check that each call has at most one attempt that has not ended."""
    seen: set[str] = set()
    for attempt_id, row in state.attempts.items():
        if row.state == "ended":
            continue
        if row.call_id in seen:
            return f"call {row.call_id} has a second open attempt {attempt_id}"
        seen.add(row.call_id)
    return None


@invariant("at-most-once")
def check_sent_calls_hold_claims(state: NodeState, now: float) -> str | None:
    """Check that a call with an operation id runs only while it holds a claim."""
    for call_id, row in state.calls.items():
        if row.phase == "running" and row.operation_id and row.fencing < 0:
            return f"call {call_id} runs without a claim"
    return None


@invariant("graceful-stop")
def check_stop_waits_for_calls(state: NodeState, now: float) -> str | None:
    """Check that a planned stop ends the process only after all calls ended."""
    if state.calls and any(isinstance(command, Stop) for command in state.outbox):
        return f"stopped with {len(state.calls)} open calls"
    return None
