"""Explains from a gateway's events why a call was answered as it was."""

from collections.abc import Sequence
from typing import Any, NamedTuple

from poplarfold._internal.logs.event_sentences import meaning_of_code, sentence
from poplarfold._internal.logs.reader import LogEvent, ProcessKey
from poplarfold._internal.logs.routes import as_text, seconds

__all__ = ["CallAttempt", "CallStep", "Explanation", "attempt_line", "explain_arrival"]

ROUTED = "PF1101"
ANSWERED = "PF1102"
FAILED = "PF1103"
SLOT_RESERVED = "PF1105"
PREFILLED = "PF1106"
STREAM_COMPLETED = "PF1107"
REQUEST_FAILED = "PF1109"
KEY_NUMBERS = ("PF1201", "PF1202")
QUOTA_EXCEEDED = "PF1211"
# The events that have the inputs of a refusal.
REFUSALS = (*KEY_NUMBERS, QUOTA_EXCEEDED, "PF3611", "PF1104")
SUCCESS = range(200, 300)


class CallAttempt(NamedTuple):
    """A call's exchange with one endpoint, ``after_s`` after the call's first event.

    ``has_run`` is None if the call may have run there or not, and for a prefill.
    ``duration_s`` is None if the log does not have it.
    """

    endpoint: str
    outcome: str
    after_s: float
    duration_s: Any
    has_run: bool | None


class CallStep(NamedTuple):
    """What one event says, in a sentence, and the inputs that it has."""

    number: str
    after_s: float
    text: str
    fields: dict[str, Any]


class Explanation(NamedTuple):
    """One arrival of a call at a process. Fields that no event has are None.

    ``known`` is the age of the configuration, when the call arrived. ``status`` is that
    of the answer, None without one.
    """

    process: ProcessKey
    wall: float
    result: str
    code: str | None
    status: Any
    route: Any
    service: Any
    account: Any
    version: Any
    known: Any
    attempts: list[CallAttempt]
    refusals: list[CallStep]
    steps: list[CallStep]


def explain_arrival(events: Sequence[LogEvent]) -> Explanation:
    """Explain the events of one call at one process, in their order; at least one."""
    first = events[0]
    steps = [
        CallStep(
            event.number,
            event.monotonic - first.monotonic,
            sentence(event.number, event.fields),
            event.fields,
        )
        for event in events
    ]
    last = {step.number: step.fields for step in steps}
    head = next(
        (last[n] for n in (ROUTED, *KEY_NUMBERS, QUOTA_EXCEEDED) if n in last), {}
    )
    failure = last.get(REQUEST_FAILED)
    answer = last.get(ANSWERED)
    return Explanation(
        process=first.process,
        wall=first.wall,
        result=describe_result(steps),
        code=None if failure is None else as_text(failure.get("code")),
        status=status_of(failure, answer),
        route=head.get("route"),
        service=head.get("service"),
        account=head.get("account"),
        version=head.get("version"),
        known=head.get("known"),
        attempts=[row for row in map(attempt_of, steps) if row is not None],
        refusals=[step for step in steps if step.number in REFUSALS],
        steps=steps,
    )


def status_of(failure: dict[str, Any] | None, answer: dict[str, Any] | None) -> Any:
    """Return the status that the caller got, as far as the events tell."""
    if failure is None:
        return None if answer is None else answer.get("status")
    # A caller that has disconnected gets no answer.
    return None if failure.get("code") == "caller_gone" else failure.get("status")


def describe_result(steps: Sequence[CallStep]) -> str:
    """Return how the call ended."""
    last = {step.number: step.fields for step in steps}
    if REQUEST_FAILED in last:
        return describe_failed(steps, last[REQUEST_FAILED])
    if STREAM_COMPLETED in last:
        where = as_text(last[STREAM_COMPLETED].get("endpoint"))
        return f"a complete stream of {where}"
    answer = last.get(ANSWERED)
    if answer is not None and SLOT_RESERVED not in last:
        where, status = as_text(answer.get("endpoint")), as_text(answer.get("status"))
        return f"the answer of {where} with status {status}"
    state = "the stream began, but no" if answer is not None else "no"
    return (
        f"{state} end was logged: the call is still running, its process ended, or the "
        "lines are missing"
    )


def describe_failed(steps: Sequence[CallStep], failure: dict[str, Any]) -> str:
    """Return how a call without a complete answer ended."""
    code, status = failure.get("code"), as_text(failure.get("status"))
    if code == "caller_gone":
        return "no answer, since the caller has disconnected"
    meaning = meaning_of_code(code)
    text = f"status {status} with {as_text(code)}: {as_text(failure.get('problem'))}"
    if meaning:
        text += f" ({meaning.removesuffix('.')})"
    if any(step.number == ANSWERED and is_success(step) for step in steps):
        text += (
            "; if the answer of an endpoint had already been passed on in part, the "
            "connection was closed instead"
        )
    return text


def is_success(step: CallStep) -> bool:
    """Return whether an endpoint has begun a successful answer."""
    status = step.fields.get("status")
    return status in SUCCESS and not step.fields.get("not_run")


def attempt_of(step: CallStep) -> CallAttempt | None:
    """Return the attempt whose outcome an event reports, or None."""
    fields = step.fields
    endpoint = as_text(fields.get("endpoint"))
    if step.number == ANSWERED:
        not_run = bool(fields.get("not_run"))
        outcome = f"status {as_text(fields.get('status'))}"
        outcome += ", not run" if not_run else ""
        duration = fields.get("answer_s")
        return CallAttempt(endpoint, outcome, step.after_s, duration, not not_run)
    if step.number == FAILED:
        has_run = None if fields.get("sent") else False
        outcome = f"{as_text(fields.get('code'))}: {as_text(fields.get('problem'))}, "
        outcome += "may have run" if fields.get("sent") else "not run"
        return CallAttempt(endpoint, outcome, step.after_s, None, has_run)
    if step.number == PREFILLED:
        outcome = f"prompt of {as_text(fields.get('tokens'))} tokens processed"
        return CallAttempt(
            endpoint, outcome, step.after_s, fields.get("prefill_s"), None
        )
    return None


def attempt_line(attempt: CallAttempt) -> str:
    """Return an attempt as a line of text."""
    took = "" if attempt.duration_s is None else f" after {seconds(attempt.duration_s)}"
    return f"{attempt.after_s:+.4f} s  {attempt.endpoint}: {attempt.outcome}{took}"
