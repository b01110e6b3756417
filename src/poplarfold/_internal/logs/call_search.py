"""Finds the events of one call in the logs of many processes.

Unlike ``read_logs``, it keeps only the events of the call, so that logs of any length
can be searched.
"""

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from result import Err, Ok, Result

from poplarfold._internal.exceptions import LogFileError
from poplarfold._internal.logs.reader import LogEvent, ProcessKey, read_events

__all__ = ["CallLog", "ProcessLog", "search_call"]

# What a gateway logs, without call ids, when it gives up requests before they are read.
UNREAD_REQUESTS = ("PF8201", "PF8202", "PF8203", "PF8204")
# The first event of a request that was routed or rejected by its key or quota.
ARRIVALS = ("PF1101", "PF1201", "PF1202", "PF1211")
REQUEST_FAILED = "PF1109"


class ProcessLog(NamedTuple):
    """What the files have of one process. Times are those of its wall clock.

    ``unread`` counts the requests that it gave up before they were read.
    """

    process: ProcessKey
    first: float
    last: float
    events: int = 0
    lost_events: int = 0
    unread: int = 0


class CallLog(NamedTuple):
    """The events of a call, one list for each time that it arrived at a process."""

    arrivals: list[list[LogEvent]]
    processes: list[ProcessLog]
    skipped: int


def search_call(paths: Iterable[Path], call_id: str) -> Result[CallLog, LogFileError]:
    """Return the events of a call. Lines of other programs are skipped."""
    processes: dict[ProcessKey, ProcessLog] = {}
    found: dict[ProcessKey, list[LogEvent]] = {}
    skipped = 0
    try:
        for event in read_events(paths):
            if event is None:
                skipped += 1
                continue
            known = processes.get(event.process)
            processes[event.process] = add_event(known, event)
            if event.call_id == call_id:
                found.setdefault(event.process, []).append(event)
    except LogFileError as error:
        return Err(error)
    if not processes:
        return Err(LogFileError("the files contain no events"))
    arrivals = [row for events in found.values() for row in split_arrivals(events)]
    arrivals.sort(key=lambda row: row[0].wall)
    return Ok(CallLog(arrivals, sorted(processes.values()), skipped))


def add_event(known: ProcessLog | None, event: LogEvent) -> ProcessLog:
    """Return the summary of a process with one more event."""
    row = known or ProcessLog(event.process, event.wall, event.wall)
    unread = event.fields.get("count") if event.number in UNREAD_REQUESTS else 0
    return ProcessLog(
        event.process,
        min(row.first, event.wall),
        max(row.last, event.wall),
        row.events + 1,
        max(row.lost_events, event.lost_events),
        row.unread + (unread if type(unread) is int else 0),
    )


def split_arrivals(events: list[LogEvent]) -> list[list[LogEvent]]:
    """Split the events of one process: a caller may send the same id again."""
    ordered = sorted(events, key=lambda event: (event.monotonic, event.order))
    arrivals: list[list[LogEvent]] = []
    has_failed = False
    for event in ordered:
        is_repeated_end = event.number == REQUEST_FAILED and has_failed
        if not arrivals or event.number in ARRIVALS or is_repeated_end:
            arrivals.append([])
            has_failed = False
        arrivals[-1].append(event)
        has_failed = has_failed or event.number == REQUEST_FAILED
    return arrivals
