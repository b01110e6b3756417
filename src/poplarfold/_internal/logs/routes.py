"""Explains the route of one call from the events of all processes."""

import json
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from poplarfold._internal.logs.catalogue import EVENTS
from poplarfold._internal.logs.reader import LogEvent
from poplarfold._internal.logs.timeline import TimedEvent, Timeline

__all__ = [
    "Route",
    "call_ids",
    "describe_event",
    "endpoints_of",
    "find_route",
    "route_lines",
]

ENDPOINT_FIELDS = ("endpoint", "prefill", "decode", "address", "failed_endpoint")
LINKING_FIELDS = ("attempt", "lease", "operation")
CANDIDATES = "considered"
ATTEMPT_STARTED = "PF1003"
FIRST_OUTPUT = "PF1004"
CALL_REFUSED = "PF1002"
CALL_ENDED = "PF1005"
RECORDED_ANSWER = "PF1006"
CANCEL_CONFIRMED = "PF1007"
# Events that only a gateway logs.
ENDPOINT_ANSWERED = "PF1102"
ENDPOINT_FAILED = "PF1103"
STREAM_COMPLETED = "PF1107"
REQUEST_FAILED = "PF1109"


class Route(NamedTuple):
    """One call: the endpoints considered, the attempts and the outcome.

    ``confirmed`` and ``unconfirmed`` are (attempt, endpoint) pairs. An endpoint in
    ``confirmed`` has confirmed that it holds nothing for the attempt. One in
    ``unconfirmed`` is an engine of a failed or abandoned attempt that has not.
    """

    call_id: str
    events: list[TimedEvent]
    candidates: list[tuple[TimedEvent, list[str]]]
    attempts: list[TimedEvent]
    confirmed: list[tuple[str, str]]
    unconfirmed: list[tuple[str, str]]
    outcome: str


def find_route(timeline: Timeline, call_id: str) -> Route | None:
    """Return the route of a call, or None if no event names it.

    Events without a call id are assigned by their attempt, lease or operation.
    """
    own = [row for row in timeline.events if row.event.call_id == call_id]
    if not own:
        return None
    links = {
        (field, value)
        for row in own
        for field in LINKING_FIELDS
        if isinstance(value := row.event.fields.get(field), str)
    }
    events = [
        row
        for row in timeline.events
        if row.event.call_id == call_id
        or (row.event.call_id is None and is_linked(row.event, links))
    ]
    attempts = [row for row in events if row.event.number == ATTEMPT_STARTED]
    confirmed = [
        (str(row.event.fields.get("attempt")), str(row.event.fields.get("endpoint")))
        for row in events
        if row.event.number == CANCEL_CONFIRMED
    ]
    return Route(
        call_id=call_id,
        events=events,
        candidates=[
            (row, candidate_lines(row.event.fields[CANDIDATES]))
            for row in events
            if CANDIDATES in row.event.fields
        ],
        attempts=attempts,
        confirmed=confirmed,
        unconfirmed=unconfirmed_cancels(events, attempts, confirmed),
        outcome=describe_outcome(events),
    )


def is_linked(event: LogEvent, links: set[tuple[str, str]]) -> bool:
    """Return whether an event names an attempt, lease or operation of the call."""
    values = ((field, event.fields.get(field)) for field in LINKING_FIELDS)
    return any(isinstance(value, str) and (f, value) in links for f, value in values)


def call_ids(timeline: Timeline) -> Iterator[str | None]:
    """Yield the call id of each event; cancels are assigned by their attempt."""
    calls = {
        (field, value): row.event.call_id
        for row in timeline.events
        for field in LINKING_FIELDS
        if isinstance(value := row.event.fields.get(field), str) and row.event.call_id
    }
    for row in timeline.events:
        fields = row.event.fields
        links = [(field, fields.get(field)) for field in LINKING_FIELDS]
        linked = (calls.get((f, v)) for f, v in links if isinstance(v, str))
        yield row.event.call_id or next(filter(None, linked), None)


def unconfirmed_cancels(
    events: list[TimedEvent],
    attempts: list[TimedEvent],
    confirmed: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return (attempt, engine) for each abandoned attempt's unconfirmed cancels."""
    ends = [row for row in events if row.event.number == CALL_ENDED]
    is_complete = bool(ends) and ends[-1].event.fields.get("code") is None
    abandoned = attempts[:-1] if is_complete or not ends else attempts
    pairs = [
        (str(row.event.fields.get("attempt")), str(row.event.fields[role]))
        for row in abandoned
        for role in ("prefill", "decode")
        # An attempt without a prefill engine is one at a service, which needs no
        # cancel.
        if row.event.fields.get("prefill") and row.event.fields.get(role)
    ]
    return [pair for pair in pairs if pair not in confirmed]


def describe_outcome(events: list[TimedEvent]) -> str:
    """Return a description of how the call ended."""
    for row in reversed(events):
        fields = row.event.fields
        if row.event.number == CALL_ENDED:
            counts = f"{fields.get('outputs')} outputs, {fields.get('attempts')} "
            counts += f"attempts, {seconds(fields.get('duration_s'))}"
            code = fields.get("code")
            return f"failed with {code}; {counts}" if code else f"whole; {counts}"
        if row.event.number == RECORDED_ANSWER:
            return f"answered with the recorded response, status {fields.get('status')}"
        if row.event.number == CALL_REFUSED:
            return f"rejected before any work: {fields.get('code')}"
        if row.event.number == REQUEST_FAILED:
            return f"failed with {fields.get('code')}: {as_text(fields.get('problem'))}"
        if row.event.number == STREAM_COMPLETED:
            length = f"{fields.get('events')} events, {seconds(fields.get('stream_s'))}"
            return f"whole; {length}, pause {seconds(fields.get('pause_s'))}"
        if row.event.number == ENDPOINT_ANSWERED:
            where = fields.get("endpoint")
            return f"answered by {where} with status {fields.get('status')}"
    return "no end was logged: the call is still running, or its node crashed"


def candidate_lines(candidates: object) -> list[str]:
    """Return one line for each endpoint that placement considered."""
    if isinstance(candidates, Mapping):
        return [f"{name}: {as_text(reason)}" for name, reason in candidates.items()]
    if not isinstance(candidates, list):
        return [as_text(candidates)]
    lines = []
    for row in candidates:
        if isinstance(row, Mapping):
            lines.append(", ".join(f"{key}={as_text(row[key])}" for key in row))
        elif isinstance(row, list) and row:
            lines.append(f"{row[0]}: {', '.join(map(as_text, row[1:]))}")
        else:
            lines.append(as_text(row))
    return lines


def route_lines(route: Route) -> Iterator[str]:
    """Yield the lines of the route as text."""
    yield f"call {route.call_id}: {route.outcome}"
    start = route.events[0].time_s
    yield ""
    yield "candidates"
    if not route.candidates:
        yield "  no event lists the endpoints that were considered"
    for row, lines in route.candidates:
        yield f"  at {offset(row, start)} on {row.event.process.host}"
        yield from (f"    {line}" for line in lines)
    yield ""
    yield "attempts"
    exchanges = [text for row in route.events for text in exchange_lines(row, start)]
    if not route.attempts and not exchanges:
        yield "  none"
    yield from exchanges
    for row in route.attempts:
        fields = row.event.fields
        prefill = fields.get("prefill")
        where = f"prefill {prefill}, decode" if prefill else "service"
        yield (
            f"  {fields.get('attempt')} at {offset(row, start)}: {where} "
            f"{fields.get('decode')}{first_output(route, fields.get('attempt'))}"
        )
    yield ""
    yield "cancels"
    if not route.confirmed and not route.unconfirmed:
        yield "  none"
    for attempt, endpoint in route.confirmed:
        yield f"  {attempt} on {endpoint}: confirmed"
    for attempt, endpoint in route.unconfirmed:
        yield f"  {attempt} on {endpoint}: no confirmation logged"
    yield ""
    yield "events"
    for row in route.events:
        yield f"  {offset(row, start)}  {row.event.process.host}  " + describe_event(
            row.event
        )


def exchange_lines(row: TimedEvent, start: float) -> Iterator[str]:
    """Yield the result of a gateway's attempt if the event reports one."""
    fields = row.event.fields
    where = f"  {offset(row, start)} {as_text(fields.get('endpoint'))}"
    if row.event.number == ENDPOINT_ANSWERED:
        answer = (
            f"status {fields.get('status')} after {seconds(fields.get('answer_s'))}"
        )
        yield f"{where}: {answer}{', not run' if fields.get('not_run') else ''}"
    elif row.event.number == ENDPOINT_FAILED:
        outcome = "may have run" if fields.get("sent") else "not run"
        yield f"{where}: {as_text(fields.get('problem'))}, {outcome}"


def first_output(route: Route, attempt: object) -> str:
    """Return the time of the first output of an attempt, as text."""
    for row in route.events:
        fields = row.event.fields
        if row.event.number == FIRST_OUTPUT and fields.get("attempt") == attempt:
            return f", first output after {seconds(fields.get('after_s'))}"
    return ", no output"


def describe_event(event: LogEvent) -> str:
    """Return an event as one line of text."""
    kind = EVENTS.get(event.number)
    name = kind.name if kind else "unknown"
    fields = " ".join(
        f"{key}={as_text(value)}"
        for key, value in event.fields.items()
        if key != CANDIDATES
    )
    return f"{event.number} {name} {fields}".rstrip()


def endpoints_of(event: LogEvent) -> list[str]:
    """Return the endpoints that an event names."""
    values = (event.fields.get(field) for field in ENDPOINT_FIELDS)
    return sorted({value for value in values if isinstance(value, str) and value})


def offset(row: TimedEvent, start: float) -> str:
    """Return the time since the first event of the call."""
    return f"{row.time_s - start:+.4f} s"


def seconds(value: Any) -> str:
    """Return a time in seconds as text, or the logged value if it is no number."""
    return f"{value:.3f} s" if isinstance(value, int | float) else as_text(value)


def as_text(value: object) -> str:
    """Return a logged value as text, with control characters escaped."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = value if isinstance(value, str) else json.dumps(value)
    return text if text.isprintable() else json.dumps(text)
