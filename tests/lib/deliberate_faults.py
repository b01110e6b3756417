"""Deliberate faults in the code, at least one for each invariant.

``FAULTS`` maps the name of a fault to the invariant that it violates and to a
function that injects it with pytest's ``monkeypatch``. If the fuzzing does not find
a fault, its invariant is not effectively tested.
"""

import sys
from collections.abc import Callable
from typing import Any, NamedTuple

from tests.lib.cluster import MODEL, OTHER_MODEL

from poplarfold._internal.core.commands import FinishCall, Stop
from poplarfold._internal.core.events import ClaimWon
from poplarfold._internal.core.systems import (
    calls,
    catalogue,
    claim_decisions,
    claim_state,
    health,
    leaving,
    limits,
    retries,
)
from poplarfold._internal.exceptions import (
    Outcome,
    OutcomeUnknownError,
    UpstreamFailedError,
)


def replace(patch: Any, original: Any, changed: Any) -> None:
    """Replace a function by ``changed`` in all modules that import it."""
    for name, module in list(sys.modules.items()):
        if not name.startswith("poplarfold."):
            continue
        for attribute, value in list(vars(module).items()):
            if value is original:
                patch.setattr(module, attribute, changed)


class Fault(NamedTuple):
    """A deliberate fault and the invariant that it violates."""

    invariant: str
    apply: Callable[[Any], None]


def lose_cancels(patch: Any) -> None:
    """Work is not cancelled after its caller disconnects."""
    replace(patch, calls.cancel_work, lambda *args: None)


def answer_again(patch: Any) -> None:
    """A call is answered a second time."""
    original = calls.end_call

    def end_call(state: Any, now: float, call_id: str, error: Any, *rest: Any) -> None:
        original(state, now, call_id, error, *rest)
        state.emit(FinishCall(call_id, error, *rest))

    replace(patch, calls.end_call, end_call)


def change_recorded_answers(patch: Any) -> None:
    """A recorded answer differs from the one that the first caller received."""
    original = claim_decisions.with_outcome

    def with_outcome(row: Any, outcome: Any) -> Any:
        changed = original(row, outcome)
        return changed._replace(body=changed.body[:-1])

    replace(patch, claim_decisions.with_outcome, with_outcome)


def call_anything_not_run(patch: Any) -> None:
    """An error reports the outcome "not run" without checking the log."""
    replace(patch, claim_decisions.outcome_without_claim, lambda *args: Outcome.NOT_RUN)


def forget_sends(patch: Any) -> None:
    """A call whose endpoint did not answer is treated as not sent."""
    original = retries.retry_error

    def retry_error(state: Any, now: float, call: Any, error: Any) -> Any:
        found = original(state, now, call, error)
        if isinstance(found, OutcomeUnknownError):
            return UpstreamFailedError("no answer").with_outcome(Outcome.NOT_RUN)
        return found

    replace(patch, retries.retry_error, retry_error)


def ignore_other_claims(patch: Any) -> None:
    """A call runs even though an earlier claim on its key exists."""

    def resolve_claimed_key(
        state: Any, part: Any, digest: bytes, pending: Any, row: Any, now: float
    ) -> None:
        del part.pending[digest]
        part.held.put(pending.call_id, claim_state.HeldClaim(digest, row.claim))
        state.post(ClaimWon(pending.call_id, pending.operation_id, row.claim))

    replace(patch, claim_decisions.resolve_claimed_key, resolve_claimed_key)


def ignore_leaving(patch: Any) -> None:
    """Signs that an endpoint is leaving are ignored."""
    replace(patch, leaving.is_leaving, lambda *args: False)
    replace(patch, leaving.hold_after_refusal, lambda *args: None)


def stop_at_once(patch: Any) -> None:
    """A planned stop does not wait for open calls."""
    original = calls.on_tick

    def on_tick(state: Any, now: float) -> None:
        original(state, now)
        if state.draining:
            state.emit(Stop())

    replace(patch, calls.on_tick, on_tick)


def skip_changes(patch: Any) -> None:
    """One node ignores all catalogue records but the first four."""
    original = catalogue.fold_catalogue_record

    def fold_record(state: Any, fold: Any, record: Any) -> None:
        if state.me.host != "lhr-a-1" or record.offset < 4:
            original(state, fold, record)

    replace(patch, catalogue.fold_catalogue_record, fold_record)


def trust_names(patch: Any) -> None:
    """Engines of another fleet are used if their service name matches."""
    original = health.usable_report

    def usable_report(*args: Any) -> Any:
        report, reason = original(*args)
        if report is not None and report.identity == OTHER_MODEL:
            report = report._replace(identity=MODEL)
        return report, reason

    replace(patch, health.usable_report, usable_report)


def take_whole_limits(patch: Any) -> None:
    """Each node uses the whole limit of an entry."""
    replace(patch, limits.integer_share, lambda state, limit: limit)


FAULTS = {
    fault.apply.__name__: fault
    for fault in (
        Fault("no-orphaned-memory", lose_cancels),
        Fault("answered-once", answer_again),
        Fault("whole-own-answer", change_recorded_answers),
        Fault("not-run-is-true", call_anything_not_run),
        Fault("not-run-is-true", forget_sends),
        Fault("at-most-once", ignore_other_claims),
        Fault("leaving-gets-nothing", ignore_leaving),
        Fault("graceful-stop", stop_at_once),
        Fault("catalogue-in-force", skip_changes),
        Fault("served-identity", trust_names),
        Fault("limits-hold", take_whole_limits),
    )
}
