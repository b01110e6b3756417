"""``poplarfold timeline``: merges the logs of many processes."""

import json
import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Iterator
from pathlib import Path

from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.parser import add_json_option
from poplarfold._internal.exceptions import LogFileError
from poplarfold._internal.logs.html_page import html_page
from poplarfold._internal.logs.reader import EVENTS_MAX, read_logs
from poplarfold._internal.logs.routes import (
    describe_event,
    find_route,
    route_lines,
)
from poplarfold._internal.logs.timeline import Timeline, merge
from poplarfold._internal.utils.results import value_or_raise

__all__ = ["add_arguments", "run"]


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold timeline`` to the parser."""
    parser.add_argument("files", nargs="+", type=Path, metavar="FILE", help="log file")
    parser.add_argument("--call", metavar="ID", help="explain the route of one call")
    parser.add_argument(
        "--html", type=Path, metavar="FILE", help="write a self-contained HTML page"
    )
    add_json_option(parser)


def run(options: Namespace) -> int:
    """Print the merged events or the route of one call, or write an HTML page."""
    files = value_or_raise(read_logs(options.files))
    timeline = merge(files.events)
    if files.skipped:
        print(f"{files.skipped} lines are not events and were skipped", file=sys.stderr)
    if files.truncated:
        print(f"only the first {EVENTS_MAX} events were read", file=sys.stderr)
    if not timeline.events:
        raise LogFileError("the files contain no events")
    if options.html is not None:
        try:
            options.html.write_text(html_page(timeline, options.call), "utf-8")
        except OSError as error:
            raise LogFileError(f"{options.html}: {error.strerror}") from error
    if options.call is not None:
        return print_route(timeline, options)
    if options.html is None:
        for text in json_lines(timeline) if options.json else text_lines(timeline):
            print(text)
    return int(ExitCode.SUCCESS)


def print_route(timeline: Timeline, options: Namespace) -> int:
    """Print the route of one call."""
    route = find_route(timeline, options.call)
    if route is None:
        print(f"no event names the call {options.call!r}", file=sys.stderr)
        return int(ExitCode.NOT_FOUND)
    if options.json:
        answer = {
            "call_id": route.call_id,
            "outcome": route.outcome,
            "candidates": [text for _, texts in route.candidates for text in texts],
            "attempts": [row.event.fields for row in route.attempts],
            "cancels_confirmed": route.confirmed,
            "cancels_unconfirmed": route.unconfirmed,
            "events": [json.loads(text) for text in json_lines(timeline, options.call)],
        }
        print(json.dumps(answer))
    else:
        for text in route_lines(route):
            print(text)
    return int(ExitCode.SUCCESS)


def text_lines(timeline: Timeline) -> Iterator[str]:
    """Yield the alignment of each clock, then the events."""
    for clock in timeline.clocks:
        name = f"{clock.process.host} (incarnation {clock.process.incarnation})"
        if clock.error_s is not None:
            yield (
                f"# {name}: shifted by {clock.shift_s:+.4f} s, within "
                f"{clock.error_s:.4f} s, from {clock.messages} messages"
            )
        elif clock.aligned_to is not None:
            yield (
                f"# {name}: shifted by {clock.shift_s:+.4f} s; approximate, since "
                "messages in one direction only were logged"
            )
        elif len(timeline.clocks) > 1:
            yield f"# {name}: wall clock; only approximate relative to other processes"
    start = timeline.events[0].time_s
    for row in timeline.events:
        yield (
            f"{row.time_s - start:12.6f}  {row.event.process.host}  "
            f"{row.event.call_id or '-'}  {describe_event(row.event)}"
        )


def json_lines(timeline: Timeline, call_id: str | None = None) -> Iterator[str]:
    """Yield one JSON object for each event."""
    for time_s, event in timeline.events:
        if call_id is not None and event.call_id != call_id:
            continue
        yield json.dumps(
            {
                "time_s": time_s,
                "number": event.number,
                "host": event.process.host,
                "incarnation": event.process.incarnation,
                "call_id": event.call_id,
                "fields": event.fields,
            }
        )
