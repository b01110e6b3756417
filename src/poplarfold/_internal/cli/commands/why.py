"""``poplarfold why``: explains why a gateway answered a call as it did."""

import json
import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path

from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.parser import add_json_option
from poplarfold._internal.exceptions import UsageError
from poplarfold._internal.logs.call_explanation import (
    Explanation,
    attempt_line,
    explain_arrival,
)
from poplarfold._internal.logs.call_search import CallLog, ProcessLog, search_call
from poplarfold._internal.logs.event_sentences import confirmation
from poplarfold._internal.logs.reader import TEXT_MAX_CHARS, ProcessKey
from poplarfold._internal.logs.routes import as_text
from poplarfold._internal.utils.results import value_or_raise

__all__ = ["add_arguments", "run"]

TIME_FORMAT = "%Y-%m-%d %H:%M:%S"


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold why`` to the parser."""
    parser.add_argument("call_id", metavar="CALL_ID", help="the id of the call")
    parser.add_argument(
        "files", nargs="+", type=Path, metavar="LOG", help="log of a gateway"
    )
    add_json_option(parser)


def run(options: Namespace) -> int:
    """Explain each arrival of the call. The exit code is 8 if the logs have none."""
    call_id = options.call_id
    if not 1 <= len(call_id) <= TEXT_MAX_CHARS:
        raise UsageError(f"a call id has 1 to {TEXT_MAX_CHARS} characters")
    found = value_or_raise(search_call(options.files, call_id))
    if found.skipped:
        print(f"{found.skipped} lines are not events and were skipped", file=sys.stderr)
    rows = [explain_arrival(events) for events in found.arrivals]
    reasons = [] if rows else list(reasons_without_lines(found))
    if options.json:
        print(json.dumps(as_document(call_id, found, rows, reasons)))
    elif rows:
        for line in text_lines(call_id, rows):
            print(line)
    else:
        print(f"the logs have no line of the call {call_id!r}", file=sys.stderr)
        for reason in reasons:
            print(f"- {reason}", file=sys.stderr)
    return int(ExitCode.SUCCESS if rows else ExitCode.NOT_FOUND)


def as_document(
    call_id: str, found: CallLog, rows: list[Explanation], reasons: list[str]
) -> dict[str, object]:
    """Return the explanation as a JSON document."""
    return {
        "call_id": call_id,
        "arrivals": [
            {
                **row._asdict(),
                "process": row.process._asdict(),
                "attempts": [attempt._asdict() for attempt in row.attempts],
                "refusals": [step._asdict() for step in row.refusals],
                "steps": [step._asdict() for step in row.steps],
            }
            for row in rows
        ],
        "possible_reasons": reasons,
        "processes": [
            {**row._asdict(), "process": row.process._asdict()}
            for row in found.processes
        ],
        "skipped_lines": found.skipped,
    }


def text_lines(call_id: str, rows: list[Explanation]) -> Iterator[str]:
    """Yield the explanation as text."""
    if len(rows) > 1:
        yield f"the call {call_id} arrived {len(rows)} times"
        if len({row.process.host for row in rows}) > 1:
            yield "(in the order of the hosts' wall clocks, which may differ)"
        yield ""
    for index, row in enumerate(rows):
        if index:
            yield ""
        yield from arrival_lines(call_id, row)


def arrival_lines(call_id: str, row: Explanation) -> Iterator[str]:
    """Yield the lines of one arrival at a process."""
    yield f"call {call_id} at {process_name(row.process)}, {utc_time(row.wall)}"
    yield f"  result: {row.result}"
    yield f"  route: {name_or_none(row.route)}, service: {name_or_none(row.service)}"
    yield f"  account: {name_or_none(row.account)}"
    if row.version is not None:
        # The line of a refused quota has a version, but no age.
        age = "" if row.known is None else f", {confirmation(row.known)}"
        yield f"  configuration: version {as_text(row.version)}{age}"
    yield "  attempts:" if row.attempts else "  attempts: none was logged"
    for attempt in row.attempts:
        yield f"    {attempt_line(attempt)}"
    yield "  what happened:"
    for step in row.steps:
        yield f"    {step.after_s:+.4f} s  {step.text} [{step.number}]"


def reasons_without_lines(found: CallLog) -> Iterator[str]:
    """Yield what it can mean that no line names a call."""
    yield (
        "another process answered it, or at a time that these files do not cover; they "
        "cover " + "; ".join(map(describe_process, found.processes))
    )
    for row in found.processes:
        if not row.lost_events:
            continue
        yield (
            f"its lines were lost: {process_name(row.process)} has dropped "
            f"{row.lost_events} events"
        )
    unread = sum(row.unread for row in found.processes)
    yield (
        "it was given up before it was read (status 408 or 503 for its body, or a "
        "closed connection), which is logged without ids: PF8201 to PF8204 count "
        f"{unread} in these files"
    )
    yield (
        "it has another id: compare the call_id in the body of an error answer. Calls "
        "that a caller sent without an id have none in the logs"
    )
    yield "it never reached a gateway, or a gateway that ended before it had read it"


def describe_process(row: ProcessLog) -> str:
    """Return which time the files cover of a process."""
    times = f"from {utc_time(row.first)} to {utc_time(row.last)}"
    return f"{process_name(row.process)} {times}"


def process_name(process: ProcessKey) -> str:
    """Return the host and the incarnation of a process as text."""
    return f"{as_text(process.host)} (incarnation {process.incarnation})"


def utc_time(wall: float) -> str:
    """Return a time of a wall clock as text, or the number if it is no valid date."""
    try:
        moment = datetime.fromtimestamp(wall, UTC)
    except (ValueError, OverflowError, OSError):
        return f"{wall:.3f}"
    return f"{moment.strftime(TIME_FORMAT)}.{moment.microsecond // 1000:03} UTC"


def name_or_none(value: object) -> str:
    """Return a name from the log, or that it has none."""
    return "none was logged" if value is None else as_text(value)
